package daisybudget

import "time"

// steps is the number of steps in a window. One more step is kept, for the part of the
// oldest one that still lies in the window.
const steps = 100

// counts are the sends in a step or in a window.
type counts struct{ firsts, retries, hedges int }

// window counts the sends in a sliding window. It never overstates the first sends nor
// understates the extra ones: of the step that lies partly in the window it counts the
// extra sends only.
type window struct {
	length time.Duration
	limits Limits
	// start is the time of the first send; steps are numbered from there.
	start  time.Time
	step   int64
	counts [steps + 1]counts
	total  counts
}

func (w *window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	step := int64(now.Sub(w.start) / (w.length / steps))
	if step <= w.step {
		return
	}
	for range min(step-w.step, steps+1) {
		w.step++
		i := w.step % (steps + 1)
		w.total.firsts -= w.counts[i].firsts
		w.total.retries -= w.counts[i].retries
		w.total.hedges -= w.counts[i].hedges
		w.counts[i] = counts{}
	}
	w.step = step
}

func (w *window) addFirst() {
	w.counts[w.step%(steps+1)].firsts++
	w.total.firsts++
}

func (w *window) add(extra Extra) {
	c := &w.counts[w.step%(steps+1)]
	switch extra.(type) {
	case Retry:
		c.retries++
		w.total.retries++
	case Hedge:
		c.hedges++
		w.total.hedges++
	}
}

func (w *window) allows(extra Extra) bool {
	oldest := (w.step + 1) % (steps + 1)
	allowance := w.limits.Share * float64(w.total.firsts-w.counts[oldest].firsts)
	extras := float64(w.total.retries + w.total.hedges + 1)
	switch extra.(type) {
	case Hedge:
		return extras <= w.limits.HedgeFraction*max(allowance, w.limits.HedgeReserve)-float64(w.total.retries)
	case Retry:
		return extras <= max(allowance, w.limits.Reserve)
	}
	return false
}
