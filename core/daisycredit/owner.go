package daisycredit

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/core/daisywake"
)

const (
	// claimTimeout is how long a new owner waits for the claims of all borrowers before
	// it lends.
	claimTimeout = 100 * time.Millisecond
	// saturatedAfter is how long requests have to wait before credits are overcommitted.
	saturatedAfter = 60 * time.Millisecond
	// overcommitDuration is how long credits stay overcommitted after requests last waited
	// that long.
	overcommitDuration = 500 * time.Millisecond
	// shedCooldown is how long an endpoint gets no overcommitted credits after it refused
	// an attempt because of its load.
	shedCooldown = 5 * time.Second
	// demandAveragingTime is the time constant of the moving average of a VM's demand.
	demandAveragingTime = 500 * time.Millisecond
)

// AddressedGrant is a grant with the VM to which it has to be sent.
type AddressedGrant struct {
	To    daisyvm.Name
	Grant Grant
}

// OwnerOptions are the parameters of NewOwner.
type OwnerOptions struct {
	Self    daisyvm.VM
	Service daisyservice.Service
	// Zone is the availability zone of the endpoints of Service, if the owner owns those
	// of one zone only.
	Zone daisyfleet.ZoneID
	// LastTerm is the number of the last term of an earlier Owner of the service on
	// this VM: term numbers only increase within an incarnation.
	LastTerm uint64
	// Lending determines when credits are lent; nil means InAdvance.
	Lending Lending
	// Overcommit is the number of credits that may be lent at an endpoint beyond its
	// slots under saturation, so that a slot is not idle for a round trip between two
	// attempts.
	Overcommit int
}

// Owner lends the slots of a service. It is not safe for concurrent use.
type Owner struct {
	options  OwnerOptions
	service  daisyservice.Service
	lastTerm uint64
	// claimDeadline is when lending begins even if some borrowers have not claimed the
	// credits that they hold, and lendingStarted is set once lending has begun.
	claimDeadline  time.Time
	lendingStarted bool
	accounts       []*account
	endpoints      []*endpointState
	// totalSlots is the number of slots of all endpoints.
	totalSlots int
	// byAddress maps the addresses of endpoints to their state.
	byAddress map[netip.AddrPort]*endpointState
	// cold has the endpoints that are cold, and coldLimit the limit that applies to them.
	cold      map[netip.AddrPort]coldness
	coldLimit daisyendpoint.RateLimit
	// countsValid reports whether the counts of credits are up to date. Some changes
	// update them; the others clear countsValid.
	countsValid bool
	// anyWaitingSince is since when requests of any rank have been waiting without
	// interruption.
	anyWaitingSince time.Time
	// retryAt is when to lend again after credits were withheld for lack of a good endpoint.
	retryAt   time.Time
	holdTimes holdStats
	// rankHoldTimes has the samples of the credits for requests of each rank.
	rankHoldTimes []holdStats
	// lastSlotHoldTimes has the comparable samples of credits for the last slots of
	// endpoints, and otherHoldTimes those of the other credits.
	lastSlotHoldTimes, otherHoldTimes holdStats
	// lastFullGrant is when a credit for a last slot was last granted.
	lastFullGrant time.Time
	// rankWaitingSince is since when requests of each rank have been waiting, and
	// lastGrant when a credit was last granted for the rank. Like grantRank and backlog,
	// they are used only when credits are lent on demand.
	rankWaitingSince, lastGrant []time.Time
	// grantRank is the rank for which a credit is being granted.
	grantRank int
	// backlog is the estimated time until good endpoints are free for all waiting
	// requests of grantRank and of more urgent ranks.
	backlog time.Duration
	// probes are the endpoints to probe.
	probes []netip.AddrPort
	// overcommitUntil is until when credits are overcommitted.
	overcommitUntil time.Time
	// silentVMs is the number of VMs that are no longer heard of and may still send.
	silentVMs int
	// reportedAccounts is the number of borrowers that have reported in their term.
	reportedAccounts int
	// division is what the grants state.
	division Division
	// granted counts the credits granted since the last TakeGranted.
	granted int
}

