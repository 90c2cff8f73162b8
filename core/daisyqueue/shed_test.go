package daisyqueue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyrank"
)

var shedStart = time.Unix(0, 0)

// newShedQueue returns a queue of ranks without floors, the first of which is worth more by
// a factor, with usual responses of 100 ms.
func newShedQueue(worth float64) *Queue[string] {
	q := New[string]([]daisyrank.Rank{{Name: "urgent", Worth: worth}, {Name: "bulk", Worth: 1}}, Options{Order: EarliestFirst{}})
	q.shedsByCost = true
	for range 30 {
		for i := range daisyrank.Index(2) {
			q.RecordResponseTime(i, 100*time.Millisecond)
			q.Ended(shedStart, i, 100*time.Millisecond, q.Started(shedStart, i))
		}
	}
	return q
}

// TestUrgentRankThatMissesItsTargetLetsOthersGoFirst guards against urgent requests whose
// responses have lost most of their worth anyway and make less urgent ones late too, and
// against a change of the order without overload.
func TestUrgentRankThatMissesItsTargetLetsOthersGoFirst(t *testing.T) {
	cases := []struct {
		name   string
		worth  float64
		waited time.Duration
		target time.Duration
		want   string
	}{
		{name: "overload", worth: 1, waited: 300 * time.Millisecond, target: 200 * time.Millisecond, want: "bulk"},
		{name: "target can be met", worth: 1, waited: 300 * time.Millisecond, target: 500 * time.Millisecond, want: "urgent"},
		{name: "late response worth as much", worth: 10, waited: 300 * time.Millisecond, target: 200 * time.Millisecond, want: "urgent"},
		{name: "target missed without a wait", worth: 1, waited: 20 * time.Millisecond, target: 110 * time.Millisecond, want: "urgent"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := newShedQueue(c.worth)
			push(q, shedStart, "urgent", c.target, 3*time.Second)
			now := shedStart.Add(c.waited)
			q.Push(now, &Item[string]{Value: "bulk", Rank: 1, Target: now.Add(time.Second), Deadline: now.Add(3 * time.Second)})
			assert.Equal(t, serve(t, q, now), c.want)
		})
	}
}

// TestRanksThatMissTheirTargetKeepAQuarter checks that no rank gets less than a quarter of the
// turns of another one, but for the turn that comes next. It guards against ranks whose target
// is never met and which get nothing while less urgent ones have requests, and against less
// urgent ones in time that wait for all of them.
func TestRanksThatMissTheirTargetKeepAQuarter(t *testing.T) {
	q := New[string]([]daisyrank.Rank{{Name: "urgent", Worth: 1}, {Name: "standard", Worth: 1}, {Name: "bulk", Worth: 1}}, Options{Order: EarliestFirst{}})
	q.shedsByCost = true
	for range 50 {
		for i := range daisyrank.Index(2) {
			q.Push(shedStart, &Item[string]{Rank: i, Target: shedStart.Add(200 * time.Millisecond), Deadline: shedStart.Add(time.Minute)})
		}
	}
	now, turns := shedStart.Add(300*time.Millisecond), make([]int, 3)
	for i := range 80 {
		q.Push(now, &Item[string]{Rank: 2, Target: now.Add(time.Second), Deadline: now.Add(time.Minute)})
		s, ok := q.Next(now).(Serve[string])
		assert.Assert(t, ok)
		turns[s.Item.Rank]++
		q.Take(now, s.Item)
		for r, n := range turns {
			assert.Assert(t, 4*(n+1) >= slices.Max(turns), "rank %d after %d: %v", r, i+1, turns)
		}
	}
}

