package daisyroute

import "time"

// Policy selects an endpoint with a free slot for a request. It is one of Credits,
// EvenShares, Random, RoundRobin and LeastOfTwo. With the last three, VMs don't
// coordinate: each assumes that only its own attempts occupy slots.
type Policy interface{ policy() }

// Random selects a random endpoint with a free slot.
type Random struct{}

// RoundRobin selects the endpoints with a free slot in turn.
type RoundRobin struct{}

// LeastOfTwo selects the less loaded of two random endpoints with a free slot.
type LeastOfTwo struct {
	// Reports adds the load that the endpoints reported, discounted by its age, to
	// the number of the VM's own attempts.
	Reports bool
}

func (Random) policy()     {}
func (RoundRobin) policy() {}
func (LeastOfTwo) policy() {}

// Choice is the reason why an endpoint was selected.
type Choice int

const (
	// OnlyFree means that no other endpoint had a free slot.
	OnlyFree Choice = iota
	// AnyFree means that the endpoint was selected at random.
	AnyFree
	// InTurn means that the endpoint was selected by round robin.
	InTurn
	// LeastLoaded means that the endpoint was the less loaded of two.
	LeastLoaded
	// Trial means that the request tests whether an ejected endpoint has recovered.
	Trial
)

// String returns the choice in kebab case.
func (c Choice) String() string {
	switch c {
	case OnlyFree:
		return "only-free"
	case AnyFree:
		return "any-free"
	case InTurn:
		return "in-turn"
	case LeastLoaded:
		return "least-loaded"
	case Trial:
		return "trial"
	}
	return "unknown"
}

// candidate is an endpoint that a policy selected, with the one it was compared with.
type candidate struct {
	endpoint   *endpoint
	considered *endpoint
	choice     Choice
}

// attemptLimit returns how many attempts of this VM may be under way at an endpoint at
// the same time under the policy.
func (d *Dispatcher) attemptLimit(e *endpoint) int {
	switch d.policy.(type) {
	case Random, RoundRobin, LeastOfTwo:
		return e.slots
	case Credits, EvenShares:
		return e.inFlight + e.sharing.borrower.Idle(e.address)
	}
	return e.slots
}

// pick returns the endpoint for a request, or no endpoint if none with a free slot is
// allowed for the request.
func (d *Dispatcher) pick(now time.Time, r *request) candidate {
	if e := d.pickTrial(now, r); e != nil {
		return candidate{endpoint: e, choice: Trial}
	}
	return d.pickByPolicy(now, r)
}

// pickByPolicy is like pick but ignores ejected endpoints that are due for a trial.
func (d *Dispatcher) pickByPolicy(now time.Time, r *request) candidate {
	var c candidate
	switch p := d.policy.(type) {
	case Random:
		c = candidate{endpoint: d.pickRandom(r, nil), choice: AnyFree}
	case RoundRobin:
		c = candidate{endpoint: d.pickNext(r), choice: InTurn}
	case LeastOfTwo:
		c = d.pickLeast(now, r, p)
	case Credits, EvenShares:
		c = d.pickLeast(now, r, LeastOfTwo{})
	}
	if c.endpoint != nil && len(d.free) == 1 {
		c.choice = OnlyFree
	}
	return c
}

// maxCostRatio is the ratio of the costs of two endpoints below which the second one
// is preferred to the first. Small differences must not starve an endpoint.
const maxCostRatio = 0.9

// maxTrialWait is how long a trial waits for a hedgeable request, which another
// attempt can complete if the trial fails.
const maxTrialWait = 2 * time.Second

// pickTrial returns an ejected endpoint that the request should test, or nil. A
// hedgeable request is used at once, any other one after maxTrialWait.
func (d *Dispatcher) pickTrial(now time.Time, r *request) *endpoint {
	for _, e := range d.trials {
		if r.allows(e) && (r.Hedgeable || !now.Before(e.trialDue.Add(maxTrialWait))) {
			return e
		}
	}
	return nil
}

func (d *Dispatcher) pickLeast(now time.Time, r *request, policy LeastOfTwo) candidate {
	a := d.pickRandom(r, nil)
	if a == nil {
		return candidate{}
	}
	b := d.pickRandom(r, a)
	if b != nil && d.cost(now, b, policy) < maxCostRatio*d.cost(now, a, policy) {
		a, b = b, a
	}
	return candidate{endpoint: a, considered: b, choice: LeastLoaded}
}

// maxRandomDraws is the number of random draws after which the free endpoints are
// searched in order.
const maxRandomDraws = 4

// pickRandom returns a random free endpoint other than excluded that is allowed for the
// request, or nil.
func (d *Dispatcher) pickRandom(r *request, excluded *endpoint) *endpoint {
	n := len(d.free)
	if n == 0 {
		return nil
	}
	for range maxRandomDraws {
		e := d.free[d.random.IntN(n)]
		if e != excluded && r.allows(e) {
			return e
		}
	}
	start := d.random.IntN(n)
	for i := range n {
		e := d.free[(start+i)%n]
		if e != excluded && r.allows(e) {
			return e
		}
	}
	return nil
}

// pickNext returns the next free endpoint by round robin that is allowed for the
// request, or nil.
func (d *Dispatcher) pickNext(r *request) *endpoint {
	if len(d.free) == 0 {
		return nil
	}
	for range d.endpoints {
		d.roundRobinIndex = (d.roundRobinIndex + 1) % len(d.endpoints)
		e := d.endpoints[d.roundRobinIndex]
		if e.freeIndex != notListed && r.allows(e) {
			return e
		}
	}
	return nil
}

const (
	// reportHalfAge is the age at which a load report has half its weight, which is
	// 1/(1+age/reportHalfAge).
	reportHalfAge = 50 * time.Millisecond
	// maxReportAge is the age from which a load report is ignored.
	maxReportAge = time.Second
)

// cost returns an estimate, without a unit, of how long a further request would take
// at an endpoint.
func (d *Dispatcher) cost(now time.Time, e *endpoint, policy LeastOfTwo) float64 {
	return (d.load(now, e, policy) + 1) * e.health.Weight(now) / float64(max(e.slots, 1))
}

// load returns an estimate of the number of requests in flight at an endpoint.
func (d *Dispatcher) load(now time.Time, e *endpoint, policy LeastOfTwo) float64 {
	ownAttempts := float64(e.inFlight)
	if !policy.Reports || e.report.At.IsZero() {
		return ownAttempts
	}
	age := max(now.Sub(e.report.At), 0)
	if age >= maxReportAge {
		return ownAttempts
	}
	relativeAge := float64(age) / float64(reportHalfAge)
	otherAttempts := float64(min(max(e.report.InFlight-e.inFlightAtReport, 0), e.slots))
	return ownAttempts + otherAttempts/(1+relativeAge)
}
