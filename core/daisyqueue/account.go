package daisyqueue

import (
	"time"

	"daisyyoke/core/daisylatency"
	"daisyyoke/core/daisyrank"
)

const (
	// initialSlotTime is the assumed slot time of an attempt until the first one has ended.
	initialSlotTime = 10 * time.Millisecond
	// shareAveragingTime is the time constant of the average of a rank's share of the slots.
	shareAveragingTime = time.Second
	// maxDebtAttempts bounds how far a rank may go above its floor, in mean attempts.
	maxDebtAttempts = 20
	// slotTimeWeight is the weight of a new sample in the mean slot time.
	slotTimeWeight = 1.0 / 32
)

// account balances the slot time that the floor of one rank entitles it to against
// the slot time that the rank used.
//
// The entitlement is proportional to the slots in use, so that a floor of less than
// one slot counts too. An attempt is charged the mean slot time when it begins and
// the difference when it ends. Attempts that began while no other rank had requests
// waiting are free of charge.
type account struct {
	inFlight int
	// deficit is positive when the rank got less than its floor.
	deficit time.Duration
	// meanSlotTime is the mean slot time of an attempt.
	meanSlotTime time.Duration
	// slotShare is the recent share of the rank in the slots while it had requests waiting.
	slotShare float64
	// responseTimes are the times from a send to the header of the response.
	responseTimes daisylatency.Distribution
}

func (a *account) slotTime() time.Duration {
	if a.meanSlotTime == 0 {
		return initialSlotTime
	}
	return a.meanSlotTime
}

// accrue brings all accounts up to now. It has to be called before any change of the
// requests that wait or are in flight.
func (q *Queue[T]) accrue(now time.Time) {
	if q.accruedAt.IsZero() {
		q.accruedAt = now
	}
	elapsed := now.Sub(q.accruedAt)
	if elapsed <= 0 {
		return
	}
	q.accruedAt = now
	for _, i := range q.urgency {
		r := q.ranks[i]
		r.account.accrue(elapsed, r.declared.Floor, q.inFlight, r.len() > 0)
	}
}

func (a *account) accrue(elapsed time.Duration, floor float64, inFlight int, waiting bool) {
	slots := floor * float64(inFlight)
	a.deficit += time.Duration(slots * float64(elapsed))
	if !waiting {
		a.deficit = min(a.deficit, 0)
		a.slotShare = 1
		return
	}
	a.deficit = min(a.deficit, time.Duration(max(slots, 1)*float64(a.slotTime())))
	if inFlight > 0 {
		weight := float64(elapsed) / float64(elapsed+shareAveragingTime)
		a.slotShare += weight * (float64(a.inFlight)/float64(inFlight) - a.slotShare)
	}
}

// Charge is the slot time that an attempt was charged against the floor of its rank.
type Charge struct {
	// amount is what was charged when the attempt began.
	amount time.Duration
	free   bool
}

// Started counts an attempt of a rank that begins. The caller passes the returned
// charge to Ended.
func (q *Queue[T]) Started(now time.Time, index daisyrank.Index) Charge {
	q.accrue(now)
	r := q.ranks[index]
	r.account.inFlight++
	q.inFlight++
	if q.waiting == r.len() {
		return Charge{free: true}
	}
	charge := Charge{amount: r.account.slotTime()}
	r.account.deficit -= charge.amount
	return charge
}

// Ended counts the end of an attempt that occupied its slot for slotTime.
func (q *Queue[T]) Ended(now time.Time, index daisyrank.Index, slotTime time.Duration, charge Charge) {
	q.accrue(now)
	a := &q.ranks[index].account
	a.inFlight--
	q.inFlight--
	if a.meanSlotTime == 0 {
		a.meanSlotTime = slotTime
	}
	a.meanSlotTime += time.Duration(slotTimeWeight * float64(slotTime-a.meanSlotTime))
	if !charge.free {
		a.deficit -= slotTime - charge.amount
		a.deficit = max(a.deficit, -maxDebtAttempts*a.slotTime())
	}
}

// RecordResponseTime records the time from the send of a request to the header of its
// response.
func (q *Queue[T]) RecordResponseTime(index daisyrank.Index, responseTime time.Duration) {
	q.ranks[index].account.responseTimes.Add(responseTime)
}

// ResponseTimes returns the distribution of the times from a send to the header of
// the response.
func (q *Queue[T]) ResponseTimes(index daisyrank.Index) *daisylatency.Distribution {
	return &q.ranks[index].account.responseTimes
}
