package daisybudget

import "time"

// steps divides a window. One more step is kept, for the part of the oldest one
// that still lies in the window.
const steps = 100

// window counts the sends of a sliding window. It never counts too many first
// sends nor too few extra ones: of the step that lies partly in the window it
// counts the extra sends only.
type window struct {
	length time.Duration
	share  float64
	// began is the time of the first send; steps are numbered from there.
	began                 time.Time
	step                  int64
	firsts, extras        [steps + 1]int
	firstsTotal, allExtra int
}

func (w *window) advance(now time.Time) {
	if w.began.IsZero() {
		w.began = now
	}
	step := int64(now.Sub(w.began) / (w.length / steps))
	if step <= w.step {
		return
	}
	for range min(step-w.step, steps+1) {
		w.step++
		i := w.step % (steps + 1)
		w.firstsTotal -= w.firsts[i]
		w.allExtra -= w.extras[i]
		w.firsts[i], w.extras[i] = 0, 0
	}
	w.step = step
}

func (w *window) addFirst() {
	w.firsts[w.step%(steps+1)]++
	w.firstsTotal++
}

func (w *window) addExtra() {
	w.extras[w.step%(steps+1)]++
	w.allExtra++
}

func (w *window) allows(extra Extra) bool {
	oldest := (w.step + 1) % (steps + 1)
	allowance := w.share * float64(w.firstsTotal-w.firsts[oldest])
	wanted := float64(w.allExtra + 1)
	switch extra.(type) {
	case Hedge:
		return wanted <= hedgePart*allowance
	case Retry:
		return wanted <= max(allowance, reserve)
	}
	return false
}
