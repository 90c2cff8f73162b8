package daisycredit

import (
	"time"

	"daisyyoke/core/daisywake"
)

const (
	// patiencePart is the part of the target of a rank for which its work waits for
	// an endpoint that is at its usual pace and not nearly full, before it gets any:
	// many endpoints slow down when they are nearly full or share their machine with
	// others, and another one is free soon.
	patiencePart = 0.1
	// leastPatience and mostPatience bound that time.
	leastPatience = 20 * time.Millisecond
	mostPatience  = 200 * time.Millisecond
	// worstPatience is how many times that long it waits for one that is slow and
	// nearly full: few requests finish there in time.
	worstPatience = 4
	// fullTrialEvery is the time between two credits for last slots while these are
	// known not to help, which may change.
	fullTrialEvery = time.Second
	// slowExtra is how much longer an attempt takes that begins at a slow endpoint:
	// most are slow for some hundred milliseconds.
	slowExtra = 200 * time.Millisecond
	// slowFrom is the slowdown from which an endpoint counts as slow.
	slowFrom = 1.5
)

// offers reports whether an endpoint of this pace may get a further attempt already. One that is
// slow or nearly full may when the others would take longer to come free than the
// attempt takes longer there, or when none came free for the patience; it notes
// when that will be.
func (o *Owner) offers(now time.Time, p *pool, pace float64) bool {
	load := p.load(now)
	nearlyFull := p.nearlyFull(load)
	slow := pace >= slowFrom
	if !nearlyFull && !slow && p.fresh(now) {
		return true
	}
	if nearlyFull && !o.fullHelps() && now.Sub(o.fullTried) < fullTrialEvery {
		return false
	}
	var extra time.Duration
	if slow {
		extra += slowExtra
	}
	if nearlyFull {
		extra += o.fullExtra()
	}
	patience := o.patience()
	if nearlyFull && slow || load >= p.Slots {
		extra *= worstPatience
		patience *= worstPatience
	}
	if extra > 0 && o.backlog >= extra {
		return true
	}
	due := o.since[o.rank]
	if o.grantedAt[o.rank].After(due) {
		due = o.grantedAt[o.rank]
	}
	due = due.Add(patience)
	if now.Before(due) {
		o.retry = daisywake.Sooner(o.retry, due)
		return false
	}
	return true
}

// noteBacklog estimates how long it takes until the waiting requests of a rank and
// of more urgent ones have found endpoints that are neither slow nor nearly full.
func (o *Owner) noteBacklog(waiting [][]int, rank int) {
	o.backlog = 0
	places, waits := 0, 0
	for _, p := range o.pools {
		if !p.Draining && !o.broken(p) {
			places += max(p.Slots-1, 1)
		}
	}
	for _, w := range waiting {
		for r := range rank + 1 {
			waits += w[r]
		}
	}
	if places > 0 && o.freeHolds.samples >= fewestHolds {
		o.backlog = time.Duration(waits) * o.freeHolds.mean / time.Duration(places)
	}
}

// nearlyFull reports whether one attempt more fills an endpoint.
func (p *pool) nearlyFull(load int) bool { return p.Slots > 1 && load+1 >= p.Slots }

// load gives how many requests an endpoint has: the credits lent there, or what it
// told itself just now, which includes the work of VMs that this one cannot reach.
func (p *pool) load(now time.Time) int {
	if !p.fresh(now) {
		return p.out
	}
	return max(p.out, p.busy+p.out-p.outThen)
}

// patience gives that of the rank that a credit is wanted for.
func (o *Owner) patience() time.Duration {
	target := o.service.Ranks[o.rank].Target
	return min(max(time.Duration(patiencePart*float64(target)), leastPatience), mostPatience)
}
