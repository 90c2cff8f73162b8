package daisyhealth_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyyoke/core/daisyhealth"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// observedService is a service in which some endpoints respond badly.
type observedService struct {
	group     *daisyhealth.Group
	endpoints []*daisyhealth.Endpoint
	now       time.Time
}

func newObservedService(n int) *observedService {
	o := &observedService{group: daisyhealth.NewGroup(), now: start}
	for range n {
		o.endpoints = append(o.endpoints, o.group.Join(3, false))
	}
	return o
}

// round sends one attempt to every endpoint that may get one.
func (o *observedService) round(bad int, observation daisyhealth.Observation) {
	o.now = o.now.Add(20 * time.Millisecond)
	for i, e := range o.endpoints {
		if e.Allowance(o.now, 0) == 0 || o.group.PostponeTrial(o.now, e) {
			continue
		}
		o.group.Sent(o.now, e)
		if i < bad {
			o.group.Observe(o.now, e, o.now, observation)
			continue
		}
		o.group.Observe(o.now, e, o.now, daisyhealth.Answer{Slowness: 1})
	}
}

func (o *observedService) ejected() int {
	n := 0
	for _, e := range o.endpoints {
		if _, ejected := e.State().(daisyhealth.Ejected); ejected {
			n++
		}
	}
	return n
}

func TestBadEndpointsAreEjectedUpToTheCap(t *testing.T) {
	slow := daisyhealth.Answer{Slowness: 7}
	hung := daisyhealth.AtLeast{Slowness: 8}
	fault := daisyhealth.Fault{}
	cases := []struct {
		name        string
		n, bad      int
		observation daisyhealth.Observation
		want        int
		suspended   bool
	}{
		{name: "one of fifteen slow", n: 15, bad: 1, observation: slow, want: 1},
		{name: "one hung", n: 15, bad: 1, observation: hung, want: 1},
		{name: "one failing", n: 15, bad: 1, observation: fault, want: 1},
		{name: "a third slow", n: 15, bad: 5, observation: slow, want: 5},
		{name: "seven of fifteen slow, capped", n: 15, bad: 7, observation: slow, want: 5},
		{name: "two thirds failing", n: 15, bad: 10, observation: fault, want: 10},
		{name: "all slow alike", n: 15, bad: 15, observation: slow, want: 0},
		{name: "all failing", n: 15, bad: 15, observation: fault, want: 0, suspended: true},
		{name: "all but two failing", n: 15, bad: 13, observation: fault, want: 0, suspended: true},
		{name: "one of two slow", n: 2, bad: 1, observation: slow, want: 1},
		{name: "one of two failing", n: 2, bad: 1, observation: fault, want: 1},
		{name: "the only one failing", n: 1, bad: 1, observation: fault, want: 0, suspended: true},
		{name: "slightly slow", n: 15, bad: 1, observation: daisyhealth.Answer{Slowness: 2}, want: 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newObservedService(c.n)
			for range 40 {
				o.round(c.bad, c.observation)
			}
			assert.Equal(t, o.ejected(), c.want)
			assert.Equal(t, o.group.Ejected(), c.want)
			assert.Equal(t, o.group.Suspended(), c.suspended)
		})
	}
}

func TestFailFastEndpointGetsFewTrials(t *testing.T) {
	o := newObservedService(15)
	sent := make([]int, len(o.endpoints))
	all := 0
	for range 3000 {
		o.now = o.now.Add(time.Millisecond)
		for i, e := range o.endpoints {
			if e.Allowance(o.now, 0) == 0 || o.group.PostponeTrial(o.now, e) {
				continue
			}
			o.group.Sent(o.now, e)
			if o.now.Sub(start) > time.Second {
				sent[i]++
				all++
			}
			if i == 0 {
				o.group.Observe(o.now, e, o.now, daisyhealth.Fault{})
				continue
			}
			o.group.Observe(o.now, e, o.now, daisyhealth.Answer{Slowness: 1})
		}
	}
	assert.Assert(t, sent[0] > 0 && sent[0]*1000 < all, "%d of %d sends went to the failing endpoint", sent[0], all)
}

