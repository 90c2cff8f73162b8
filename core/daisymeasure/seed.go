package daisymeasure

import (
	"math/rand/v2"
	"time"
)

// faultKinds is the number of kinds of faults that TwoFaults chooses from.
const faultKinds = 7

// TwoFaults returns a small scenario with two faults of different kinds, message
// loss, and delayed and false reports. All of them are derived from the seed.
func TwoFaults(seed uint64) Scenario {
	random := rand.New(rand.NewPCG(seed, 5))
	fleet := Portugal(1)
	fleet.VMs = 3
	fleet.Endpoints = []int{4}
	s := Scenario{
		Fleet:       fleet,
		Load:        mixedLoad(0.6 + random.Float64()),
		Duration:    1500 * time.Millisecond,
		DrainTime:   15 * time.Second,
		Seed:        seed,
		MessageLoss: 0.1 * random.Float64(),
	}
	s.ReportAge = time.Duration(random.Int64N(int64(time.Second)))
	s.FalseReportShare = 0.3 * random.Float64()
	first := random.IntN(faultKinds)
	second := (first + 1 + random.IntN(faultKinds-1)) % faultKinds
	s.Faults = []Fault{drawFault(random, first), drawFault(random, second)}
	return s
}

func drawFault(random *rand.Rand, kind int) Fault {
	span := Span{
		Begin:  300*time.Millisecond + time.Duration(random.Int64N(int64(300*time.Millisecond))),
		Length: 100*time.Millisecond + time.Duration(random.Int64N(int64(1500*time.Millisecond))),
	}
	ref := EndpointRef{Endpoint: random.IntN(4)}
	vm := random.IntN(3)
	switch kind {
	case 0:
		return Slow{Span: span, EndpointRef: ref, Factor: 5 + 5*random.Float64()}
	case 1:
		return FailFast{Span: span, EndpointRef: ref}
	case 2:
		return Drain{Span: span, EndpointRef: ref}
	case 3:
		return Crash{Span: span, EndpointRef: ref}
	case 4:
		return KillVM{Span: span, VM: vm}
	case 5:
		return PauseVM{Span: span, VM: vm}
	}
	return Partition{Span: span}
}
