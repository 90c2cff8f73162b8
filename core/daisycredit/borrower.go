package daisycredit

import (
	"net/netip"
	"slices"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/core/daisywake"
)

const (
	// pauseCheckInterval is the interval at which a borrower that may hold idle
	// credits checks the clock to detect a pause of its VM. All borrowers of a VM check
	// at the same times, so that one wake-up of the process serves them all.
	pauseCheckInterval = 400 * time.Millisecond
	// demandChangeFactor is the factor by which the number of waiting requests has to
	// grow to be reported again at once, or to shrink to be reported within batchDelay.
	demandChangeFactor = 1.25
	// demandReportDelay limits how long smaller changes of the demand go unreported
	// while requests wait for a credit on demand.
	demandReportDelay = 30 * time.Millisecond
)

// Borrower holds the slot credits of one VM for a service. It is not safe for
// concurrent use.
//
// Each attempt needs an idle credit, except in fallback mode. A borrower is in
// fallback mode if no owner has answered yet or in time, or after a pause of its VM.
// It then starts attempts without credits, up to its even share of the slots.
type Borrower struct {
	self    daisyvm.VM
	lending Lending
	service daisyservice.Service
	// zone is the availability zone of the endpoints of service, if these are of one zone only.
	zone  daisyfleet.ZoneID
	vms   int
	owner daisyvm.VM
	term  Term
	// latestTerms has the latest term with each owner; older terms are not entered again.
	latestTerms map[daisyvm.Name]Term
	// termEnded is when the last term ended, while no new owner has answered. The
	// credits of that term remain usable for ownerTimeout.
	termEnded time.Time
	fallback  bool
	endpoints map[netip.AddrPort]*endpointCredits
	// totalHeld is the number of credits held at all endpoints, totalInFlight the
	// number of attempts, totalSlots the number of declared slots that are not evacuated,
	// and maxSlots the largest number of slots of one endpoint.
	totalHeld, totalInFlight, totalSlots, maxSlots int
	// coldLimited is set if cold endpoints have a rate limit.
	coldLimited bool
	// addresses has the keys of endpoints in the order of their addition, for a stable
	// order in reports.
	addresses []netip.AddrPort
	// creditTarget is the number of credits to which the owner asks the borrower to
	// reduce its holdings: the Target of the latest Grant or, before the first one of a
	// term, the number held when the term began.
	creditTarget int
	// demand is the current demand of each rank. reportedDemand is the demand of the
	// last report, with the numbers of waiting requests lowered as requests start.
	demand           []Demand
	reportedDemand   []Demand
	receivedSequence uint64
	// rate is the rate of requests of this VM, reportedRate that of the last report, and
	// division what the owner stated last.
	rate, reportedRate float64
	division           Division
	timer              messageTimer
	lastCheck          time.Time
	// waitingSince is since when requests have been waiting without interruption, and
	// lastReceived when the last message from the owner arrived.
	waitingSince, lastReceived time.Time
	// answers tracks how long the owner takes, and hold is how long the borrower stays in
	// fallback mode because it took too long.
	answers answerTimer
	hold    hold
}

// NewBorrower returns a Borrower in fallback mode. Until SetVMs or SetShare is called,
// its share is all slots, as if its VM were the only one.
func NewBorrower(self daisyvm.VM, service daisyservice.Service, lending Lending) *Borrower {
	return NewZoneBorrower(self, service, daisyfleet.ZoneID{}, lending)
}

// NewZoneBorrower is like NewBorrower for the endpoints of a service in one availability
// zone, which have an owner of their own.
func NewZoneBorrower(self daisyvm.VM, service daisyservice.Service, zone daisyfleet.ZoneID, lending Lending) *Borrower {
	b := &Borrower{
		zone:        zone,
		self:        self,
		lending:     lending,
		vms:         1,
		fallback:    true,
		latestTerms: make(map[daisyvm.Name]Term),
		endpoints:   make(map[netip.AddrPort]*endpointCredits),
		timer:       messageTimer{interval: messageInterval},
	}
	b.setService(service)
	return b
}

// SetService applies a newly confirmed declaration of the service.
func (b *Borrower) SetService(now time.Time, service daisyservice.Service) {
	b.setService(service)
	b.returnAllSurplus(now)
}

