package daisymeasure

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyroute"
)

func mixedScenario(fleet Fleet, load float64) Scenario {
	return Scenario{
		Fleet:    fleet,
		Load:     [rankCount]float64{0.5 * load, 0.3 * load, 0.2 * load},
		Duration: 6 * time.Second,
		Warmup:   time.Second,
		Seed:     1,
	}
}

func TestSameSeedGivesSameResults(t *testing.T) {
	s := mixedScenario(Portugal(1), 0.85)
	for _, p := range []Policy{CentralQueue{}, Routed{daisyroute.Random{}}, Routed{daisyroute.LeastOfTwo{Reports: true}}} {
		a, b := Run(s, p), Run(s, p)
		assert.DeepEqual(t, a.Ranks[Urgent].Useful, b.Ranks[Urgent].Useful)
		assert.Equal(t, a.Percentile(Urgent, 0.99), b.Percentile(Urgent, 0.99))
		assert.Equal(t, a.Messages, b.Messages)
	}
}

func TestPoliciesReceiveSameRequests(t *testing.T) {
	s := mixedScenario(Portugal(1), 0.85)
	a, b := Run(s, CentralQueue{}), Run(s, Routed{daisyroute.Random{}})
	for r := range rankCount {
		assert.Equal(t, a.Ranks[r].Offered, b.Ranks[r].Offered)
		assert.Equal(t, a.Ranks[r].WorkOffered, b.Ranks[r].WorkOffered)
	}
}

func TestCentralQueueHasLowestP99(t *testing.T) {
	s := mixedScenario(Czechia(2), 0.9)
	reference := Run(s, CentralQueue{}).Percentile(Urgent, 0.99)
	for _, p := range []daisyroute.Policy{daisyroute.Random{}, daisyroute.RoundRobin{}, daisyroute.LeastOfTwo{}} {
		assert.Assert(t, reference < Run(s, Routed{p}).Percentile(Urgent, 0.99), "%T", p)
	}
}
