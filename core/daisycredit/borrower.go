package daisycredit

import (
	"net/netip"
	"slices"
	"time"

	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/core/daisywake"
)

const (
	// checkEvery is how often a borrower with idle credits looks at the clock, to
	// notice a pause. All borrowers of a VM look at the same moments, so that one
	// wake of the process serves them all.
	checkEvery = 400 * time.Millisecond
	// growth is the factor by which waiting work has to grow before it is reported again at once.
	growth = 1.25
	// reportEvery is the time between two reports of changes that are not urgent while work waits for a credit on demand.
	reportEvery = 30 * time.Millisecond
	// impatience is how long waiting work trusts an owner that says nothing, when
	// credits are lent on demand: several round trips between availability zones.
	impatience = 120 * time.Millisecond
)

// Borrower is the part of one VM in sharing the slots of a service. It is not
// safe for concurrent use.
//
// While it deals with an owner, an attempt needs an idle credit. Without an
// owner it guesses: it starts attempts on its own account, up to its even share
// of the slots.
type Borrower struct {
	self    daisyvm.VM
	lending Lending
	service daisyservice.Service
	vms     int
	owner   daisyvm.VM
	term    Term
	// latest has the latest term with each owner; no older one is entered again.
	latest map[daisyvm.Name]Term
	// asking is since when a new owner has not answered; credits of the former term last until silentAfter.
	asking   time.Time
	guessing bool
	lines    map[netip.AddrPort]*line
	// total is the sum of what the lines hold, running that of their attempts,
	// slots that of the declared slots, and widest the most slots of one endpoint.
	total, running, slots, widest int
	// order has the endpoints with a line, for a stable order of reports.
	order    []netip.AddrPort
	target   int
	demand   []Demand
	reported []Demand
	received uint64
	pace     pace
	checked  time.Time
	// wanted is since when work has waited without a break, heard when the owner last said something.
	wanted, heard time.Time
}

// line is what a borrower has at one endpoint.
type line struct {
	claimed  uint32
	granted  uint64
	recalled uint64
	returned uint64
	inFlight uint32
	shed     uint64
	broken   bool
	slots    int
	draining bool
	// changed is the sequence of the first report that has the latest change.
	changed uint64
}

func (l *line) held() int { return int(l.claimed) + int(l.granted) - int(l.returned) }
func (l *line) idle() int { return max(0, l.held()-int(l.inFlight)) }

// NewBorrower gives a borrower that guesses, as if its VM were alone, until SetVMs names the others.
func NewBorrower(self daisyvm.VM, service daisyservice.Service, lending Lending) *Borrower {
	b := &Borrower{
		self:     self,
		lending:  lending,
		vms:      1,
		guessing: true,
		latest:   make(map[daisyvm.Name]Term),
		lines:    make(map[netip.AddrPort]*line),
		pace:     pace{gap: messageGap},
	}
	b.setService(service)
	return b
}

// SetService puts a newly confirmed declaration of the service in force.
func (b *Borrower) SetService(now time.Time, service daisyservice.Service) {
	b.setService(service)
	b.settle(now)
}

func (b *Borrower) setService(service daisyservice.Service) {
	b.service = service
	b.slots, b.widest = service.Slots(), 0
	for _, l := range b.lines {
		l.draining, l.slots = true, 0
	}
	for _, e := range service.Endpoints {
		l := b.line(e.Address)
		l.draining, l.slots = e.Draining, e.Slots
		b.widest = max(b.widest, e.Slots)
	}
}

func (b *Borrower) line(endpoint netip.AddrPort) *line {
	l := b.lines[endpoint]
	if l == nil {
		l = &line{draining: true}
		b.lines[endpoint] = l
		b.order = append(b.order, endpoint)
	}
	return l
}

// SetShare sets the number of VMs that share the slots evenly while there is no owner.
func (b *Borrower) SetShare(vms int) { b.vms = max(1, vms) }