// TestNoRequestIsServedInPlaceOfAMoreUrgentOneInTime guards against a request that is served
// while one of a more urgent rank waits that can still meet its target.
func TestNoRequestIsServedInPlaceOfAMoreUrgentOneInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		worth := rapid.Float64Range(0, 20)
		q := newShedQueue(1)
		q.SetRanks([]daisyrank.Rank{{Name: "urgent", Worth: worth.Draw(t, "worth")}, {Name: "standard", Worth: worth.Draw(t, "worth")}, {Name: "bulk", Worth: worth.Draw(t, "worth")}})
		now := shedStart
		waiting := make(map[*Item[string]]bool)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "arrives") {
				due := now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "target")) * time.Millisecond)
				i := &Item[string]{Rank: daisyrank.Index(rapid.IntRange(0, 2).Draw(t, "rank")), Target: due, Deadline: due.Add(time.Second)}
				q.Push(now, i)
				waiting[i] = true
				continue
			}
			switch s := q.Next(now).(type) {
			case Drop[string]:
				delete(waiting, s.Item)
			case Serve[string]:
				for i := range waiting {
					inTime := now.Before(i.Target.Add(-q.ResponseTimes(i.Rank).Median()))
					assert.Assert(t, slices.Index(q.Ranks(), i.Rank) >= slices.Index(q.Ranks(), s.Item.Rank) || !inTime)
				}
				q.Take(now, s.Item)
				delete(waiting, s.Item)
			}
		}
	})
}

// TestRequestsThatMissTheirTargetAreNoReasonToRefuse guards against requests refused on
// arrival because of others that they would go before.
func TestRequestsThatMissTheirTargetAreNoReasonToRefuse(t *testing.T) {
	for _, c := range []struct {
		target   time.Duration
		admitted bool
	}{{300 * time.Millisecond, true}, {150 * time.Millisecond, false}} {
		t.Run(fmt.Sprint(c.target), func(t *testing.T) {
			q := newShedQueue(1)
			q.options.Limits = Limits{Rank: 100, Service: 100}
			q.Started(shedStart, 0)
			for range 50 {
				push(q, shedStart, "late", 50*time.Millisecond, 3*time.Second)
			}
			push(q, shedStart, "in time", 900*time.Millisecond, 3*time.Second)
			_, admitted := q.Admit(shedStart, &Item[string]{Target: shedStart.Add(c.target), Deadline: shedStart.Add(2 * time.Second)}, 0).(Admitted[string])
			assert.Equal(t, admitted, c.admitted)
		})
	}
}

// TestLongWorkTakesFewerTurnsUnderOverload guards against accounts that get more of the slot
// time the longer their requests take, and against a change of the turns without overload.
func TestLongWorkTakesFewerTurnsUnderOverload(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		q := newShedQueue(1)
		for range 200 {
			q.RecordSlotTime(0, "long", time.Second)
			q.RecordSlotTime(0, "short", 50*time.Millisecond)
		}
		for range 100 {
			for _, account := range []string{"long", "short"} {
				i := &Item[string]{Account: daisyaccount.Name(account), Value: account, Deadline: shedStart.Add(time.Hour)}
				q.Push(shedStart, i)
			}
		}
		if overloaded {
			q.noteMissed(shedStart.Add(overloadWait), &Item[string]{queuedAt: shedStart})
		}
		taken := make(map[string]int)
		for range 70 {
			s, ok := q.Next(shedStart).(Serve[string])
			assert.Assert(t, ok)
			taken[s.Item.Value]++
			q.Take(shedStart, s.Item)
		}
		if !overloaded {
			assert.Equal(t, taken["long"], 35)
			continue
		}
		assert.Assert(t, 4*taken["long"] >= taken["short"] && 2*taken["long"] <= taken["short"], "%v", taken)
	}
}

// Guards against a change for services without client accounts, which did not ask for it.
func TestOnlyServicesWithAccountsShedByCost(t *testing.T) {
	for _, c := range []struct {
		account daisyaccount.Name
		want    string
	}{{"", "urgent"}, {"north", "bulk"}} {
		q := newShedQueue(1)
		q.shedsByCost = false
		push(q, shedStart, "urgent", 200*time.Millisecond, 3*time.Second)
		now := shedStart.Add(300 * time.Millisecond)
		q.Push(now, &Item[string]{Account: c.account, Value: "bulk", Rank: 1, Target: now.Add(time.Second), Deadline: now.Add(3 * time.Second)})
		assert.Equal(t, serve(t, q, now), c.want, c.account)
	}
}