func TestRecoveredEndpointReturnsAndRampsUp(t *testing.T) {
	cases := []struct {
		name string
		bad  daisyhealth.Observation
		// within is the maximum time from the recovery to the return.
		within time.Duration
	}{
		{name: "slow", bad: daisyhealth.Answer{Slowness: 7}, within: 2100 * time.Millisecond},
		{name: "failing", bad: daisyhealth.Fault{}, within: 4100 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newObservedService(15)
			for range 1000 {
				o.round(1, c.bad)
			}
			assert.Equal(t, o.ejected(), 1)
			recovered := o.now
			for o.ejected() > 0 {
				o.round(0, c.bad)
			}
			assert.Assert(t, o.now.Sub(recovered) <= c.within, "%v", o.now.Sub(recovered))
			for allowed := 1; allowed < 3; allowed++ {
				assert.Equal(t, o.endpoints[0].Allowance(o.now, 0), allowed)
				o.round(0, c.bad)
			}
			assert.Equal(t, o.endpoints[0].State(), daisyhealth.State(daisyhealth.Steady{}))
		})
	}
}

func TestAttemptsFromBeforeAnEjectionDoNotEndIt(t *testing.T) {
	o := newObservedService(3)
	e := o.endpoints[0]
	before := o.now
	o.now = o.now.Add(time.Second)
	for range 3 {
		o.group.Observe(o.now, e, o.now, daisyhealth.Fault{})
	}
	assert.Equal(t, o.ejected(), 1)
	next := e.State()
	o.group.Observe(o.now, e, before, daisyhealth.Answer{Slowness: 1})
	o.group.Observe(o.now, e, before, daisyhealth.Fault{})
	assert.Equal(t, e.State(), next)
	o.group.Observe(o.now, e, o.now, daisyhealth.Answer{Slowness: 1})
	assert.Equal(t, o.ejected(), 0)
}

func TestColdEndpointBeginsWithOneAttempt(t *testing.T) {
	o := newObservedService(5)
	e := o.group.Join(3, true)
	o.endpoints = append(o.endpoints, e)
	assert.Equal(t, e.Allowance(o.now, 0), 1)
	o.group.Observe(o.now, e, o.now, daisyhealth.Answer{Slowness: 9})
	assert.Equal(t, e.Allowance(o.now, 0), 1)
	o.round(0, nil)
	assert.Equal(t, e.Allowance(o.now, 0), 2)
	o.round(0, nil)
	assert.Assert(t, e.Allowance(o.now, 0) > 3)
}

// TestGroupInvariants checks the cap, that the counts agree with the states, and that the
// next trial of an ejected endpoint is at most 4 s away.
func TestGroupInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "endpoints")
		o := newObservedService(n)
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			o.now = o.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(o.endpoints)-1).Draw(t, "which")
			e := o.endpoints[i]
			before := o.ejected()
			sent := o.now.Add(-time.Duration(rapid.IntRange(0, 300).Draw(t, "age")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				o.group.Observe(o.now, e, sent, daisyhealth.Answer{Slowness: rapid.Float64Range(0, 10).Draw(t, "slowness")})
			case 1:
				o.group.Observe(o.now, e, sent, daisyhealth.AtLeast{Slowness: rapid.Float64Range(0, 10).Draw(t, "slowness")})
			case 2, 3:
				o.group.Observe(o.now, e, sent, daisyhealth.Fault{})
			case 4:
				o.group.Sent(o.now, e)
			case 5:
				if len(o.endpoints) > 1 && rapid.Bool().Draw(t, "leave") {
					o.group.Leave(o.now, e)
					o.endpoints = append(o.endpoints[:i:i], o.endpoints[i+1:]...)
					continue
				}
				o.endpoints = append(o.endpoints, o.group.Join(3, true))
			}
			assert.Equal(t, o.group.Ejected(), o.ejected())
			grown := o.ejected() > before
			assert.Assert(t, !grown || float64(o.ejected()) <= max(1, 0.75*float64(len(o.endpoints))))
			assert.Assert(t, len(o.endpoints) > 1 || o.ejected() <= before)
			for _, e := range o.endpoints {
				if s, out := e.State().(daisyhealth.Ejected); out {
					assert.Assert(t, s.NextTrial.Sub(o.now) <= 4*time.Second)
				}
			}
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	o := newObservedService(1800)
	for i := range b.N {
		o.now = o.now.Add(10 * time.Microsecond)
		o.group.Observe(o.now, o.endpoints[i%1800], o.now, daisyhealth.Answer{Slowness: 1})
	}
}
