package daisycredit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// delayedPair is a borrower and its owner on another VM, whose messages take a while.
type delayedPair struct {
	*onDemandCluster
	borrower *Borrower
	delay    time.Duration
	transit  []delayedMessage
}

type delayedMessage struct {
	at     time.Time
	report *Report
	grant  *Grant
}

// step advances the time by a millisecond, and lets the borrower use its credits.
func (p *delayedPair) step(waiting *int, running map[time.Time]int) {
	p.now = p.now.Add(time.Millisecond)
	p.borrower.SetDemand(p.now, []Demand{{Waiting: uint32(*waiting), InFlight: uint32(p.borrower.inFlight())}, {}, {}})
	if r, ok := p.borrower.Flush(p.now); ok {
		p.transit = append(p.transit, delayedMessage{at: p.now.Add(p.delay), report: &r})
	}
	for _, g := range p.owner.Flush(p.now) {
		if g.To == p.borrower.self.Name {
			p.transit = append(p.transit, delayedMessage{at: p.now.Add(p.delay), grant: &g.Grant})
		}
	}
	for len(p.transit) > 0 && !p.transit[0].at.After(p.now) {
		m := p.transit[0]
		p.transit = p.transit[1:]
		if m.report != nil {
			p.owner.Receive(p.now, p.borrower.self.Name, *m.report)
		} else {
			p.borrower.Receive(p.now, p.owner.options.Self.Name, *m.grant)
		}
	}
	for _, a := range p.owner.TakeProbes() {
		p.owner.NoteReport(p.now, a, p.report(int(a.Addr().As4()[3])))
	}
	for i, e := range p.service.Endpoints {
		if end := p.now.Add(-20 * time.Millisecond); running[end] == i+1 {
			p.borrower.Release(p.now, e.Address)
		}
		if *waiting > 0 && p.borrower.Idle(e.Address) > 0 && running[p.now] == 0 {
			p.borrower.Take(e.Address)
			running[p.now] = i + 1
			*waiting--
		}
	}
}

// Guards against a borrower of an owner that takes 300 ms for each answer, and that changes
// between fallback mode and waiting for the owner several times a second, so that each of
// these times the requests wait until it gives up; and against one that does not come back.
func TestSlowOwnerIsLeftAloneUntilItAnswersInTime(t *testing.T) {
	c := newOnDemandCluster(2, 4)
	p := &delayedPair{onDemandCluster: c, borrower: c.borrowers[1-c.index(c.owner.options.Self.Name)], delay: time.Millisecond}
	waiting, running := 0, make(map[time.Time]int)
	changes, waited, longest := 0, time.Duration(0), time.Duration(0)
	play := func(length time.Duration) {
		for end := p.now.Add(length); p.now.Before(end); {
			if p.now.UnixMilli()%50 == 0 {
				waiting++
			}
			before := p.borrower.InFallback()
			p.step(&waiting, running)
			if p.borrower.InFallback() != before {
				changes++
			}
			if waited += time.Millisecond; waiting == 0 {
				waited = 0
			}
			longest = max(longest, waited)
		}
	}
	// A new owner waits for the claims of all VMs first.
	play(time.Second)
	longest = 0
	play(2 * time.Second)
	assert.Equal(t, changes, 1)
	assert.Assert(t, longest <= promptWait, "requests waited %v", longest)
	p.delay = 150 * time.Millisecond
	play(20 * time.Second)
	assert.Assert(t, changes <= 3, "%d changes of the mode", changes)
	assert.Assert(t, longest <= maxOwnerTimeout+20*time.Millisecond, "requests waited %v", longest)
	p.delay = time.Millisecond
	play(2 * maxHold)
	assert.Assert(t, !p.borrower.InFallback())
	longest = 0
	play(time.Second)
	assert.Assert(t, longest <= promptWait, "requests waited %v", longest)
}

// promptWait is how long requests wait for an owner that answers in time.
const promptWait = 50 * time.Millisecond

// Guards against a limit for waiting that falls below what a paused process needs, or that
// grows with an owner that is late for good.
func TestOwnerTimeoutFollowsAnswersWithinBounds(t *testing.T) {
	for _, c := range []struct{ answer, timeout time.Duration }{
		{2 * time.Millisecond, minOwnerTimeout},
		{45 * time.Millisecond, 180 * time.Millisecond},
		{time.Second, maxOwnerTimeout},
	} {
		var a answerTimer
		now := time.Unix(0, 0)
		for i := range uint64(9) {
			a.ask(now, i+1)
			now = now.Add(c.answer)
			a.receive(now, i+1)
		}
		assert.Equal(t, a.timeout(), c.timeout)
	}
}