func (b *Borrower) setService(service daisyservice.Service) {
	b.service = service
	b.coldLimited = daisyendpoint.ColdRateLimit(service.ColdRate) != nil
	b.totalSlots, b.maxSlots = service.OpenSlots(), 0
	for _, c := range b.endpoints {
		c.draining, c.slots = true, 0
	}
	for _, e := range service.Endpoints {
		c := b.creditsAt(e.Address)
		c.draining, c.slots = e.Draining || e.Evacuated, e.Slots
		b.maxSlots = max(b.maxSlots, e.Slots)
	}
}

func (b *Borrower) creditsAt(endpoint netip.AddrPort) *endpointCredits {
	c := b.endpoints[endpoint]
	if c == nil {
		c = &endpointCredits{draining: true}
		b.endpoints[endpoint] = c
		b.addresses = append(b.addresses, endpoint)
	}
	return c
}

// SetShare sets the number of VMs among which the slots are divided evenly in
// fallback mode.
func (b *Borrower) SetShare(vms int) { b.vms = max(1, vms) }

// SetVMs sets the live VMs that share the service, including this VM, and among them the
// owner that ChooseOwner returns.
func (b *Borrower) SetVMs(now time.Time, vms []daisyvm.VM) {
	b.SetShare(len(vms))
	if owner, ok := ChooseOwner(b.service.ID, b.zone, vms); ok {
		b.SetOwner(now, owner)
	}
}

// SetOwner sets the VM to which reports are sent. If it changes, the borrower asks the new
// one for a term.
func (b *Borrower) SetOwner(now time.Time, owner daisyvm.VM) {
	if owner.Name == b.owner.Name && owner.Incarnation == b.owner.Incarnation {
		return
	}
	if last := b.latestTerms[owner.Name]; last.Incarnation > owner.Incarnation {
		// The clock of the owner was set back before its restart, and its terms begin anew.
		delete(b.latestTerms, owner.Name)
	}
	b.owner = owner
	b.answers, b.hold = answerTimer{}, hold{}
	b.leaveTerm(now)
	b.timer = messageTimer{interval: messageInterval}
	if owner.Name == b.self.Name {
		b.timer.interval = localMessageInterval
	}
	b.timer.scheduleUpdate(now)
}

// Owner returns the VM to which reports are sent, or the zero VM before the first SetVMs.
func (b *Borrower) Owner() daisyvm.VM { return b.owner }

// leaveTerm ends the term; the credits held in it remain usable for ownerTimeout.
func (b *Borrower) leaveTerm(now time.Time) {
	b.term = Term{}
	b.receivedSequence = 0
	if !b.fallback && b.termEnded.IsZero() {
		b.termEnded = now
	}
}

// enterFallback ends the term, discards the idle credits and starts fallback mode.
func (b *Borrower) enterFallback(now time.Time) {
	b.leaveTerm(now)
	b.timer.forgetUnacked()
	b.answers.stop()
	b.fallback = true
	b.termEnded = time.Time{}
	for _, c := range b.endpoints {
		*c = c.renewed(c.inFlight)
	}
	b.recount()
}

// InFallback reports whether the borrower is in fallback mode: it starts attempts
// without credits, because no owner has answered yet or in time, or after a pause of
// its VM.
func (b *Borrower) InFallback() bool { return b.fallback }

// Idle returns the number of attempts that may start at an endpoint now.
func (b *Borrower) Idle(endpoint netip.AddrPort) int {
	c := b.endpoints[endpoint]
	if c == nil || c.draining {
		return 0
	}
	if !b.fallback {
		return c.idle()
	}
	return max(0, min(c.slots-int(c.inFlight), b.fallbackRoom()))
}

func (b *Borrower) inFlight() int { return b.totalInFlight }

func (b *Borrower) held() int { return b.totalHeld }

// recount recomputes the totals after a change of many endpoints.
func (b *Borrower) recount() {
	b.totalHeld, b.totalInFlight = 0, 0
	for _, c := range b.endpoints {
		b.totalHeld += c.held()
		b.totalInFlight += int(c.inFlight)
	}
}

// fallbackRoom returns how many more attempts the borrower may start in fallback mode.
func (b *Borrower) fallbackRoom() int { return (b.totalSlots+b.vms-1)/b.vms - b.totalInFlight }

// NearShareLimit reports whether the borrower is in fallback mode and so close to
// its even share that an attempt at one endpoint may change how many may start at another.
func (b *Borrower) NearShareLimit() bool { return b.fallback && b.fallbackRoom() <= b.maxSlots }

// Held returns the number of credits held at an endpoint, including those of
// attempts in flight.
func (b *Borrower) Held(endpoint netip.AddrPort) int {
	if c := b.endpoints[endpoint]; c != nil {
		return c.held()
	}
	return 0
}

