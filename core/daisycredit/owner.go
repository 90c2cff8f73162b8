package daisycredit

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/core/daisywake"
)

const (
	// rebuildWithin is how long a new owner waits for the claims of all borrowers before it lends.
	rebuildWithin = 100 * time.Millisecond
	// saturatedAfter is how long work has to wait before credits are overcommitted.
	saturatedAfter = 60 * time.Millisecond
	// overcommitFor is how long they stay so after work last waited that long.
	overcommitFor = 500 * time.Millisecond
	// shedPause is how long an endpoint that sheds gets no overcommitted credits.
	shedPause = 5 * time.Second
	// demandMemory is the time over which the demand of a VM is averaged.
	demandMemory = 500 * time.Millisecond
)

// Letter is a grant with the VM that it goes to.
type Letter struct {
	To    daisyvm.Name
	Grant Grant
}

// OwnerOptions describe a takeover.
type OwnerOptions struct {
	Self    daisyvm.VM
	Service daisyservice.Service
	// After is the number of the last term of an earlier Owner of the service on
	// this VM: the numbers of an incarnation only go up.
	After uint64
	// Lending says when credits are lent; AtHand when it is nil.
	Lending Lending
	// Overcommit is the number of credits above its slots that an endpoint gets
	// under saturation, so that a slot is not idle for a round trip between two
	// attempts.
	Overcommit int
}

// Owner lends the slots of a service. It is not safe for concurrent use.
type Owner struct {
	options OwnerOptions
	service daisyservice.Service
	terms   uint64
	// rebuilt is when lending begins even if borrowers have not claimed.
	rebuilt  time.Time
	settled  bool
	accounts []*account
	pools    []*pool
	// slots is the number of slots of all pools.
	slots int
	// byAddress has the pools too.
	byAddress map[netip.AddrPort]*pool
	// recounted says that the counts of credits are up to date, but for changes that keep them so.
	recounted bool
	// saturated is since when work has waited without a break.
	saturated time.Time
	// retry is when credits that were held back for want of a good endpoint are lent all the same.
	retry time.Time
	holds holds
	// fullHolds is for the last credits of endpoints, freeHolds for the others.
	fullHolds, freeHolds holds
	// fullTried is when one of the former was granted last.
	fullTried time.Time
	// since is since when work of each rank has waited, and grantedAt when a credit
	// was granted last for it; both, like rank and backlog, only when credits are lent on demand.
	since, grantedAt []time.Time
	// rank is the one that a credit is wanted for.
	rank int
	// backlog is how long it takes until good endpoints have come free for all that waits.
	backlog time.Duration
	// inspections are endpoints to be asked for their pace.
	inspections []netip.AddrPort
	// overcommitted is until when credits are overcommitted.
	overcommitted time.Time
}

// pool is the slots of one endpoint.
type pool struct {
	daisyendpoint.Endpoint
	// calm is when the endpoint last shed plus shedPause.
	calm time.Time
	// slowdown is how much longer than usual work takes there, as told at slowAt,
	// and asked is when the endpoint was last asked for it.
	slowdown      float64
	slowAt, asked time.Time
	// busy is the number of requests that the endpoint had by its word at slowAt,
	// when outThen credits were out.
	busy, outThen int
	holds         holds
	// lent is when a credit was granted last.
	lent time.Time
	// out is the number of credits that the borrowers hold, brokenBy the number of
	// borrowers that keep work away.
	out, brokenBy int
}

// account is what one borrower has.
type account struct {
	vm    daisyvm.VM
	term  Term
	lines map[netip.AddrPort]*loan
	// claimed says that the borrower has reported in this term.
	claimed  bool
	sequence uint64
	demand   []Demand
	// smooth is the average of the credits that the borrower needs.
	smooth  float64
	updated time.Time
	target  int
	// out is the number of credits held at all endpoints.
	out int
	// touched has the endpoints that may have changed since the last acknowledged grant.
	touched []netip.AddrPort
	// covered has the credits granted by each grant that the last report had not seen.
	covered []cover
	pace    pace
}

// loan is what one borrower has at one endpoint.
type loan struct {
	claimed  uint32
	granted  uint64
	recalled uint64
	returned uint64
	shed     uint64
	broken   bool
	changed  uint64
	// since has the times of the grants that were not returned yet.
	since []lent
	// lent is when a credit was granted last.
	lent time.Time
}

func (l *loan) held() int { return max(0, int(l.claimed)+int(l.granted)-int(l.returned)) }

// coming counts the held credits that the borrower has not been told to return.
func (l *loan) coming() int {
	return l.held() - max(0, int(l.recalled)-int(l.returned))
}

