package daisyroute

import "time"

// Policy decides which endpoint with a free slot, if any, a request may take. It
// is one of Credits, EvenShares and, without coordination, Random, RoundRobin and
// LeastOfTwo, by which each VM assumes that only its own attempts occupy slots.
type Policy interface{ policy() }

// Random takes any endpoint with a free slot.
type Random struct{}

// RoundRobin takes the endpoints with a free slot in turn.
type RoundRobin struct{}

// LeastOfTwo takes the less loaded of two random endpoints with a free slot.
type LeastOfTwo struct {
	// Reports adds the load that the endpoints reported, discounted by its age,
	// to the VM's own attempts.
	Reports bool
}

func (Random) policy()     {}
func (RoundRobin) policy() {}
func (LeastOfTwo) policy() {}

// Choice says why an endpoint was taken among those with a free slot.
type Choice int

const (
	// OnlyFree says that no other endpoint had a free slot.
	OnlyFree Choice = iota
	// AnyFree is a random choice.
	AnyFree
	// InTurn is a choice in turn.
	InTurn
	// LeastLoaded is the less loaded of two.
	LeastLoaded
	// Trial checks whether an ejected endpoint has recovered.
	Trial
)

// String gives the choice in kebab case.
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

// candidate is an endpoint that a policy picked, with the one it was weighed against.
type candidate struct {
	endpoint *endpoint
	other    *endpoint
	choice   Choice
}

// limit gives how many attempts of this VM the policy lets an endpoint have at a time.
func (d *Dispatcher) limit(e *endpoint) int {
	switch d.policy.(type) {
	case Random, RoundRobin, LeastOfTwo:
		return e.slots
	case Credits, EvenShares:
		return e.inFlight + d.credits.borrower.Idle(e.address)
	}
	return e.slots
}

// pick gives the endpoint for a request, or none when no endpoint with a free slot may take it.
func (d *Dispatcher) pick(now time.Time, r *request) candidate {
	if e := d.pickTrial(now, r); e != nil {
		return candidate{endpoint: e, choice: Trial}
	}
	return d.choose(now, r)
}

// choose is pick without trials.
func (d *Dispatcher) choose(now time.Time, r *request) candidate {
	var c candidate
	switch p := d.policy.(type) {
	case Random:
		c = candidate{endpoint: d.draw(r, nil), choice: AnyFree}
	case RoundRobin:
		c = candidate{endpoint: d.next(r), choice: InTurn}
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

// clearly is the part of the cost of an endpoint below which another one is taken
// in its place: small differences must not starve an endpoint.
const clearly = 0.9

// trialOverdue is how long a trial waits for a request that another attempt could save.
const trialOverdue = 2 * time.Second

// pickTrial gives an ejected endpoint that the request should try: a request that
// can be hedged goes at once, any other when none such came for long.
func (d *Dispatcher) pickTrial(now time.Time, r *request) *endpoint {
	for _, e := range d.trials {
		if r.mayTake(e) && (r.Hedgeable || !now.Before(e.trialDue.Add(trialOverdue))) {
			return e
		}
	}
	return nil
}

func (d *Dispatcher) pickLeast(now time.Time, r *request, policy LeastOfTwo) candidate {
	a := d.draw(r, nil)
	if a == nil {
		return candidate{}
	}
	b := d.draw(r, a)
	if b != nil && d.cost(now, b, policy) < clearly*d.cost(now, a, policy) {
		a, b = b, a
	}
	return candidate{endpoint: a, other: b, choice: LeastLoaded}
}

// draws bounds the random draws before the free endpoints are searched in order.
const draws = 4

// draw gives a random free endpoint that the request may take, other than besides.
func (d *Dispatcher) draw(r *request, besides *endpoint) *endpoint {
	n := len(d.free)
	if n == 0 {
		return nil
	}
	for range draws {
		e := d.free[d.random.IntN(n)]
		if e != besides && r.mayTake(e) {
			return e
		}
	}
	start := d.random.IntN(n)
	for i := range n {
		e := d.free[(start+i)%n]
		if e != besides && r.mayTake(e) {
			return e
		}
	}
	return nil
}

// next gives the free endpoint whose turn it is.
func (d *Dispatcher) next(r *request) *endpoint {
	if len(d.free) == 0 {
		return nil
	}
	for range d.endpoints {
		d.roundRobinIndex = (d.roundRobinIndex + 1) % len(d.endpoints)
		e := d.endpoints[d.roundRobinIndex]
		if e.freeIndex != notListed && r.mayTake(e) {
			return e
		}
	}
	return nil
}

const (
	// reportHalfLife is the age at which a report counts half.
	reportHalfLife = 50 * time.Millisecond
	// reportLife is the age from which it counts nothing.
	reportLife = time.Second
)

// cost estimates how long a further request would take at an endpoint, in no unit.
func (d *Dispatcher) cost(now time.Time, e *endpoint, policy LeastOfTwo) float64 {
	return (d.load(now, e, policy) + 1) * e.health.Weight(now) / float64(max(e.slots, 1))
}

// load estimates how many requests an endpoint works on.
func (d *Dispatcher) load(now time.Time, e *endpoint, policy LeastOfTwo) float64 {
	own := float64(e.inFlight)
	if !policy.Reports || e.report.At.IsZero() {
		return own
	}
	age := max(now.Sub(e.report.At), 0)
	if age >= reportLife {
		return own
	}
	halves := float64(age) / float64(reportHalfLife)
	others := float64(min(max(e.report.InFlight-e.inFlightAtReport, 0), e.slots))
	return own + others/(1+halves)
}
