package daisyqueue_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyqueue"
	"daisyyoke/core/daisyrank"
)

// nextName returns the name of the rank whose request is served next, and removes it.
func nextName(t *testing.T, q *daisyqueue.Queue[daisyrank.Name]) daisyrank.Name {
	t.Helper()
	serve, ok := q.Next(start).(daisyqueue.Serve[daisyrank.Name])
	assert.Assert(t, ok)
	q.Remove(start, serve.Item)
	return serve.Item.Value
}

// Guards against requests that change their rank when the ranks of their service change
// while they wait: a rank is known by its name, not by its position.
func TestRequestsKeepTheirRankWhenRanksChange(t *testing.T) {
	named := func(names ...daisyrank.Name) []daisyrank.Rank {
		var ranks []daisyrank.Rank
		for _, n := range names {
			ranks = append(ranks, daisyrank.Rank{Name: n, Target: time.Second})
		}
		return ranks
	}
	cases := []struct {
		name    string
		changes [][]daisyrank.Rank
		// arrives has the ranks of the requests that arrive after the changes.
		arrives []daisyrank.Name
		want    []daisyrank.Name
	}{
		{name: "a more urgent rank is added", changes: [][]daisyrank.Rank{named("new", "urgent", "bulk")}, arrives: []daisyrank.Name{"new"}, want: []daisyrank.Name{"new", "urgent", "bulk"}},
		{name: "the most urgent rank is removed", changes: [][]daisyrank.Rank{named("bulk")}, want: []daisyrank.Name{"urgent", "bulk"}},
		{name: "the least urgent rank is removed", changes: [][]daisyrank.Rank{named("urgent")}, want: []daisyrank.Name{"urgent", "bulk"}},
		{name: "all ranks are removed", changes: [][]daisyrank.Rank{nil}, arrives: []daisyrank.Name{"urgent"}, want: []daisyrank.Name{"urgent", "urgent", "bulk"}},
		{name: "all ranks are removed and added again", changes: [][]daisyrank.Rank{nil, named("urgent", "bulk")}, want: []daisyrank.Name{"urgent", "bulk"}},
		{name: "all ranks are replaced", changes: [][]daisyrank.Rank{named("new"), named("newer")}, arrives: []daisyrank.Name{"newer"}, want: []daisyrank.Name{"newer", "urgent", "bulk"}},
		{name: "the order is reversed", changes: [][]daisyrank.Rank{named("bulk", "urgent")}, want: []daisyrank.Name{"bulk", "urgent"}},
		{name: "a rank is not declared yet", changes: [][]daisyrank.Rank{named("urgent", "bulk")}, arrives: []daisyrank.Name{"later"}, want: []daisyrank.Name{"urgent", "bulk", "later"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := daisyqueue.New[daisyrank.Name](named("urgent", "bulk"), daisyqueue.Options{Limits: daisyqueue.Limits{Rank: 10, Service: 20}})
			push := func(name daisyrank.Name) {
				q.Push(start, &daisyqueue.Item[daisyrank.Name]{Value: name, Rank: q.Rank(name), Deadline: start.Add(time.Minute)})
			}
			push("bulk")
			push("urgent")
			running := q.Rank("bulk")
			charge := q.Started(start, running)
			for _, ranks := range c.changes {
				q.SetRanks(ranks)
			}
			for _, name := range c.arrives {
				push(name)
			}
			assert.Equal(t, q.InFlight(running), 1)
			q.Ended(start, running, time.Millisecond, charge)
			for _, name := range c.want {
				assert.Equal(t, nextName(t, q), name)
			}
			assert.Equal(t, q.Len(), 0)
		})
	}
}

// Guards against a queue that grows with each rank that was ever declared.
func TestRemovedRanksAreForgotten(t *testing.T) {
	q := daisyqueue.New[daisyrank.Name](nil, daisyqueue.Options{})
	for i := range 1000 {
		name := daisyrank.Name(time.Duration(i).String())
		q.SetRanks([]daisyrank.Rank{{Name: name}})
		q.Rank("other")
	}
	assert.Assert(t, len(q.Ranks()) <= 4, "%d ranks in use", len(q.Ranks()))
	q.SetRanks(nil)
	for _, r := range q.Ranks() {
		assert.Assert(t, r < 8, "index %d", r)
	}
}
