package daisymeasure

import (
	"math/rand/v2"
	"time"
)

// faultKinds counts the kinds of faults that TwoFaults draws from.
const faultKinds = 7

// TwoFaults gives a small scenario with two faults at a time, lossy links and
// late reports, all drawn from the seed.
func TwoFaults(seed uint64) Scenario {
	random := rand.New(rand.NewPCG(seed, 5))
	fleet := Portugal(1)
	fleet.VMs = 3
	fleet.Endpoints = []int{4}
	s := Scenario{
		Fleet: fleet,
		Load:  mixed(0.6 + random.Float64()),
		For:   1500 * time.Millisecond,
		Drain: 15 * time.Second,
		Seed:  seed,
		Loss:  0.1 * random.Float64(),
	}
	s.ReportAge = time.Duration(random.Int64N(int64(time.Second)))
	s.FalseReports = 0.3 * random.Float64()
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
	place := Place{Endpoint: random.IntN(4)}
	vm := random.IntN(3)
	switch kind {
	case 0:
		return Slow{Span: span, Place: place, Factor: 5 + 5*random.Float64()}
	case 1:
		return FailFast{Span: span, Place: place}
	case 2:
		return Drain{Span: span, Place: place}
	case 3:
		return Die{Span: span, Place: place}
	case 4:
		return KillVM{Span: span, VM: vm}
	case 5:
		return PauseVM{Span: span, VM: vm}
	}
	return Cut{Span: span}
}
