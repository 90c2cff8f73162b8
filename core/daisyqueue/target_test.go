package daisyqueue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyrank"
)

func newTargetQueue() *Queue[string] {
	q := New[string]([]daisyrank.Rank{{Name: "urgent"}, {Name: "bulk"}}, Options{Order: EarliestFirst{}})
	for range 30 {
		q.RecordResponseTime(0, 100*time.Millisecond)
	}
	return q
}

func push(q *Queue[string], now time.Time, name string, target, deadline time.Duration) *Item[string] {
	i := &Item[string]{Value: name, Deadline: now.Add(deadline), Target: now.Add(target)}
	q.Push(now, i)
	return i
}

func serve(t *testing.T, q *Queue[string], now time.Time) string {
	t.Helper()
	s, ok := q.Next(now).(Serve[string])
	assert.Assert(t, ok, "nothing to serve")
	q.Remove(now, s.Item)
	return s.Item.Value
}

// TestRequestsThatCanMeetTheirTargetGoFirst checks that a request that will miss its
// target is served after those that can still meet theirs, but before its deadline.
func TestRequestsThatCanMeetTheirTargetGoFirst(t *testing.T) {
	now := time.Unix(0, 0)
	q := newTargetQueue()
	push(q, now, "late already", 50*time.Millisecond, 3*time.Second)
	push(q, now, "later target", 900*time.Millisecond, 2*time.Second)
	push(q, now, "soon due", 300*time.Millisecond, 2*time.Second)
	assert.Equal(t, q.Waiting(0), 3)
	now = now.Add(50 * time.Millisecond)
	assert.Equal(t, serve(t, q, now), "soon due")
	now = now.Add(900 * time.Millisecond)
	assert.Equal(t, serve(t, q, now), "later target", "both miss their targets; its deadline comes first")
	assert.Equal(t, serve(t, q, now), "late already")
	assert.Equal(t, q.Len(), 0)
}

func TestOverdueRequestsExpireByTheirDeadline(t *testing.T) {
	now := time.Unix(0, 0)
	q := newTargetQueue()
	push(q, now, "overdue", 50*time.Millisecond, time.Second)
	push(q, now, "other", 5*time.Second, 6*time.Second)
	assert.Assert(t, q.NextExpiry().Before(now.Add(time.Second)))
	now = now.Add(950 * time.Millisecond)
	d, ok := q.Expire(now).(Drop[string])
	assert.Assert(t, ok)
	assert.Equal(t, d.Item.Value, "overdue")
	assert.Equal(t, q.Len(), 1)
}

func TestRemoveOfAnOverdueRequestEmptiesTheQueue(t *testing.T) {
	now := time.Unix(0, 0)
	q := newTargetQueue()
	i := push(q, now, "overdue", 50*time.Millisecond, time.Second)
	q.Remove(now, i)
	assert.Equal(t, q.Len(), 0)
	_, idle := q.Next(now).(Idle[string])
	assert.Assert(t, idle)
	assert.Assert(t, q.NextExpiry().IsZero())
}
