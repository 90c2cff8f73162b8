package daisyroute

import (
	"time"

	"daisyyoke/core/daisyrequest"
)

// beginStop limits the time of all requests, because the process ends soon: what is in work
// then is cut off without an answer.
func (d *Dispatcher) beginStop(now time.Time, event StopBegan) {
	d.answerBy, d.acceptUntil = event.AnswerBy, event.AcceptUntil
	for _, r := range d.waitingRequests() {
		if d.stopsBefore(r.Deadline) {
			d.queue.Remove(now, &r.item)
			r.Deadline, r.item.Deadline = d.answerBy, d.answerBy
			d.queue.Push(now, &r.item)
		}
	}
}

// stopsBefore reports whether this VM has to answer all requests before a time.
func (d *Dispatcher) stopsBefore(at time.Time) bool {
	return !d.answerBy.IsZero() && d.answerBy.Before(at)
}

// mayOutlastStop reports whether a request arrived too late for this VM to accept it, as it
// may still be running when this VM stops.
func (d *Dispatcher) mayOutlastStop(q daisyrequest.Request) bool {
	return d.stopsBefore(q.Deadline) && q.Arrived.After(d.acceptUntil)
}

// failForStop fails a request that would hardly be answered before this VM stops, and reports
// whether it did. Other VMs can take it at once.
func (d *Dispatcher) failForStop(now time.Time, r *request) bool {
	if !d.stopsBefore(now.Add(d.queue.ResponseTimes(r.item.Rank).P90Bound())) {
		return false
	}
	d.fail(now, r, Stopping, d.firstBackoff())
	return true
}
