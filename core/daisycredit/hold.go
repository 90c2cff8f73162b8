package daisycredit

import "time"

const (
	// holdWeight weighs a new sample in the mean time that a credit is held.
	holdWeight = 0.25
	// serviceWeight does the same for the mean of the whole service.
	serviceWeight = 0.02
	// fewestHolds are the samples of the service before endpoints are compared with it.
	fewestHolds = 20
	// slowHold is how many times the mean a credit is held at an endpoint that is taken to be slow.
	slowHold = 2.5
	// helpfulGain is how much more work an endpoint has to get done when it is full
	// than with one slot free, for its last slot to be used: all its requests take
	// longer then.
	helpfulGain = 1.1
	// holdLife is the age at which the last sample of an endpoint counts half.
	holdLife = 2 * time.Second
)

// holds is how long credits are held, which tells slow endpoints by the attempts of all VMs.
type holds struct {
	mean    time.Duration
	samples int
	last    time.Time
}

func (h *holds) add(now time.Time, took time.Duration, weight float64) {
	h.samples++
	h.last = now
	h.mean += time.Duration(max(weight, 1/float64(h.samples)) * float64(took-h.mean))
}

// lent is a credit that is out.
type lent struct {
	at time.Time
	// full says that it was the last of its endpoint.
	full bool
}

// noteGranted notes when a credit was granted.
func (l *loan) noteGranted(now time.Time, full bool) {
	l.lent = now
	l.since = append(l.since, lent{at: now, full: full})
}

// noteReturned takes the return of the credits that were granted first.
func (o *Owner) noteReturned(now time.Time, p *pool, l *loan, returned uint64) {
	for ; l.returned < returned; l.returned++ {
		if len(l.since) == 0 {
			continue
		}
		first := l.since[0]
		took := now.Sub(first.at)
		l.since = l.since[1:]
		o.holds.add(now, took, serviceWeight)
		if first.full {
			o.fullHolds.add(now, took, serviceWeight)
		} else {
			o.freeHolds.add(now, took, serviceWeight)
		}
		if p != nil {
			p.holds.add(now, took, holdWeight)
		}
	}
}

// heldPace gives how much longer than at the endpoints of the service as a whole
// credits are held at one, 1 where that is within what is usual.
func (o *Owner) heldPace(now time.Time, p *pool) float64 {
	if o.holds.samples < fewestHolds || o.holds.mean == 0 || p.holds.samples == 0 {
		return 1
	}
	excess := float64(p.holds.mean)/float64(o.holds.mean) - 1
	excess /= 1 + float64(now.Sub(p.holds.last))/float64(holdLife)
	if 1+excess < slowHold {
		return 1
	}
	return 1 + excess
}

// fullHelps reports whether endpoints get clearly more done when all their slots
// are in use, as far as that is known. Many slow down when they are nearly full.
func (o *Owner) fullHelps() bool {
	slots := float64(o.slots) / float64(max(len(o.pools), 1))
	if o.fullHolds.samples < fewestHolds || o.freeHolds.samples < fewestHolds || slots <= 1 {
		return true
	}
	gain := slots / (slots - 1) * float64(o.freeHolds.mean) / float64(o.fullHolds.mean)
	return gain >= helpfulGain
}

// presumedSlowdown stands for how much longer attempts take at a full endpoint while
// that is not known: as with the first users' endpoints.
const presumedSlowdown = 1.7

// fullExtra gives how much longer an attempt for the last slot of an endpoint takes,
// and makes the one beside it take.
func (o *Owner) fullExtra() time.Duration {
	if o.freeHolds.samples < fewestHolds {
		return 0
	}
	full := time.Duration(presumedSlowdown * float64(o.freeHolds.mean))
	if o.fullHolds.samples >= fewestHolds {
		full = o.fullHolds.mean
	}
	return 2 * max(full-o.freeHolds.mean, 0)
}
