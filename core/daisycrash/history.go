package daisycrash

import "time"

const (
	// historyStep and historySteps determine how long and how precisely a history counts.
	historyStep  = 250 * time.Millisecond
	historySteps = 240
)

// history counts events of the last minute.
type history struct {
	// start is the time of the first event; steps are numbered from there.
	start  time.Time
	step   int64
	counts [historySteps]int
}

func (h *history) add(now time.Time) {
	if h.start.IsZero() {
		h.start = now
	}
	h.advance(now)
	h.counts[h.step%historySteps]++
}

// since returns the number of events since a time, or in the last minute if that is less.
func (h *history) since(now, at time.Time) int {
	if h.start.IsZero() {
		return 0
	}
	h.advance(now)
	oldest := max(int64(at.Sub(h.start)/historyStep), h.step-historySteps+1, 0)
	n := 0
	for s := oldest; s <= h.step; s++ {
		n += h.counts[s%historySteps]
	}
	return n
}

func (h *history) advance(now time.Time) {
	step := int64(now.Sub(h.start) / historyStep)
	for range min(step-h.step, historySteps) {
		h.step++
		h.counts[h.step%historySteps] = 0
	}
	h.step = max(step, h.step)
}
