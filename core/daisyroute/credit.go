package daisyroute

import (
	"slices"
	"time"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/core/daisywake"
)

// Credits sends only to endpoints at which the VM holds a slot credit, and picks
// the less loaded of two random ones. While no owner of the slots answers, the VM uses
// at most an even share of them.
type Credits struct {
	// Lending determines when credits are lent; nil means daisycredit.InAdvance.
	Lending daisycredit.Lending
	// Overcommit is the number of credits lent for an endpoint in excess of its
	// slots when the slots are saturated.
	Overcommit int
}

// EvenShares gives each live VM an even share of the slots, without messages
// between VMs.
type EvenShares struct{}

func (Credits) policy()    {}
func (EvenShares) policy() {}

// maxExchanges is the maximum number of rounds of messages between an owner and a
// borrower on the same VM while one event is handled.
const maxExchanges = 8

// slotSharing is the part of a Dispatcher that shares slots with other VMs, through
// credits or even shares. Its nil value shares nothing.
type slotSharing struct {
	self   daisyvm.VM
	policy Credits
	// even is set if each VM uses an even share and no VM owns the slots.
	even     bool
	borrower *daisycredit.Borrower
	// owner is nil while another VM owns the slots.
	owner *daisycredit.Owner
	// lastTerm is the number of the last term of the previous owner on this VM.
	lastTerm uint64
	demand   []daisycredit.Demand
	// lastUrgent is the time at which a request of the most urgent rank last arrived.
	lastUrgent time.Time
	// changed is set if credits were gained or lost since the endpoints were last
	// refreshed.
	changed bool
	// wasNearLimit is the value of the borrower's NearShareLimit at the last refresh.
	wasNearLimit bool
	// reportedFallback is the InFallback value of the last LendingChanged.
	reportedFallback bool
}

// newSlotSharing returns the slotSharing for the policy, or nil if the policy uses
// neither credits nor even shares.
func newSlotSharing(options Options) *slotSharing {
	// A new borrower is in fallback mode until an owner has answered.
	s := &slotSharing{self: options.Self, reportedFallback: true}
	switch p := options.Policy.(type) {
	case Credits:
		s.policy = p
	case EvenShares:
		s.even = true
	case Random, RoundRobin, LeastOfTwo:
		return nil
	}
	if s.policy.Lending == nil {
		s.policy.Lending = daisycredit.InAdvance{}
	}
	s.borrower = daisycredit.NewBorrower(options.Self, options.Service, s.policy.Lending)
	return s
}

// setVMs updates the live VMs, and starts or ends this VM's ownership of the slots.
func (d *Dispatcher) setVMs(now time.Time, event PeersChanged) {
	vms := event.VMs
	s := d.sharing
	if s == nil {
		return
	}
	s.changed = true
	if s.even {
		s.borrower.SetShare(len(vms))
		return
	}
	s.borrower.SetVMs(now, vms)
	owner, ok := daisycredit.ChooseOwner(d.service.ID, vms)
	if !ok || owner.Name != s.self.Name {
		s.endOwnership()
		return
	}
	if s.owner == nil {
		s.owner = daisycredit.NewOwner(now, daisycredit.OwnerOptions{
			Self:       s.self,
			Service:    d.service,
			LastTerm:   s.lastTerm,
			Lending:    s.policy.Lending,
			Overcommit: s.policy.Overcommit,
		})
	}
	s.owner.SetVMs(now, slices.Concat(vms, event.Leaving))
	for _, e := range d.endpoints {
		s.noteNotice(e)
	}
}

func (s *slotSharing) endOwnership() {
	if s.owner != nil {
		s.lastTerm = s.owner.LastTerm()
		s.owner = nil
	}
}

// receiveCreditMessage handles a credit message from another VM.
func (d *Dispatcher) receiveCreditMessage(now time.Time, from daisyvm.Name, message daisymessage.Message) {
	s := d.sharing
	if s == nil {
		return
	}
	switch m := message.(type) {
	case daisymessage.CreditReport:
		if s.owner != nil {
			s.owner.Receive(now, from, m.Report)
		}
	case daisymessage.CreditGrant:
		s.borrower.Receive(now, from, m.Grant)
		d.learnRateLimits(now, m.Grant)
		s.changed = true
	}
}

// exchangeCredits updates the demand, delivers the credit messages between borrower
// and owner on this VM, emits those to other VMs, and sends the waiting requests
// for which there are credits now.
func (d *Dispatcher) exchangeCredits(now time.Time) {
	s := d.sharing
	if s == nil {
		return
	}
	s.setDemand(now, d)
	for range maxExchanges {
		if !d.flushCredits(now) {
			break
		}
	}
	d.reportLending()
	nearLimit := s.borrower.NearShareLimit()
	if !s.changed && !s.wasNearLimit && !nearLimit {
		return
	}
	s.changed, s.wasNearLimit = false, nearLimit
	for _, e := range d.endpoints {
		d.refresh(now, e)
	}
	d.dispatchWaiting(now)
	s.setDemand(now, d)
}

// reportLending emits LendingChanged when the borrower enters or leaves fallback mode.
func (d *Dispatcher) reportLending() {
	s := d.sharing
	if inFallback := s.borrower.InFallback(); inFallback != s.reportedFallback {
		s.reportedFallback = inFallback
		d.emit(LendingChanged{Owner: s.borrower.Owner().Name, InFallback: inFallback})
	}
}