// SetVMs brings the live VMs that share the service, this VM among them.
func (b *Borrower) SetVMs(now time.Time, vms []daisyvm.VM) {
	b.SetShare(len(vms))
	owner, ok := ChooseOwner(b.service.ID, vms)
	if !ok || owner.Name == b.owner.Name && owner.Incarnation == b.owner.Incarnation {
		return
	}
	b.owner = owner
	b.leaveTerm(now)
	b.pace = pace{gap: messageGap}
	if owner.Name == b.self.Name {
		b.pace.gap = localGap
	}
	b.pace.urge(now)
}

// Owner gives the VM that reports go to; it is the zero VM until SetVMs.
func (b *Borrower) Owner() daisyvm.VM { return b.owner }

func (b *Borrower) leaveTerm(now time.Time) {
	b.term = Term{}
	b.received = 0
	if !b.guessing && b.asking.IsZero() {
		b.asking = now
	}
}

// guess voids the idle credits and goes on without an owner.
func (b *Borrower) guess(now time.Time) {
	b.leaveTerm(now)
	b.pace.forget()
	b.guessing = true
	b.asking = time.Time{}
	for _, l := range b.lines {
		*l = line{claimed: l.inFlight, inFlight: l.inFlight, broken: l.broken, slots: l.slots, draining: l.draining}
	}
	b.recount()
}

// Guessing reports whether the borrower starts attempts without credits, for want of an owner.
func (b *Borrower) Guessing() bool { return b.guessing }

// Idle gives how many attempts may start at an endpoint at once.
func (b *Borrower) Idle(endpoint netip.AddrPort) int {
	l := b.lines[endpoint]
	if l == nil || l.draining {
		return 0
	}
	if !b.guessing {
		return l.idle()
	}
	return max(0, min(l.slots-int(l.inFlight), b.room()))
}

func (b *Borrower) inFlight() int { return b.running }

func (b *Borrower) held() int { return b.total }

// recount sums up after a change of many lines.
func (b *Borrower) recount() {
	b.total, b.running = 0, 0
	for _, l := range b.lines {
		b.total += l.held()
		b.running += int(l.inFlight)
	}
}

// room gives how many attempts a borrower without an owner may still start.
func (b *Borrower) room() int { return (b.slots+b.vms-1)/b.vms - b.running }

// Tight reports whether, for want of an owner, an attempt at one endpoint may
// change how many may start at another.
func (b *Borrower) Tight() bool { return b.guessing && b.room() <= b.widest }

// Held gives the credits that the borrower has at an endpoint, those of attempts under way among them.
func (b *Borrower) Held(endpoint netip.AddrPort) int {
	if l := b.lines[endpoint]; l != nil {
		return l.held()
	}
	return 0
}

// Take starts an attempt at an endpoint that has one Idle.
func (b *Borrower) Take(endpoint netip.AddrPort) {
	l := b.line(endpoint)
	l.inFlight++
	b.running++
	if b.guessing {
		l.claimed++
		b.total++
	}
}

// Release ends an attempt at an endpoint.
func (b *Borrower) Release(now time.Time, endpoint netip.AddrPort) {
	l := b.line(endpoint)
	if l.inFlight > 0 {
		l.inFlight--
		b.running--
	}
	if b.guessing {
		b.total -= l.held() - int(l.inFlight)
		l.claimed = l.inFlight
		return
	}
	if _, ok := b.lending.(OnDemand); ok && l.idle() > 0 && b.term != (Term{}) {
		// The owner knows who needs it most, and whether the endpoint is a good one now.
		b.giveUp(now, l, 1)
	}
	b.giveBack(now, l)
}

// giveUp returns idle credits.
func (b *Borrower) giveUp(now time.Time, l *line, credits int) {
	l.returned += uint64(credits)
	b.total -= credits
	l.changed = b.pace.next()
	b.pace.urge(now)
}

