package daisycredit

import (
	"time"
)

const (
	// farStrain is what an endpoint in another availability zone counts more than
	// one in the borrower's own, in parts of a full endpoint.
	farStrain = 0.25
	// twiceStrain is the same for an endpoint that the borrower has an attempt at:
	// a retry or a hedge needs another one.
	twiceStrain = 0.3
	// knownStrain is what an endpoint counts less that the borrower had a credit at
	// within knownFor: it has an open connection to it.
	knownStrain = 0.05
	knownFor    = 8 * time.Second
	// idleStrain is what an endpoint counts less that nobody had a credit at for
	// idleAfter, so that each is used, and none is only taken to be sound.
	idleStrain = 0.08
	idleAfter  = 3 * time.Second
	// mostRelief is the most that ownStrain takes off.
	mostRelief = knownStrain + idleStrain
)

// strain orders endpoints: the least loaded first, slow ones as if they were as much fuller.
func (o *Owner) strain(now time.Time, a *account, p *pool, l *loan) float64 {
	return o.commonStrain(now, a, p, o.pace(now, p)) + o.ownStrain(now, p, l)
}

// commonStrain is the part that is the same for all borrowers of an availability zone.
func (o *Owner) commonStrain(now time.Time, a *account, p *pool, pace float64) float64 {
	s := float64(p.load(now)+1) / float64(p.Slots) * pace
	if p.Zone != a.vm.Zone {
		s += farStrain
	}
	return s
}

// ownStrain is what comes from the credits that a borrower has and had at an endpoint.
func (o *Owner) ownStrain(now time.Time, p *pool, l *loan) float64 {
	s := 0.0
	if l != nil && l.held() > 0 {
		s += twiceStrain
	}
	if l != nil && now.Sub(l.lent) < knownFor {
		s -= knownStrain
	}
	if now.Sub(p.lent) >= idleAfter {
		s -= idleStrain
	}
	return s
}

// rather reports whether an endpoint is better than the best one so far: with less
// strain, or as much and a longer time since its last credit.
func rather(s float64, p *pool, least float64, best *pool) bool {
	return best == nil || s < least || s == least && p.lent.Before(best.lent)
}