type cover struct {
	sequence uint64
	credits  int
}

// Lending says when an owner lends credits. It is one of AtHand and OnDemand.
type Lending interface{ lending() }

// AtHand lends credits ahead, so that requests find them: no request waits for a
// message, and no VM knows of the others' attempts when it chooses an endpoint.
type AtHand struct{}

// OnDemand lends a credit for each waiting request, at the endpoint that is best
// for it at that moment, and gets it back when its attempt has ended: each request
// waits for a message to the owner and back, which knows of all attempts.
type OnDemand struct{}

func (AtHand) lending()   {}
func (OnDemand) lending() {}

// NewOwner begins a takeover; SetVMs names the borrowers.
func NewOwner(now time.Time, options OwnerOptions) *Owner {
	if options.Lending == nil {
		options.Lending = AtHand{}
	}
	o := &Owner{options: options, terms: options.After, rebuilt: now.Add(rebuildWithin)}
	o.setService(options.Service)
	return o
}

// LastTerm gives the number of the latest term.
func (o *Owner) LastTerm() uint64 { return o.terms }

// SetService puts a newly confirmed declaration of the service in force.
func (o *Owner) SetService(now time.Time, service daisyservice.Service) {
	o.setService(service)
	o.lend(now)
}

func (o *Owner) setService(service daisyservice.Service) {
	old := o.byAddress
	o.byAddress = make(map[netip.AddrPort]*pool, len(service.Endpoints))
	o.service = service
	o.slots = service.Slots()
	o.recounted = false
	o.pools = nil
	for _, e := range service.Endpoints {
		p := old[e.Address]
		if p == nil {
			p = &pool{}
		}
		p.Endpoint = e
		o.pools = append(o.pools, p)
		o.byAddress[e.Address] = p
	}
}

// SetVMs brings the live VMs. The credits of a VM that is gone or was restarted come back.
func (o *Owner) SetVMs(now time.Time, vms []daisyvm.VM) {
	o.accounts = slices.DeleteFunc(o.accounts, func(a *account) bool {
		return !slices.ContainsFunc(vms, func(v daisyvm.VM) bool {
			return v.Name == a.vm.Name && v.Incarnation == a.vm.Incarnation
		})
	})
	for _, v := range vms {
		if o.account(v.Name) == nil {
			a := &account{vm: v, pace: pace{gap: messageGap}, lines: make(map[netip.AddrPort]*loan)}
			if v.Name == o.options.Self.Name {
				a.pace.gap = localGap
			}
			o.accounts = append(o.accounts, a)
			o.openTerm(now, a)
		}
	}
	o.recounted = false
	slices.SortFunc(o.accounts, func(a, b *account) int { return strings.Compare(string(a.vm.Name), string(b.vm.Name)) })
	o.lend(now)
}

func (o *Owner) account(name daisyvm.Name) *account {
	for _, a := range o.accounts {
		if a.vm.Name == name {
			return a
		}
	}
	return nil
}

// openTerm begins a term. Until the borrower claims, it is taken to hold what it held.
func (o *Owner) openTerm(now time.Time, a *account) {
	o.terms++
	a.term = Term{Owner: o.options.Self.Name, Incarnation: o.options.Self.Incarnation, Takeover: o.terms}
	o.recounted = false
	a.claimed = false
	a.sequence = 0
	a.demand = nil
	a.covered = nil
	for k, l := range a.lines {
		a.lines[k] = &loan{claimed: uint32(l.held()), broken: l.broken}
	}
	a.pace.forget()
	a.pace.urge(now)
}

// Receive takes a report.
func (o *Owner) Receive(now time.Time, from daisyvm.Name, report Report) {
	a := o.account(from)
	if a == nil {
		return
	}
	if report.Term != a.term {
		o.misaddressed(now, a, report)
		return
	}
	if !a.claimed {
		clear(a.lines)
		o.recounted = false
		a.claimed = true
	}
	a.pace.acknowledge(now, report.Acknowledged)
	for _, h := range report.Held {
		o.takeHeld(now, a, h, report.Sequence > a.sequence)
	}
	if report.Sequence > 0 {
		a.pace.answer(now, o.answerDelay(report))
	}
	if report.Sequence > a.sequence {
		a.sequence = report.Sequence
		a.demand = report.Demand
		a.covered = slices.DeleteFunc(a.covered, func(c cover) bool { return c.sequence <= report.Acknowledged })
	}
	o.lend(now)
}

// answerDelay is short for a borrower whose requests wait for the answer.
func (o *Owner) answerDelay(report Report) time.Duration {
	if _, ok := o.options.Lending.(OnDemand); ok && waits(report.Demand) {
		return promptDelay
	}
	return answerDelay
}