func (s *slotSharing) setDemand(now time.Time, d *Dispatcher) {
	s.demand = s.demand[:0]
	for r := range d.service.Ranks {
		s.demand = append(s.demand, d.Demand(daisyrank.Index(r)))
	}
	s.borrower.SetDemand(now, s.demand)
}

// flushCredits delivers or emits the reports, grants and probes that are due. It reports
// whether a message was delivered within this VM, which may make another one due.
func (d *Dispatcher) flushCredits(now time.Time) (more bool) {
	s := d.sharing
	inFallback := s.borrower.InFallback()
	if r, ok := s.borrower.Flush(now); ok {
		to := s.borrower.Owner().Name
		if to == s.self.Name && s.owner != nil {
			s.owner.Receive(now, to, r)
			more = true
		} else {
			d.emit(SendMessage{To: to, Message: daisymessage.CreditReport{Report: r}})
		}
	}
	if inFallback != s.borrower.InFallback() {
		s.changed = true
	}
	if s.owner == nil {
		return more
	}
	for _, a := range s.owner.TakeProbes() {
		d.emit(d.newProbe(now, a))
	}
	for _, l := range s.owner.Flush(now) {
		if l.To == s.self.Name {
			s.borrower.Receive(now, l.To, l.Grant)
			d.learnRateLimits(now, l.Grant)
			s.changed, more = true, true
			continue
		}
		d.emit(SendMessage{To: l.To, Message: daisymessage.CreditGrant{Grant: l.Grant}})
	}
	return more
}

func (s *slotSharing) wake() time.Time {
	if s == nil {
		return time.Time{}
	}
	wake := s.borrower.NextWake()
	if s.owner == nil {
		return wake
	}
	return daisywake.Sooner(wake, s.owner.NextWake())
}

func (s *slotSharing) changeService(now time.Time, service daisyservice.Service) {
	if s == nil {
		return
	}
	s.changed = true
	s.borrower.SetService(now, service)
	if s.owner != nil {
		s.owner.SetService(now, service)
	}
}

func (s *slotSharing) take(e *endpoint) {
	if s != nil {
		s.borrower.Take(e.address)
	}
}

func (s *slotSharing) release(now time.Time, e *endpoint) {
	if s != nil {
		s.borrower.Release(now, e.address)
	}
}

// setRestricted sets whether this VM sends only trials or nothing to an endpoint.
func (s *slotSharing) setRestricted(now time.Time, e *endpoint, restricted bool) {
	if s != nil {
		s.borrower.SetRestricted(now, e.address, restricted)
		s.changed = true
	}
}

// noteReport passes the load report of an endpoint to the owner, if it is on this VM.
func (s *slotSharing) noteReport(now time.Time, e *endpoint, report daisyendpoint.Report) {
	if s != nil && s.owner != nil {
		s.owner.NoteReport(now, e.address, report)
	}
}

// noteProbeFailure informs the owner, if it is on this VM, that an endpoint did not
// answer a probe.
func (s *slotSharing) noteProbeFailure(now time.Time, e *endpoint) {
	if s != nil && s.owner != nil {
		s.owner.NoteProbeFailure(now, e.address)
	}
}

// noteRateLimit passes the rate limit that an endpoint named on to the owner.
func (s *slotSharing) noteRateLimit(now time.Time, e *endpoint, limit daisyendpoint.RateLimit) {
	if s != nil {
		s.borrower.NoteRateLimit(now, e.address, limit)
	}
}

// noteNotice tells the owner, if it is on this VM, what an endpoint asked for.
func (s *slotSharing) noteNotice(e *endpoint) {
	if s == nil || s.owner == nil {
		return
	}
	s.owner.SetPause(e.address, e.pausedUntil)
	if e.leaving {
		s.owner.SetLeaving(e.address)
	}
}

func (s *slotSharing) forgetRateLimit(e *endpoint) {
	if s != nil {
		s.borrower.ForgetRateLimit(e.address)
	}
}

func (s *slotSharing) noteOutcome(now time.Time, e *endpoint, outcome daisyrequest.Outcome) {
	if _, shed := outcome.(daisyrequest.Shed); shed && s != nil {
		s.borrower.NoteShed(now, e.address)
	}
}

// urgentReserveTime is how long after a request of the most urgent rank one credit
// stays reserved for the next one.
const urgentReserveTime = 200 * time.Millisecond

// reservesLastCredit reports whether the last free credit stays reserved for requests
// of the most urgent rank, so that a waiting request of the given rank may not use it. A
// request that has been sent cannot be preempted when a more urgent one arrives.
func (d *Dispatcher) reservesLastCredit(now time.Time, rank daisyrank.Index) bool {
	if d.sharing == nil || rank == 0 || d.spare > 1 {
		return false
	}
	if lendsOnDemand(d.policy) {
		// The owner considers the ranks when it lends.
		return false
	}
	return now.Sub(d.sharing.lastUrgent) < urgentReserveTime
}

// noteArrival records the arrival time of requests of the most urgent rank.
func (s *slotSharing) noteArrival(now time.Time, rank daisyrank.Index) {
	if s != nil && rank == 0 {
		s.lastUrgent = now
	}
}