// endpointState is the owner's record of one endpoint.
type endpointState struct {
	daisyendpoint.Endpoint
	// shedCooldownEnd is when the endpoint last refused an attempt because of its load,
	// plus shedCooldown.
	shedCooldownEnd time.Time
	// slowdown is the factor by which attempts take longer than usual, as reported at
	// reportedAt, and probedAt is when a probe was last requested.
	slowdown             float64
	reportedAt, probedAt time.Time
	// probeFailedAt is when a probe failed, if no report has arrived since.
	probeFailedAt time.Time
	// reportedLoad is the number of requests at the endpoint as reported at reportedAt,
	// when lentAtReport credits were lent.
	reportedLoad, lentAtReport int
	holdTimes                  holdStats
	// lastGrant is when a credit was last granted.
	lastGrant time.Time
	// returnedAt is when the evacuation of the endpoint ended; the zero time if it was not
	// evacuated.
	returnedAt time.Time
	// leaving is set if the endpoint said that it is going to stop, and pausedUntil is the
	// end of the pause that it asked this VM for, which sends the probes.
	leaving     bool
	pausedUntil time.Time
	// lentCredits is the number of credits that the borrowers hold, and restrictedBy
	// the number of borrowers that send only trials or nothing to the endpoint.
	// restrictedReported counts those of them that have reported in their term.
	lentCredits, restrictedBy, restrictedReported int
	rate                                          rateState
}

// account is the owner's record of one borrower.
type account struct {
	vm    daisyvm.VM
	term  Term
	loans map[netip.AddrPort]*loan
	// reported is set once the borrower has sent a report in this term, and has thereby
	// claimed the credits that it holds.
	reported bool
	sequence uint64
	demand   []Demand
	// rate and division are those of the latest report that arrived.
	rate     float64
	division Division
	// averageDemand is the moving average of the number of slots that the borrower needs,
	// updated at averagedAt.
	averageDemand float64
	averagedAt    time.Time
	// creditTarget is the number of credits to which the borrower should reduce its
	// holdings; it is sent as the Target of a Grant.
	creditTarget int
	// heldCredits is the number of credits held at all endpoints.
	heldCredits int
	// changed has the endpoints whose credits may have changed since the last
	// acknowledged grant.
	changed []netip.AddrPort
	// pending has the number of credits in each grant that the last report did not
	// acknowledge.
	pending []pendingGrant
	timer   messageTimer
}

// loan is the record of the credits that one borrower holds at one endpoint.
type loan struct {
	claimed    uint32
	granted    uint64
	recalled   uint64
	returned   uint64
	shed       uint64
	restricted bool
	changed    uint64
	// outstanding has the granted credits that have not been returned, the oldest first.
	outstanding []outstandingCredit
	// lastGrant is when a credit was last granted.
	lastGrant time.Time
	// answers is the number of answers that the latest known RateLimit of the borrower
	// came with.
	answers uint64
}

func (l *loan) held() int { return max(0, int(l.claimed)+int(l.granted)-int(l.returned)) }

// unrecalled returns the number of held credits that the borrower has not been told to return.
func (l *loan) unrecalled() int {
	return l.held() - max(0, int(l.recalled)-int(l.returned))
}

// pendingGrant is the number of credits that the grant with a sequence number carries.
type pendingGrant struct {
	sequence uint64
	credits  int
}

// Lending determines when an owner lends credits. It is either InAdvance or OnDemand.
type Lending interface{ lending() }

// InAdvance lends credits in advance: requests need not wait for a message, but a VM
// chooses an endpoint without taking the attempts of the others into account.
type InAdvance struct{}

// OnDemand lends a credit for each waiting request, at the endpoint that is the best
// at that time, and gets it back when the attempt has ended: each request waits for a
// round trip to the owner, which tracks the attempts of all VMs.
type OnDemand struct{}

func (InAdvance) lending() {}
func (OnDemand) lending()  {}

// NewOwner returns an Owner that takes over the slots of a service from now on. SetVMs
// has to set the borrowers.
func NewOwner(now time.Time, options OwnerOptions) *Owner {
	if options.Lending == nil {
		options.Lending = InAdvance{}
	}
	o := &Owner{options: options, lastTerm: options.LastTerm, claimDeadline: now.Add(claimTimeout), cold: make(map[netip.AddrPort]coldness)}
	o.setService(now, options.Service)
	return o
}

// TakeGranted returns the number of credits granted since the last call.
func (o *Owner) TakeGranted() int {
	n := o.granted
	o.granted = 0
	return n
}

// LastTerm returns the number of the latest term.
func (o *Owner) LastTerm() uint64 { return o.lastTerm }

// SetService applies a newly confirmed declaration of the service.
func (o *Owner) SetService(now time.Time, service daisyservice.Service) {
	o.setService(now, service)
	o.lend(now)
}

func (o *Owner) setService(now time.Time, service daisyservice.Service) {
	if !slices.Equal(o.service.Ranks, service.Ranks) {
		// What was recorded by position would count for other ranks.
		o.rankWaitingSince, o.lastGrant, o.rankHoldTimes, o.grantRank = nil, nil, nil, 0
	}
	old := o.byAddress
	o.byAddress = make(map[netip.AddrPort]*endpointState, len(service.Endpoints))
	o.service = service
	o.coldLimit = daisyendpoint.ColdRateLimit(service.ColdRate)
	o.totalSlots = service.Slots()
	o.countsValid = false
	o.endpoints = nil
	for _, d := range service.Endpoints {
		e := old[d.Address]
		if e == nil || !e.SameIncarnation(d) {
			e = &endpointState{}
			e.rate.cold = o.cold[d.Address]
			e.rate.chargeDue = e.rate.cold.inForce()
		}
		e.noteEvacuation(now, d.Evacuated)
		e.Endpoint = d
		o.endpoints = append(o.endpoints, e)
		o.byAddress[d.Address] = e
	}
}

