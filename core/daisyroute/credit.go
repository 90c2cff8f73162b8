package daisyroute

import (
	"slices"
	"time"

	"daisyyoke/core/daisycredit"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
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

// slotSharing shares the slots of a group of endpoints with other VMs, through credits or
// even shares: all endpoints of the service, or those of one availability zone. Its nil
// value shares nothing.
type slotSharing struct {
	self   daisyvm.VM
	policy Credits
	// even is set if each VM uses an even share and no VM owns the slots.
	even bool
	// zone is the availability zone of the endpoints, or zero.
	zone     daisyfleet.ZoneID
	borrower *daisycredit.Borrower
	// owner is nil while another VM owns the slots.
	owner *daisycredit.Owner
	// service is the service with the endpoints that the owner lends, which a VM that
	// divides the service in another way may still ask for.
	service daisyservice.Service
	// lastTerm is the number of the last term of the previous owner on this VM.
	lastTerm uint64
	// demand is the part of the waiting requests that the group is asked for.
	part   part
	demand []daisycredit.Demand
	// inFlight is the number of attempts of each rank at the endpoints.
	inFlight []int
	// endpoints is the number of endpoints that this VM uses through the group, without those
	// that are evacuated.
	endpoints int
	// changed is set if credits were gained or lost since the endpoints were last
	// refreshed.
	changed bool
	// wasNearLimit is the value of the borrower's NearShareLimit at the last refresh.
	wasNearLimit bool
	// reportedFallback is the InFallback value of the last LendingChanged.
	reportedFallback bool
}

// newSlotSharing returns the slotSharing for a group of endpoints of the service, or nil
// if the policy uses neither credits nor even shares.
func newSlotSharing(self daisyvm.VM, policy Policy, service daisyservice.Service, zone daisyfleet.ZoneID) *slotSharing {
	// A new borrower is in fallback mode until an owner has answered.
	s := &slotSharing{self: self, zone: zone, service: service, reportedFallback: true}
	switch p := policy.(type) {
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
	s.borrower = daisycredit.NewZoneBorrower(self, service, zone, s.policy.Lending)
	return s
}

// setVMs updates the live VMs, and starts or ends this VM's ownership of the slots.
func (d *Dispatcher) setVMs(now time.Time, s *slotSharing, event PeersChanged) {
	vms := event.VMs
	if s == nil {
		return
	}
	s.changed = true
	if s.even {
		s.borrower.SetShare(len(vms))
		return
	}
	s.borrower.SetShare(len(vms))
	owner, ok := event.Owners.Choose(d.service.ID, s.zone, vms)
	if ok {
		s.borrower.SetOwner(now, owner)
	}
	if !ok || owner.Name != s.self.Name {
		s.endOwnership()
		return
	}
	if s.owner == nil {
		s.owner = daisycredit.NewOwner(now, daisycredit.OwnerOptions{
			Self:       s.self,
			Service:    s.service,
			Zone:       s.zone,
			LastTerm:   s.lastTerm,
			Lending:    s.policy.Lending,
			Overcommit: s.policy.Overcommit,
		})
	}
	for _, e := range d.endpoints {
		s.owner.SetCold(now, e.address, e.cold.until, e.cold.learned)
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
	switch m := message.(type) {
	case daisymessage.CreditReport:
		if s := d.sharingAsked(now, m.Report.Zone); s != nil && s.owner != nil {
			s.owner.Receive(now, from, m.Report)
		}
	case daisymessage.CreditGrant:
		if s := d.sharingAsked(now, m.Grant.Zone); s != nil {
			s.borrower.Receive(now, from, m.Grant)
			d.learnRateLimits(now, s, m.Grant)
			d.learnColdness(now, m.Grant)
			s.changed = true
		}
	}
}

// exchangeCredits updates the demand, delivers the credit messages between borrowers
// and owners on this VM, emits those to other VMs, and sends the waiting requests
// for which there are credits now.
func (d *Dispatcher) exchangeCredits(now time.Time) {
	if len(d.sharings) == 0 {
		return
	}
	d.updateDivision(now)
	d.setDemands(now)
	changed := false
	for _, s := range d.sharings {
		for range maxExchanges {
			if !d.flushCredits(now, s) {
				break
			}
		}
		d.reportLending(s)
		changed = d.refreshShared(now, s) || changed
	}
	if changed {
		d.dispatchWaiting(now)
		d.setDemands(now)
	}
}

// refreshShared refreshes the endpoints of a group if its credits have changed, and
// reports whether they have.
func (d *Dispatcher) refreshShared(now time.Time, s *slotSharing) bool {
	nearLimit := s.borrower.NearShareLimit()
	if !s.changed && !s.wasNearLimit && !nearLimit {
		return false
	}
	s.changed, s.wasNearLimit = false, nearLimit
	for _, e := range d.endpoints {
		if e.sharing == s {
			d.refresh(now, e)
		}
	}
	return true
}

// reportLending emits LendingChanged when a borrower enters or leaves fallback mode.
func (d *Dispatcher) reportLending(s *slotSharing) {
	if inFallback := s.borrower.InFallback(); inFallback != s.reportedFallback && s.endpoints > 0 {
		s.reportedFallback = inFallback
		d.emit(LendingChanged{Owner: s.borrower.Owner().Name, Zone: s.zone, InFallback: inFallback})
	}
}

// flushCredits delivers or emits the reports, grants and probes that are due. It reports
// whether a message was delivered within this VM, which may make another one due.
func (d *Dispatcher) flushCredits(now time.Time, s *slotSharing) (more bool) {
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
	if d.division.byRate {
		d.division.lent.add(now, s.owner.TakeGranted())
	}
	for _, a := range s.owner.TakeProbes() {
		d.emit(d.newProbe(now, a))
	}
	for _, l := range s.owner.Flush(now) {
		if l.To == s.self.Name {
			s.borrower.Receive(now, l.To, l.Grant)
			d.learnRateLimits(now, s, l.Grant)
			d.learnColdness(now, l.Grant)
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

// changeService sets the endpoints that the borrower uses and those that the owner lends.
func (s *slotSharing) changeService(now time.Time, used, lent daisyservice.Service) {
	s.changed = true
	s.service, s.endpoints = lent, used.OpenEndpoints()
	s.borrower.SetService(now, used)
	if s.owner != nil {
		s.owner.SetService(now, lent)
	}
}

func (s *slotSharing) take(a *attempt) {
	if s == nil {
		return
	}
	for len(s.inFlight) <= int(a.rank) {
		s.inFlight = append(s.inFlight, 0)
	}
	s.inFlight[a.rank]++
	s.borrower.Take(a.endpoint.address)
}

func (s *slotSharing) release(now time.Time, a *attempt) {
	if s != nil {
		s.inFlight[a.rank]--
		s.borrower.Release(now, a.endpoint.address)
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
	if len(d.sharings) == 0 || d.mostUrgent(rank) || d.spare > 1 {
		return false
	}
	if lendsOnDemand(d.policy) {
		// The owner considers the ranks when it lends.
		return false
	}
	return now.Sub(d.lastUrgent) < urgentReserveTime
}