// waits reports whether some request waits.
func waits(demand []Demand) bool {
	return slices.ContainsFunc(demand, func(d Demand) bool { return d.Waiting > 0 })
}

// misaddressed answers a report of another term. A borrower without one gets a new one.
func (o *Owner) misaddressed(now time.Time, a *account, report Report) {
	if report.Term == (Term{}) {
		o.openTerm(now, a)
		return
	}
	a.pace.urge(now)
}

func (o *Owner) takeHeld(now time.Time, a *account, h Held, latest bool) {
	l, p := a.line(h.Endpoint), o.pool(h.Endpoint)
	held := l.held()
	l.claimed = max(l.claimed, h.Claimed)
	o.noteReturned(now, p, l, h.Returned)
	if latest && l.broken != h.Broken {
		l.broken = h.Broken
		o.recounted = false
	}
	a.out += l.held() - held
	if p != nil {
		p.out += l.held() - held
	}
	if h.Shed > l.shed {
		l.shed = h.Shed
		o.noteShed(now, h.Endpoint)
	}
}

func (o *Owner) noteShed(now time.Time, endpoint netip.AddrPort) {
	if p := o.pool(endpoint); p != nil {
		p.calm = now.Add(shedPause)
	}
}

func (o *Owner) pool(endpoint netip.AddrPort) *pool { return o.byAddress[endpoint] }

// recount sums up after a change that is not counted as it happens.
func (o *Owner) recount() {
	if o.recounted {
		return
	}
	o.recounted = true
	for _, p := range o.pools {
		p.out, p.brokenBy = 0, 0
	}
	for _, a := range o.accounts {
		a.out = 0
		for address, l := range a.lines {
			a.out += l.held()
			p := o.byAddress[address]
			if p == nil {
				continue
			}
			p.out += l.held()
			if l.broken {
				p.brokenBy++
			}
		}
	}
}

func (a *account) line(endpoint netip.AddrPort) *loan {
	l := a.lines[endpoint]
	if l == nil {
		l = &loan{}
		a.lines[endpoint] = l
	}
	return l
}

// Flush gives the grants that are due at now.
func (o *Owner) Flush(now time.Time) []Letter {
	o.check(now)
	var letters []Letter
	for _, a := range o.accounts {
		switch {
		case a.pace.hasNews(now):
			letters = append(letters, Letter{To: a.vm.Name, Grant: o.grant(now, a)})
		case a.pace.hasAnswer(now):
			a.pace.answered(now)
			answer := Grant{Service: o.service.ID, Term: a.term, Acknowledged: a.sequence}
			letters = append(letters, Letter{To: a.vm.Name, Grant: answer})
		default:
			continue
		}
		o.keepInTouch(now, a)
	}
	return letters
}

// keepInTouch has the next message to a borrower whose requests wait on demand sent in
// time, so that it knows that its owner lives. All such messages are due at the same
// moments, so that one wake serves them.
func (o *Owner) keepInTouch(now time.Time, a *account) {
	if _, ok := o.options.Lending.(OnDemand); ok && waits(a.demand) {
		a.pace.answer(now, now.Truncate(wordEvery).Add(wordEvery).Sub(now))
	}
}

func (o *Owner) grant(now time.Time, a *account) Grant {
	g := Grant{
		Service:      o.service.ID,
		Term:         a.term,
		Acknowledged: a.sequence,
		Target:       uint32(max(0, a.target)),
	}
	a.touched = slices.DeleteFunc(a.touched, func(address netip.AddrPort) bool {
		l := a.lines[address]
		if l == nil || l.changed <= a.pace.acknowledged {
			return true
		}
		g.Granted = append(g.Granted, Granted{Endpoint: address, Granted: l.granted, Recalled: l.recalled})
		return false
	})
	g.Sequence = a.pace.number(now)
	return g
}

// check ends the rebuilding and takes back the credits of silent borrowers.
func (o *Owner) check(now time.Time) {
	if !o.settled && !now.Before(o.rebuilt) || reached(now, o.retry) {
		o.lend(now)
	}
	for _, a := range o.accounts {
		if a.pace.silent(now, reclaimAfter) && (a.claimed || len(a.lines) > 0) {
			clear(a.lines)
			o.openTerm(now, a)
			o.lend(now)
		}
	}
}

// NextWake gives when Flush has to be called next; the zero time means never.
func (o *Owner) NextWake() time.Time {
	var wake time.Time
	if !o.settled {
		wake = o.rebuilt
	}
	wake = daisywake.Sooner(wake, o.retry)
	for _, a := range o.accounts {
		wake = daisywake.Sooner(wake, a.pace.wake())
	}
	return wake
}