// SetVMs sets the live VMs, which are the borrowers. The credits of VMs that have gone
// or restarted become free.
func (o *Owner) SetVMs(now time.Time, vms []daisyvm.VM) {
	o.accounts = slices.DeleteFunc(o.accounts, func(a *account) bool {
		return !slices.ContainsFunc(vms, func(v daisyvm.VM) bool {
			return v.Name == a.vm.Name && v.Incarnation == a.vm.Incarnation
		})
	})
	for _, v := range vms {
		if o.account(v.Name) == nil {
			a := &account{vm: v, timer: messageTimer{interval: messageInterval}, loans: make(map[netip.AddrPort]*loan)}
			if v.Name == o.options.Self.Name {
				a.timer.interval = localMessageInterval
			}
			o.accounts = append(o.accounts, a)
			o.beginTerm(now, a)
		}
	}
	o.countsValid = false
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

// beginTerm begins a term. Until the borrower claims its credits, it is assumed to hold
// as many as before.
func (o *Owner) beginTerm(now time.Time, a *account) {
	o.lastTerm++
	a.term = Term{Owner: o.options.Self.Name, Incarnation: o.options.Self.Incarnation, Number: o.lastTerm}
	o.countsValid = false
	a.reported = false
	a.sequence = 0
	a.demand = nil
	a.pending = nil
	for k, l := range a.loans {
		a.loans[k] = &loan{claimed: uint32(l.held()), restricted: l.restricted}
	}
	a.timer.forgetUnacked()
	a.timer.scheduleUpdate(now)
}

// Receive processes a report of a borrower.
func (o *Owner) Receive(now time.Time, from daisyvm.Name, report Report) {
	a := o.account(from)
	if a == nil {
		return
	}
	a.noteRate(report)
	if report.Term != a.term {
		o.receiveOtherTerm(now, a, report)
		return
	}
	if !a.reported {
		clear(a.loans)
		o.countsValid = false
		a.reported = true
		o.announceRateLimits(now, a)
		o.noteClaimedRateLimits(now, a, report.Held)
	}
	a.timer.receiveAck(now, report.Acknowledged)
	for _, h := range report.Held {
		o.applyHeld(now, a, h, report.Sequence > a.sequence)
	}
	if report.Sequence > 0 {
		a.timer.scheduleAck(now, o.reportAckDelay(report))
	}
	if report.Sequence > a.sequence {
		a.sequence = report.Sequence
		a.demand = report.Demand
		a.pending = slices.DeleteFunc(a.pending, func(c pendingGrant) bool { return c.sequence <= report.Acknowledged })
	}
	o.lend(now)
}

// reportAckDelay returns the delay of the acknowledgement of a report. It is short for
// a borrower whose requests wait for a credit on demand.
func (o *Owner) reportAckDelay(report Report) time.Duration {
	if _, ok := o.options.Lending.(OnDemand); ok && hasWaiting(report.Demand) {
		return onDemandAckDelay
	}
	return ackDelay
}

// hasWaiting reports whether any request waits.
func hasWaiting(demand []Demand) bool {
	return slices.ContainsFunc(demand, func(d Demand) bool { return d.Waiting > 0 })
}

// receiveOtherTerm handles a report of a term other than the current one. A borrower
// without a term gets a new one.
func (o *Owner) receiveOtherTerm(now time.Time, a *account, report Report) {
	if report.Term == (Term{}) {
		o.beginTerm(now, a)
		// The borrower tells by it how long it took.
		a.sequence = report.Sequence
		return
	}
	a.timer.scheduleUpdate(now)
}

// applyHeld updates the loan at an endpoint from a report; latest reports whether no
// newer report has arrived.
func (o *Owner) applyHeld(now time.Time, a *account, h Held, latest bool) {
	l, e := a.loanAt(h.Endpoint), o.endpoint(h.Endpoint)
	held := l.held()
	l.claimed = max(l.claimed, h.Claimed)
	o.recordReturns(now, e, l, h.Returned)
	if latest && l.restricted != h.Restricted {
		l.restricted = h.Restricted
		o.countsValid = false
	}
	a.heldCredits += l.held() - held
	if e != nil {
		e.lentCredits += l.held() - held
	}
	if h.Answers > l.answers {
		l.answers = h.Answers
		if e != nil && h.RateLimit != nil {
			o.setRateLimit(now, e, h.RateLimit)
		}
	}
	o.noteHeldCold(now, e, h.ColdFor)
	if h.Shed > l.shed {
		l.shed = h.Shed
		o.recordShed(now, h.Endpoint)
	}
}

// recordShed suspends the overcommitment of an endpoint for shedCooldown.
func (o *Owner) recordShed(now time.Time, endpoint netip.AddrPort) {
	if e := o.endpoint(endpoint); e != nil {
		e.shedCooldownEnd = now.Add(shedCooldown)
	}
}

func (o *Owner) endpoint(endpoint netip.AddrPort) *endpointState { return o.byAddress[endpoint] }

// recount recomputes the counts after a change that does not update them.
func (o *Owner) recount() {
	if o.countsValid {
		return
	}
	o.countsValid = true
	o.reportedAccounts = 0
	for _, e := range o.endpoints {
		e.lentCredits, e.restrictedBy, e.restrictedReported = 0, 0, 0
	}
	for _, a := range o.accounts {
		a.heldCredits = 0
		if a.reported {
			o.reportedAccounts++
		}
		for address, l := range a.loans {
			a.heldCredits += l.held()
			e := o.byAddress[address]
			if e == nil {
				continue
			}
			e.lentCredits += l.held()
			if l.restricted {
				e.restrictedBy++
			}
			if l.restricted && a.reported {
				e.restrictedReported++
			}
		}
	}
}

func (a *account) loanAt(endpoint netip.AddrPort) *loan {
	l := a.loans[endpoint]
	if l == nil {
		l = &loan{}
		a.loans[endpoint] = l
	}
	return l
}

// Flush returns the grants that are due at now.
func (o *Owner) Flush(now time.Time) []AddressedGrant {
	o.checkTimeouts(now)
	var grants []AddressedGrant
	for _, a := range o.accounts {
		switch {
		case a.timer.updateDue(now):
			grants = append(grants, AddressedGrant{To: a.vm.Name, Grant: o.newGrant(now, a)})
		case a.timer.ackDue(now):
			a.timer.recordAck(now)
			ack := Grant{Service: o.service.ID, Zone: o.options.Zone, Term: a.term, Acknowledged: a.sequence}
			grants = append(grants, AddressedGrant{To: a.vm.Name, Grant: ack})
		default:
			continue
		}
		o.scheduleKeepalive(now, a)
	}
	return grants
}

// scheduleKeepalive schedules the next message to a borrower whose requests wait for a
// credit on demand, so that the borrower does not time out. All such messages are due
// at the same times, so that one wake-up serves them all.
func (o *Owner) scheduleKeepalive(now time.Time, a *account) {
	if _, ok := o.options.Lending.(OnDemand); ok && hasWaiting(a.demand) {
		a.timer.scheduleAck(now, now.Truncate(keepaliveInterval).Add(keepaliveInterval).Sub(now))
	}
}

// newGrant returns the next numbered grant to a borrower.
func (o *Owner) newGrant(now time.Time, a *account) Grant {
	g := Grant{
		Service:      o.service.ID,
		Zone:         o.options.Zone,
		Term:         a.term,
		Acknowledged: a.sequence,
		Target:       uint32(max(0, a.creditTarget)),
		Division:     o.division,
	}
	a.changed = slices.DeleteFunc(a.changed, func(address netip.AddrPort) bool {
		l := a.loans[address]
		if l == nil || l.changed <= a.timer.acknowledged {
			return true
		}
		granted := Granted{Endpoint: address, Granted: l.granted, Recalled: l.recalled}
		if e := o.endpoint(address); e != nil {
			granted.RateLimit = e.rate.limit
			granted.ColdFor = e.rate.cold.remaining(now)
		}
		g.Granted = append(g.Granted, granted)
		return false
	})
	g.Sequence = a.timer.recordUpdate(now)
	return g
}

// checkTimeouts lends when claimDeadline or retryAt has come, and takes back the
// credits of borrowers that do not answer.
func (o *Owner) checkTimeouts(now time.Time) {
	if !o.lendingStarted && !now.Before(o.claimDeadline) || reached(now, o.retryAt) {
		o.lend(now)
	}
	for _, a := range o.accounts {
		if a.timer.timedOut(now, borrowerTimeout) && (a.reported || len(a.loans) > 0) {
			clear(a.loans)
			o.beginTerm(now, a)
			o.lend(now)
		}
	}
}

// NextWake returns the time at which Flush has to be called next; the zero time means never.
func (o *Owner) NextWake() time.Time {
	var wake time.Time
	if !o.lendingStarted {
		wake = o.claimDeadline
	}
	wake = daisywake.Sooner(wake, o.retryAt)
	for _, a := range o.accounts {
		wake = daisywake.Sooner(wake, a.timer.nextDue())
	}
	return wake
}
