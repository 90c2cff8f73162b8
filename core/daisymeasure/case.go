package daisymeasure

import "time"

// Size says how large the runs of the cases are.
type Size struct {
	// Services is the number of services a fleet has, For how long callers arrive.
	Services int
	For      time.Duration
	Seed     uint64
}

// Case is a scenario with a name.
type Case struct {
	Name     string
	Scenario Scenario
	// Unbounded says that a central queue gives no limit to compare with.
	Unbounded bool
}

// mixed divides a load between the ranks as the users' work is divided.
func mixed(load float64) [ranks]float64 { return [ranks]float64{0.5 * load, 0.3 * load, 0.2 * load} }

func (z Size) scenario(fleet Fleet, load [ranks]float64) Scenario {
	return Scenario{Fleet: fleet, Load: load, For: z.For, Warmup: time.Second, Seed: z.Seed}
}

// faultAt is when the faults of a case begin.
const faultAt = 3 * time.Second

// Steady is load without faults, mixed as the users' work is.
func (z Size) Steady(name string, fleet Fleet, load float64) Case {
	return Case{Name: name, Scenario: z.scenario(fleet, mixed(load))}
}

// UrgentOnly is load of the most urgent rank alone.
func (z Size) UrgentOnly(load float64) Case {
	return Case{Name: "urgent work only", Scenario: z.scenario(Portugal(z.Services), [ranks]float64{load})}
}

// SlowTenth has a tenth of the endpoints 5 to 10 times slower, changing every 50 to 500 ms.
func (z Size) SlowTenth() Case {
	c := z.Steady("70%, a tenth of the endpoints slow by turns", Portugal(z.Services), 0.7)
	c.Scenario.Faults = Stragglers(c.Scenario.Fleet, 0.1, z.For, z.Seed)
	return c
}

// Reports is load at 85% with reports as late and as false as said.
func (z Size) Reports(name string, age time.Duration, falseShare float64, none bool) Case {
	c := z.Steady(name, Portugal(z.Services), 0.85)
	c.Scenario.ReportAge = age
	c.Scenario.FalseReports = falseShare
	c.Scenario.NoReports = none
	return c
}

// BulkFlood has bulk arrive at 10 times the capacity, and standard at a given load.
func (z Size) BulkFlood(name string, standard float64) Case {
	s := z.scenario(Portugal(z.Services), [ranks]float64{0.35, standard, 10})
	s.Drain = 3 * time.Second
	return Case{Name: name, Scenario: s}
}

// UrgentFlood has urgent work arrive at 3 times the capacity.
func (z Size) UrgentFlood() Case {
	s := z.scenario(Portugal(z.Services), [ranks]float64{3, 0.2, 0.1})
	s.Drain = 3 * time.Second
	return Case{Name: "urgent flood, 3 times capacity", Scenario: s}
}

// Faulty is load with one fault from faultAt.
func (z Size) Faulty(name string, load float64, fault Fault) Case {
	c := z.Steady(name, Portugal(z.Services), load)
	c.Scenario.Faults = []Fault{fault}
	c.Unbounded = true
	return c
}

// FailFastCase has one endpoint that answers everything with an error at once.
func (z Size) FailFastCase() Case {
	return z.Faulty("70%, one endpoint fails fast", 0.7, FailFast{Span: Span{faultAt, z.For}, Place: Place{0, 3}})
}

// DrainCase has one endpoint that reports that it is leaving.
func (z Size) DrainCase() Case {
	return z.Faulty("70%, one endpoint drains", 0.7, Drain{Span: Span{faultAt, z.For}, Place: Place{0, 3}})
}

// LostVM loses one VM of 6 at 85%.
func (z Size) LostVM() Case {
	return z.Faulty("85%, one VM lost", 0.85, KillVM{Span: Span{Begin: faultAt}, VM: 2})
}

// PausedVM pauses one VM for 2 s.
func (z Size) PausedVM() Case {
	return z.Faulty("85%, one VM paused for 2 s", 0.85, PauseVM{Span: Span{faultAt, 2 * time.Second}, VM: 2})
}

// CutHalves cuts the VMs into two halves for 3 s.
func (z Size) CutHalves() Case {
	return z.Faulty("85%, half the VMs cut off for 3 s", 0.85, Cut{Span{faultAt, 3 * time.Second}})
}

// Cases gives all cases in the order of the table.
func (z Size) Cases() []Case {
	var cases []Case
	for _, load := range []float64{0.7, 0.85, 0.95} {
		cases = append(cases, z.Steady("Portugal, "+percent(load), Portugal(z.Services), load))
	}
	for _, load := range []float64{0.7, 0.85, 0.95} {
		cases = append(cases, z.Steady("Czechia, "+percent(load), Czechia(z.Services), load))
	}
	urgent := z.UrgentOnly(0.95)
	urgent.Name = "Portugal, 95%, urgent work only"
	return append(cases,
		urgent,
		z.SlowTenth(),
		z.Reports("85%, no reports", 0, 0, true),
		z.Reports("85%, reports 1 s old", time.Second, 0, false),
		z.Reports("85%, a fifth of the reports false", 0, 0.2, false),
		z.BulkFlood("bulk flood, 10 times capacity, standard below its floor", 0.25),
		z.BulkFlood("bulk flood, 10 times capacity, standard above its floor", 0.5),
		z.UrgentFlood(),
		z.FailFastCase(),
		z.DrainCase(),
		z.LostVM(),
		z.PausedVM(),
		z.CutHalves(),
	)
}
