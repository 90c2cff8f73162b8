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
// the less loaded of two random ones. Without an owner of the slots, the VM uses at
// most an even share of them.
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

// credits is the part of a Dispatcher that shares slots with other VMs. Its nil
// value shares nothing.
type credits struct {
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

// newCredits returns the credits for the policy, or nil if the policy uses neither
// credits nor even shares.
func newCredits(options Options) *credits {
	// A new borrower is in fallback mode until it has exchanged messages with an owner.
	c := &credits{self: options.Self, reportedFallback: true}
	switch p := options.Policy.(type) {
	case Credits:
		c.policy = p
	case EvenShares:
		c.even = true
	case Random, RoundRobin, LeastOfTwo:
		return nil
	}
	if c.policy.Lending == nil {
		c.policy.Lending = daisycredit.InAdvance{}
	}
	c.borrower = daisycredit.NewBorrower(options.Self, options.Service, c.policy.Lending)
	return c
}

// setVMs updates the live VMs, and starts or ends this VM's ownership of the slots.
func (d *Dispatcher) setVMs(now time.Time, event PeersChanged) {
	vms := event.VMs
	c := d.credits
	if c == nil {
		return
	}
	c.changed = true
	if c.even {
		c.borrower.SetShare(len(vms))
		return
	}
	c.borrower.SetVMs(now, vms)
	owner, ok := daisycredit.ChooseOwner(d.service.ID, vms)
	if !ok || owner.Name != c.self.Name {
		c.endOwnership()
		return
	}
	if c.owner == nil {
		c.owner = daisycredit.NewOwner(now, daisycredit.OwnerOptions{
			Self:       c.self,
			Service:    d.service,
			LastTerm:   c.lastTerm,
			Lending:    c.policy.Lending,
			Overcommit: c.policy.Overcommit,
		})
	}
	c.owner.SetVMs(now, slices.Concat(vms, event.Leaving))
}

func (c *credits) endOwnership() {
	if c.owner != nil {
		c.lastTerm = c.owner.LastTerm()
		c.owner = nil
	}
}

// receiveCreditMessage handles a credit message from another VM.
func (d *Dispatcher) receiveCreditMessage(now time.Time, from daisyvm.Name, message daisymessage.Message) {
	c := d.credits
	if c == nil {
		return
	}
	switch m := message.(type) {
	case daisymessage.CreditReport:
		if c.owner != nil {
			c.owner.Receive(now, from, m.Report)
		}
	case daisymessage.CreditGrant:
		c.borrower.Receive(now, from, m.Grant)
		c.changed = true
	}
}

// exchangeCredits updates the demand, delivers the credit messages between borrower
// and owner on this VM, emits those to other VMs, and sends the waiting requests
// for which there are credits now.
func (d *Dispatcher) exchangeCredits(now time.Time) {
	c := d.credits
	if c == nil {
		return
	}
	c.setDemand(now, d)
	for range maxExchanges {
		decisions, more := c.flush(now)
		d.decisions = append(d.decisions, decisions...)
		if !more {
			break
		}
	}
	d.reportLending()
	nearLimit := c.borrower.NearShareLimit()
	if !c.changed && !c.wasNearLimit && !nearLimit {
		return
	}
	c.changed, c.wasNearLimit = false, nearLimit
	for _, e := range d.endpoints {
		d.refresh(now, e)
	}
	d.dispatchWaiting(now)
	c.setDemand(now, d)
}

// reportLending emits LendingChanged when the borrower enters or leaves fallback mode.
func (d *Dispatcher) reportLending() {
	c := d.credits
	if inFallback := c.borrower.InFallback(); inFallback != c.reportedFallback {
		c.reportedFallback = inFallback
		d.emit(LendingChanged{Owner: c.borrower.Owner().Name, InFallback: inFallback})
	}
}

func (c *credits) setDemand(now time.Time, d *Dispatcher) {
	c.demand = c.demand[:0]
	for r := range d.service.Ranks {
		c.demand = append(c.demand, d.Demand(daisyrank.Index(r)))
	}
	c.borrower.SetDemand(now, c.demand)
}

// flush delivers or emits the reports, grants and probes that are due. It reports
// whether a message was delivered within this VM, which may make another one due.
func (c *credits) flush(now time.Time) (decisions []Decision, more bool) {
	inFallback := c.borrower.InFallback()
	if r, ok := c.borrower.Flush(now); ok {
		to := c.borrower.Owner().Name
		if to == c.self.Name && c.owner != nil {
			c.owner.Receive(now, to, r)
			more = true
		} else {
			decisions = append(decisions, SendMessage{To: to, Message: daisymessage.CreditReport{Report: r}})
		}
	}
	if inFallback != c.borrower.InFallback() {
		c.changed = true
	}
	if c.owner == nil {
		return decisions, more
	}
	for _, a := range c.owner.TakeProbes() {
		decisions = append(decisions, Probe{Endpoint: a})
	}
	for _, l := range c.owner.Flush(now) {
		if l.To == c.self.Name {
			c.borrower.Receive(now, l.To, l.Grant)
			c.changed, more = true, true
			continue
		}
		decisions = append(decisions, SendMessage{To: l.To, Message: daisymessage.CreditGrant{Grant: l.Grant}})
	}
	return decisions, more
}

func (c *credits) wake() time.Time {
	if c == nil {
		return time.Time{}
	}
	wake := c.borrower.NextWake()
	if c.owner == nil {
		return wake
	}
	return daisywake.Sooner(wake, c.owner.NextWake())
}

func (c *credits) changeService(now time.Time, service daisyservice.Service) {
	if c == nil {
		return
	}
	c.changed = true
	c.borrower.SetService(now, service)
	if c.owner != nil {
		c.owner.SetService(now, service)
	}
}

func (c *credits) take(e *endpoint) {
	if c != nil {
		c.borrower.Take(e.address)
	}
}

func (c *credits) release(now time.Time, e *endpoint) {
	if c != nil {
		c.borrower.Release(now, e.address)
	}
}

// setBroken sets whether this VM keeps requests away from an endpoint.
func (c *credits) setBroken(now time.Time, e *endpoint, broken bool) {
	if c != nil {
		c.borrower.SetBroken(now, e.address, broken)
		c.changed = true
	}
}

// noteReport passes the load report of an endpoint to the owner, if it is on this VM.
func (c *credits) noteReport(now time.Time, e *endpoint, report daisyendpoint.Report) {
	if c != nil && c.owner != nil {
		c.owner.NoteReport(now, e.address, report)
	}
}

// noteProbeFailure informs the owner, if it is on this VM, that an endpoint did not
// answer a probe.
func (c *credits) noteProbeFailure(now time.Time, e *endpoint) {
	if c != nil && c.owner != nil {
		c.owner.NoteProbeFailure(now, e.address)
	}
}

func (c *credits) noteOutcome(now time.Time, e *endpoint, outcome daisyrequest.Outcome) {
	if _, shed := outcome.(daisyrequest.Shed); shed && c != nil {
		c.borrower.NoteShed(now, e.address)
	}
}

// urgentReserveTime is how long after a request of the most urgent rank one credit
// stays reserved for the next one.
const urgentReserveTime = 200 * time.Millisecond

// reservesLastCredit reports whether the last free credit is reserved for more
// urgent requests than those of the given rank. A request that has been sent cannot
// be preempted when a more urgent one arrives.
func (d *Dispatcher) reservesLastCredit(now time.Time, rank daisyrank.Index) bool {
	if d.credits == nil || rank == 0 || d.spare > 1 {
		return false
	}
	if lendsOnDemand(d.policy) {
		// The owner considers the ranks when it lends.
		return false
	}
	return now.Sub(d.credits.lastUrgent) < urgentReserveTime
}

// noteArrival records the arrival time of requests of the most urgent rank.
func (c *credits) noteArrival(now time.Time, rank daisyrank.Index) {
	if c != nil && rank == 0 {
		c.lastUrgent = now
	}
}