// Take starts an attempt at an endpoint where Idle is above 0.
func (b *Borrower) Take(endpoint netip.AddrPort) {
	c := b.creditsAt(endpoint)
	c.inFlight++
	b.totalInFlight++
	if b.fallback {
		c.claimed++
		b.totalHeld++
	}
}

// Release ends an attempt at an endpoint.
func (b *Borrower) Release(now time.Time, endpoint netip.AddrPort) {
	c := b.creditsAt(endpoint)
	if c.inFlight > 0 {
		c.inFlight--
		b.totalInFlight--
	}
	if b.fallback {
		b.totalHeld -= c.held() - int(c.inFlight)
		c.claimed = c.inFlight
		return
	}
	if (b.lendsOnDemand() || b.limited(now, c)) && c.idle() > 0 && b.term != (Term{}) {
		// The owner has the demand of all VMs and the state of the endpoint, and
		// decides where the next credit is lent, and to which VM.
		b.returnCredits(now, c, 1)
	}
	b.returnSurplus(now, c)
}

// returnCredits returns idle credits to the owner.
func (b *Borrower) returnCredits(now time.Time, c *endpointCredits, credits int) {
	c.returned += uint64(credits)
	b.totalHeld -= credits
	c.changed = b.timer.nextSequence()
	b.timer.scheduleUpdate(now)
}

// NoteShed records that an endpoint refused an attempt because of its load.
func (b *Borrower) NoteShed(now time.Time, endpoint netip.AddrPort) {
	c := b.creditsAt(endpoint)
	c.shed++
	c.changed = b.timer.nextSequence()
	b.timer.scheduleUpdateWithin(now, batchDelay)
}

func (b *Borrower) lendsOnDemand() bool {
	_, ok := b.lending.(OnDemand)
	return ok
}

// SetRestricted sets whether this VM sends only trials or nothing to an endpoint,
// because it is ejected, draining, evacuated or removed.
func (b *Borrower) SetRestricted(now time.Time, endpoint netip.AddrPort, restricted bool) {
	c := b.creditsAt(endpoint)
	if c.restricted == restricted {
		return
	}
	c.restricted = restricted
	c.changed = b.timer.nextSequence()
	b.timer.scheduleUpdate(now)
	b.returnSurplus(now, c)
}

// returnAllSurplus returns the surplus credits of all endpoints.
func (b *Borrower) returnAllSurplus(now time.Time) {
	if b.fallback {
		return
	}
	for _, a := range b.addresses {
		b.returnSurplus(now, b.endpoints[a])
	}
}

// returnSurplus returns the idle credits of an endpoint that are recalled, above
// creditTarget, or of no use. It returns none without a term, because the owner counts
// the returned credits of each term.
func (b *Borrower) returnSurplus(now time.Time, c *endpointCredits) {
	idle := c.idle()
	if idle == 0 || b.term == (Term{}) {
		return
	}
	surplus := 0
	if c.recalled > c.returned {
		surplus = int(c.recalled - c.returned)
	}
	surplus = max(surplus, b.held()-b.creditTarget)
	if b.lendsOnDemand() {
		surplus = max(surplus, b.held()-b.totalInFlight-b.totalWaiting())
	}
	if b.limited(now, c) && b.totalWaiting() == 0 {
		surplus = idle
	}
	if c.draining || c.restricted {
		surplus = idle
	}
	if n := min(idle, surplus); n > 0 {
		b.returnCredits(now, c, n)
	}
}

// Receive processes a grant. It ignores grants of VMs other than the owner and of older terms.
func (b *Borrower) Receive(now time.Time, from daisyvm.Name, grant Grant) {
	if from != b.owner.Name || grant.Term.Owner != b.owner.Name || grant.Term.Incarnation != b.owner.Incarnation {
		return
	}
	if grant.Term != b.term {
		if !grant.Term.after(b.latestTerms[from]) {
			return
		}
		if b.fallback && !b.hold.accepts(now, grant, b.holdSpread()) {
			b.noteDivision(grant.Division)
			return
		}
		b.beginTerm(now, grant.Term)
	}
	b.lastReceived = now
	b.timer.receiveAck(now, grant.Acknowledged)
	b.answers.receive(now, grant.Acknowledged)
	for _, g := range grant.Granted {
		c := b.creditsAt(g.Endpoint)
		b.totalHeld -= c.held()
		c.granted = max(c.granted, g.Granted)
		b.totalHeld += c.held()
		c.recalled = max(c.recalled, g.Recalled)
		if g.RateLimit != nil && c.rateLimitNews <= b.timer.acknowledged {
			c.rateLimit = g.RateLimit
		}
		c.noteGrantedCold(now, g.ColdFor)
	}
	if grant.Sequence > 0 {
		b.timer.scheduleAck(now, ackDelay)
	}
	if grant.Sequence > b.receivedSequence {
		b.receivedSequence = grant.Sequence
		b.creditTarget = int(grant.Target)
		b.noteDivision(grant.Division)
	}
	b.returnAllSurplus(now)
}