// NoteShed notes that an endpoint refused an attempt.
func (b *Borrower) NoteShed(now time.Time, endpoint netip.AddrPort) {
	l := b.line(endpoint)
	l.shed++
	l.changed = b.pace.next()
	b.pace.within(now, lazyDelay)
}

// SetBroken says whether work is kept away from an endpoint.
func (b *Borrower) SetBroken(now time.Time, endpoint netip.AddrPort, broken bool) {
	l := b.line(endpoint)
	if l.broken == broken {
		return
	}
	l.broken = broken
	l.changed = b.pace.next()
	b.pace.urge(now)
	b.giveBack(now, l)
}

func (b *Borrower) waiting() int {
	sum := 0
	for _, d := range b.demand {
		sum += int(d.Waiting)
	}
	return sum
}

// settle gives back everything that must not be kept.
func (b *Borrower) settle(now time.Time) {
	if b.guessing {
		return
	}
	for _, a := range b.order {
		b.giveBack(now, b.lines[a])
	}
}

// giveBack returns the idle credits of an endpoint that are recalled, above the
// target, or of no use. Without a term there is nobody to return them to.
func (b *Borrower) giveBack(now time.Time, l *line) {
	idle := l.idle()
	if idle == 0 || b.term == (Term{}) {
		return
	}
	surplus := 0
	if l.recalled > l.returned {
		surplus = int(l.recalled - l.returned)
	}
	surplus = max(surplus, b.held()-b.target)
	switch b.lending.(type) {
	case AtHand:
	case OnDemand:
		surplus = max(surplus, b.held()-b.running-b.waiting())
	}
	if l.draining || l.broken {
		surplus = idle
	}
	if n := min(idle, surplus); n > 0 {
		b.giveUp(now, l, n)
	}
}

// SetDemand says what each rank needs, the most urgent rank first.
func (b *Borrower) SetDemand(now time.Time, demand []Demand) {
	waited := b.waiting() > 0
	b.demand = append(b.demand[:0], demand...)
	if !waited && b.waiting() > 0 {
		b.wanted = now
	}
	if _, ok := b.lending.(OnDemand); ok {
		b.forgetServed()
		if b.held()-b.running > b.waiting() {
			b.settle(now)
		}
		if b.waiting() > 0 && !slices.Equal(b.demand, b.reported) {
			b.pace.within(now, reportEvery)
		}
	}
	switch {
	case b.worthUrging():
		b.pace.urge(now)
	case b.worthEasing():
		b.pace.within(now, lazyDelay)
	}
}

// forgetServed lets the next request that waits be reported at once, although as
// many as then wait were reported before: those have begun since.
func (b *Borrower) forgetServed() {
	for i, d := range b.demand {
		if i < len(b.reported) && d.Waiting < b.reported[i].Waiting {
			b.reported[i].Waiting = d.Waiting
		}
	}
}

// worthUrging reports whether some rank has notably more waiting than was reported.
func (b *Borrower) worthUrging() bool {
	for i, d := range b.demand {
		if float64(d.Waiting) > growth*float64(b.reportedWaiting(i)) {
			return true
		}
	}
	return false
}

func (b *Borrower) worthEasing() bool {
	for i, d := range b.demand {
		if growth*float64(d.Waiting) < float64(b.reportedWaiting(i)) {
			return true
		}
	}
	return false
}

func (b *Borrower) reportedWaiting(rank int) uint32 {
	if rank < len(b.reported) {
		return b.reported[rank].Waiting
	}
	return 0
}

