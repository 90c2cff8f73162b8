package daisyroute

import (
	"time"

	"daisyyoke/core/daisybudget"
	"daisyyoke/core/daisyhealth"
)

const (
	// fewestSamples of a rank come before hedges are timed by its percentiles.
	fewestSamples = 20
	// unknownCheck is the age of the first check of an attempt while the samples are too few.
	unknownCheck = 500 * time.Millisecond
	// shortestCheck is the shortest time to a check.
	shortestCheck = time.Millisecond
	// hedgeTries bounds the checks at which a hedge is tried.
	hedgeTries = 5
)

// planCheck sets the first check of an attempt, at the 95th percentile of its rank.
func (d *Dispatcher) planCheck(now time.Time, a *attempt) {
	times := d.queue.Answers(a.rank)
	delay := unknownCheck
	if times.Samples() >= fewestSamples {
		delay = times.P95()
		if a.trial {
			delay = 2 * times.Median()
		}
	}
	d.checks.Push(now.Add(max(delay, shortestCheck)), a, &a.check)
}

// check looks at an attempt that has been without an answer for long: its age is
// evidence against its endpoint, and it may be hedged.
func (d *Dispatcher) check(now time.Time, a *attempt) {
	d.checks.Remove(a.check)
	age := now.Sub(a.sent)
	if a.checks > 0 {
		d.observe(now, a, daisyhealth.AtLeast{Slowness: d.slowness(a, age)})
	}
	a.checks++
	d.hedge(now, a)
	next := age
	if r := a.request; r != nil && r.Hedgeable && !r.hedged && a.checks < hedgeTries {
		next = min(next, d.queue.Answers(a.rank).Median())
	}
	d.checks.Push(now.Add(max(next, shortestCheck)), a, &a.check)
}

// hedge sends a request a second time beside a slow attempt, into a slot that
// nobody waits for, within the budget.
func (d *Dispatcher) hedge(now time.Time, a *attempt) {
	r := a.request
	if r == nil || !r.Hedgeable || r.hedged || r.running != 1 || r.held != nil || r.sends >= maxAttempts {
		return
	}
	if d.queue.Len() > 0 || d.queue.Answers(a.rank).Samples() < fewestSamples {
		return
	}
	c := d.choose(now, r)
	if c.endpoint == nil || !d.budget.Take(now, daisybudget.Hedge{}) {
		return
	}
	r.hedged = true
	r.reason = Hedge
	d.send(now, r, c)
}