// beginTerm begins a term by claiming the credits that the borrower holds.
func (b *Borrower) beginTerm(now time.Time, term Term) {
	b.timer.forgetUnacked()
	b.answers.stop()
	for _, c := range b.endpoints {
		*c = c.renewed(uint32(max(c.held(), int(c.inFlight))))
		if c.claimed > 0 || c.restricted || c.limited() || c.cold.learned && now.Before(c.cold.until) {
			c.changed = b.timer.nextSequence()
		}
	}
	b.recount()
	b.term = term
	b.latestTerms[term.Owner] = term
	b.receivedSequence = 0
	b.fallback = false
	b.termEnded = time.Time{}
	b.creditTarget = b.held()
	b.timer.scheduleUpdate(now)
}

// Flush returns the report that is due at now, if any.
func (b *Borrower) Flush(now time.Time) (Report, bool) {
	b.checkTimeouts(now)
	r := Report{Service: b.service.ID, Zone: b.zone, Term: b.term, Acknowledged: b.receivedSequence}
	switch {
	case b.owner.Name == "", b.holdsReports(now):
		return Report{}, false
	case b.timer.updateDue(now):
		if b.term != (Term{}) {
			r.Held = b.changes(now)
		}
		r.Demand = slices.Clone(b.demand)
		b.reportedDemand = append(b.reportedDemand[:0], b.demand...)
		r.Rate, r.Division = b.rate, b.division
		b.reportedRate = b.rate
		r.Sequence = b.timer.recordUpdate(now)
		switch {
		case b.fallback:
			b.hold.ask(now, r.Sequence)
		case hasWaiting(b.demand):
			b.answers.ask(now, r.Sequence)
		}
		return r, true
	case b.timer.ackDue(now):
		b.timer.recordAck(now)
		return r, true
	}
	return Report{}, false
}

// changes returns the endpoints that changed since the latest acknowledged report.
func (b *Borrower) changes(now time.Time) []Held {
	var held []Held
	for _, a := range b.addresses {
		c := b.endpoints[a]
		if c.changed <= b.timer.acknowledged {
			continue
		}
		held = append(held, Held{Endpoint: a, Claimed: c.claimed, Returned: c.returned, InFlight: c.inFlight, Shed: c.shed, Restricted: c.restricted, RateLimit: c.rateLimit, Answers: c.answers, ColdFor: c.cold.remaining(now)})
	}
	return held
}

// checkTimeouts enters fallback mode after a pause of this VM or if the owner does not answer.
func (b *Borrower) checkTimeouts(now time.Time) {
	paused := !b.lastCheck.IsZero() && now.Sub(b.lastCheck) >= ownerTimeout
	b.lastCheck = now
	switch {
	case b.fallback:
	case paused, b.timer.timedOut(now, ownerTimeout), !b.termEnded.IsZero() && now.Sub(b.termEnded) >= ownerTimeout:
		b.enterFallback(now)
		b.timer.scheduleUpdate(now)
	case b.ownerSlow(now):
		b.enterFallback(now)
		b.hold.begin(now, b.holdSpread())
		b.timer.scheduleUpdate(now)
	}
}

// NextWake returns the time at which Flush has to be called next; the zero time means never.
func (b *Borrower) NextWake() time.Time {
	wake := b.timer.nextDue()
	switch {
	case b.owner.Name == "":
		wake = time.Time{}
	case b.fallback && b.hold.term != (Term{}) && !wake.IsZero() && wake.Before(b.hold.until):
		wake = b.hold.until
	}
	if !b.fallback && !b.lastCheck.IsZero() {
		// Truncate loses the steady clock, without which a change of the wall clock moves the check.
		next := b.lastCheck.Truncate(pauseCheckInterval).Add(pauseCheckInterval)
		wake = daisywake.Sooner(wake, b.lastCheck.Add(next.Sub(b.lastCheck)))
	}
	return daisywake.Sooner(wake, b.onDemandDeadline())
}