// Receive takes a grant.
func (b *Borrower) Receive(now time.Time, from daisyvm.Name, grant Grant) {
	if from != b.owner.Name || grant.Term.Owner != b.owner.Name || grant.Term.Incarnation != b.owner.Incarnation {
		return
	}
	if grant.Term != b.term {
		if !grant.Term.after(b.latest[from]) {
			return
		}
		b.beginTerm(now, grant.Term)
	}
	b.heard = now
	b.pace.acknowledge(now, grant.Acknowledged)
	for _, g := range grant.Granted {
		l := b.line(g.Endpoint)
		b.total -= l.held()
		l.granted = max(l.granted, g.Granted)
		b.total += l.held()
		l.recalled = max(l.recalled, g.Recalled)
	}
	if grant.Sequence > 0 {
		b.pace.answer(now, answerDelay)
	}
	if grant.Sequence > b.received {
		b.received = grant.Sequence
		b.target = int(grant.Target)
	}
	b.settle(now)
}

// beginTerm claims what the borrower has now.
func (b *Borrower) beginTerm(now time.Time, term Term) {
	b.pace.forget()
	for _, l := range b.lines {
		*l = line{claimed: uint32(max(l.held(), int(l.inFlight))), inFlight: l.inFlight, broken: l.broken, slots: l.slots, draining: l.draining}
		if l.claimed > 0 || l.broken {
			l.changed = b.pace.next()
		}
	}
	b.recount()
	b.term = term
	b.latest[term.Owner] = term
	b.received = 0
	b.guessing = false
	b.asking = time.Time{}
	b.target = b.held()
	b.pace.urge(now)
}

// Flush gives the report that is due at now, if one is.
func (b *Borrower) Flush(now time.Time) (Report, bool) {
	b.check(now)
	r := Report{Service: b.service.ID, Term: b.term, Acknowledged: b.received}
	switch {
	case b.owner.Name == "":
		return Report{}, false
	case b.pace.hasNews(now):
		if b.term != (Term{}) {
			r.Held = b.changes()
		}
		r.Demand = slices.Clone(b.demand)
		b.reported = append(b.reported[:0], b.demand...)
		r.Sequence = b.pace.number(now)
		return r, true
	case b.pace.hasAnswer(now):
		b.pace.answered(now)
		return r, true
	}
	return Report{}, false
}

func (b *Borrower) changes() []Held {
	var held []Held
	for _, a := range b.order {
		l := b.lines[a]
		if l.changed <= b.pace.acknowledged {
			continue
		}
		held = append(held, Held{Endpoint: a, Claimed: l.claimed, Returned: l.returned, InFlight: l.inFlight, Shed: l.shed, Broken: l.broken})
	}
	return held
}

// check notices pauses of its own VM and silence of the owner.
func (b *Borrower) check(now time.Time) {
	paused := !b.checked.IsZero() && now.Sub(b.checked) >= silentAfter
	b.checked = now
	switch {
	case b.guessing:
	case paused, b.pace.silent(now, silentAfter), !b.asking.IsZero() && now.Sub(b.asking) >= silentAfter, b.impatient(now):
		b.guess(now)
		b.pace.urge(now)
	}
}

// impatient reports whether work waits on an owner that has said nothing for a while.
func (b *Borrower) impatient(now time.Time) bool {
	due := b.impatientAt()
	return !due.IsZero() && !now.Before(due)
}

// impatientAt gives when the borrower loses its patience; the zero time means never.
func (b *Borrower) impatientAt() time.Time {
	if _, ok := b.lending.(OnDemand); !ok || b.guessing || b.waiting() == 0 {
		return time.Time{}
	}
	since := b.wanted
	if b.heard.After(since) {
		since = b.heard
	}
	return since.Add(impatience)
}

// NextWake gives when Flush has to be called next; the zero time means never.
func (b *Borrower) NextWake() time.Time {
	wake := b.pace.wake()
	if b.owner.Name == "" {
		wake = time.Time{}
	}
	if !b.guessing && !b.checked.IsZero() {
		wake = daisywake.Sooner(wake, b.checked.Truncate(checkEvery).Add(checkEvery))
	}
	return daisywake.Sooner(wake, b.impatientAt())
}
