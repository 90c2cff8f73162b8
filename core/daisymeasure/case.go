package daisymeasure

import "time"

// Size is the scale of the runs of the cases.
type Size struct {
	// Services is the number of services in a fleet.
	Services int
	// Duration is how long callers arrive.
	Duration time.Duration
	Seed     uint64
}

// Case is a named scenario.
type Case struct {
	Name     string
	Scenario Scenario
	// WithoutCentralQueue leaves CentralQueue out of the comparison, because it is
	// no reference for this scenario.
	WithoutCentralQueue bool
}

// mixedLoad divides a load between the ranks in the proportions of the users' work.
func mixedLoad(load float64) [rankCount]float64 {
	return [rankCount]float64{0.5 * load, 0.3 * load, 0.2 * load}
}

func (z Size) scenario(fleet Fleet, load [rankCount]float64) Scenario {
	return Scenario{Fleet: fleet, Load: load, Duration: z.Duration, Warmup: time.Second, Seed: z.Seed}
}

// faultStart is the time from the start of a run until the faults of a case begin.
const faultStart = 3 * time.Second

// Steady returns a case without faults whose load is divided between the ranks in
// the proportions of the users' work.
func (z Size) Steady(name string, fleet Fleet, load float64) Case {
	return Case{Name: name, Scenario: z.scenario(fleet, mixedLoad(load))}
}

// UrgentOnly returns a case with requests of the most urgent rank only.
func (z Size) UrgentOnly(load float64) Case {
	return Case{Name: "urgent work only", Scenario: z.scenario(Portugal(z.Services), [rankCount]float64{load})}
}

// SlowTenth returns a case in which a tenth of the endpoints are 5 to 10 times
// slower. The slow endpoints change every 50 to 500 ms.
func (z Size) SlowTenth() Case {
	c := z.Steady("70%, a tenth of the endpoints slow by turns", Portugal(z.Services), 0.7)
	c.Scenario.Faults = Stragglers(c.Scenario.Fleet, 0.1, z.Duration, z.Seed)
	return c
}

// Reports returns a case at 85% load with load reports of the given age, of which
// the given share is false, or without load reports.
func (z Size) Reports(name string, age time.Duration, falseShare float64, noReports bool) Case {
	c := z.Steady(name, Portugal(z.Services), 0.85)
	c.Scenario.ReportAge = age
	c.Scenario.FalseReportShare = falseShare
	c.Scenario.NoReports = noReports
	return c
}

// BulkFlood returns a case with bulk requests at 10 times the capacity and standard
// requests at the given load.
func (z Size) BulkFlood(name string, standard float64) Case {
	s := z.scenario(Portugal(z.Services), [rankCount]float64{0.35, standard, 10})
	s.DrainTime = 3 * time.Second
	return Case{Name: name, Scenario: s}
}

// UrgentFlood returns a case with urgent requests at 3 times the capacity.
func (z Size) UrgentFlood() Case {
	s := z.scenario(Portugal(z.Services), [rankCount]float64{3, 0.2, 0.1})
	s.DrainTime = 3 * time.Second
	return Case{Name: "urgent flood, 3 times capacity", Scenario: s}
}

// Faulty returns a case with the given load and one fault. It leaves out the
// CentralQueue policy.
func (z Size) Faulty(name string, load float64, fault Fault) Case {
	c := z.Steady(name, Portugal(z.Services), load)
	c.Scenario.Faults = []Fault{fault}
	c.WithoutCentralQueue = true
	return c
}

// FailFastCase returns a case in which one endpoint answers all requests with an
// error immediately.
func (z Size) FailFastCase() Case {
	return z.Faulty("70%, one endpoint fails fast", 0.7, FailFast{Span: Span{faultStart, z.Duration}, EndpointRef: EndpointRef{0, 3}})
}

// DrainCase returns a case in which one endpoint reports that it is draining.
func (z Size) DrainCase() Case {
	return z.Faulty("70%, one endpoint drains", 0.7, Drain{Span: Span{faultStart, z.Duration}, EndpointRef: EndpointRef{0, 3}})
}

// LimitedCase returns a case in which every endpoint of the first service but one names
// a limit of its rate, together with another fault; nil adds none.
func (z Size) LimitedCase(name string, fleet Fleet, perSecond, load float64, fault Fault) Case {
	c := z.Steady(name, fleet, load)
	for i := range fleet.Endpoints[0] - 1 {
		c.Scenario.Faults = append(c.Scenario.Faults, LimitRate{Span: Span{faultStart, z.Duration}, EndpointRef: EndpointRef{0, i}, PerSecond: perSecond})
	}
	if fault != nil {
		c.Scenario.Faults = append(c.Scenario.Faults, fault)
	}
	c.WithoutCentralQueue = true
	return c
}

// LostVM returns a case in which one of 6 VMs fails at 85% load.
func (z Size) LostVM() Case {
	return z.Faulty("85%, one VM lost", 0.85, KillVM{Span: Span{Begin: faultStart}, VM: 2})
}

// PausedVM returns a case in which one VM is paused for 2 s.
func (z Size) PausedVM() Case {
	return z.Faulty("85%, one VM paused for 2 s", 0.85, PauseVM{Span: Span{faultStart, 2 * time.Second}, VM: 2})
}

// PartitionedVMs returns a case in which the network between two halves of the VMs
// is partitioned for 3 s.
func (z Size) PartitionedVMs() Case {
	return z.Faulty("85%, half the VMs cut off for 3 s", 0.85, Partition{Span{faultStart, 3 * time.Second}})
}

// Cases returns all cases in the order of the table.
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
		z.LimitedCase("30%, all endpoints but one name a limit of 5/s", Portugal(z.Services), 5, 0.3, nil),
		z.LostVM(),
		z.PausedVM(),
		z.PartitionedVMs(),
	)
}
