package daisyqueue_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyqueue"
	"daisyyoke/core/daisyrank"
)

const accounts = 10

func accountName(i int) daisyaccount.Name { return daisyaccount.Name(fmt.Sprint("account-", i)) }

// pickAccount returns an account at random, by weight.
func pickAccount(s *simulation, weight func(account int) float64) int {
	sum := 0.0
	for i := range accounts {
		sum += weight(i)
	}
	at := s.random.Float64() * sum
	for i := range accounts {
		if at -= weight(i); at < 0 {
			return i
		}
	}
	return accounts - 1
}

// runSurge runs accounts that use 0.07 of the capacity each, the first one by a factor more.
func runSurge(seed uint64, surge float64) *simulation {
	weight := func(account int) float64 {
		if account == 0 {
			return surge
		}
		return 1
	}
	return workload{
		slots: 22, demand: []float64{0, 0.07 * (accounts - 1 + surge), 0}, length: 30 * time.Second, seed: seed,
		account: func(s *simulation) (daisyaccount.Name, time.Time) {
			return accountName(pickAccount(s, weight)), s.now.Add(ranks[1].Target)
		},
	}.run()
}

// p99 returns the 99th percentile of the latency of some accounts.
func (s *simulation) p99(accounts ...int) time.Duration {
	var latencies []time.Duration
	for _, i := range accounts {
		latencies = append(latencies, s.latencies[accountName(i)]...)
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

// Guards against the surge of one account that delays the requests of the others, or gets
// them refused. The bound is the one that steady load has to keep to: 1.25 times the 99th
// percentile without the surge.
func TestSurgeDelaysOnlyItsOwnAccount(t *testing.T) {
	others := []int{1, 2, 3, 4, 5, 6, 7, 8, 9}
	for seed := range seeds() {
		usual, s := runSurge(seed, 1), runSurge(seed, 8)
		before, during := usual.p99(others...), s.p99(others...)
		assert.Check(t, float64(during) <= 1.25*float64(before), "p99 of the others %v, without the surge %v", during, before)
		for _, i := range others {
			assert.Check(t, s.refused[accountName(i)] == 0, "account %d: %d refused", i, s.refused[accountName(i)])
		}
		assert.Check(t, s.p99(0) > 2*before, "p99 of the surging account %v", s.p99(0))
		t.Logf("p99 of the others %v, without the surge %v, of the surging account %v", during, before, s.p99(0))
	}
}

// Guards against an account that gets less than a quarter of what others get while all ask
// for more than there is, whatever their demand and the deadlines of their requests.
func TestNoAccountFallsBelowAQuarterUnderOverload(t *testing.T) {
	for _, p := range policies {
		for seed := range seeds() {
			s := workload{
				slots: 22, demand: []float64{0, 10, 0}, length: 30 * time.Second, seed: seed, options: p.options,
				account: func(s *simulation) (daisyaccount.Name, time.Time) {
					i := pickAccount(s, func(account int) float64 { return float64(1 + account*account) })
					deadline := []time.Duration{2 * time.Second, 400 * time.Millisecond}[i%2]
					return accountName(i), s.now.Add(deadline)
				},
			}.run()
			served := make([]int, accounts)
			for i := range served {
				served[i] = len(s.latencies[accountName(i)])
			}
			// The smallest accounts ask for less than an even share, and get all of it.
			for i, n := range served {
				assert.Check(t, 4*n >= slices.Max(served) || s.refused[accountName(i)] == 0, "%s, seed %d: account %d of %v", p.name, seed, i, served)
			}
		}
	}
}

// Guards against an account that gets next to nothing because it sends its requests in
// bursts, most of which miss their target while others can meet theirs.
func TestBurstsGetAQuarterUnderOverload(t *testing.T) {
	const burstEvery, burstLength = 2 * time.Second, 30 * time.Millisecond
	for seed := range seeds() {
		s := workload{
			slots: 22, demand: []float64{0, 6, 0}, length: 30 * time.Second, seed: seed, target: 100 * time.Millisecond,
			options: daisyqueue.Options{Admission: daisyqueue.AdmitAll{}},
			account: func(s *simulation) (daisyaccount.Name, time.Time) {
				i := 1 + s.random.IntN(accounts-1)
				if s.now.Sub(start)%burstEvery <= burstLength {
					i = 0
				}
				return accountName(i), s.now.Add(ranks[1].Target)
			},
		}.run()
		most := 0
		for i := 1; i < accounts; i++ {
			most = max(most, len(s.latencies[accountName(i)]))
		}
		bursts := len(s.latencies[accountName(0)])
		t.Logf("%d in bursts, %d refused, the others at most %d", bursts, s.refused[accountName(0)], most)
		assert.Check(t, 4*bursts >= most, "seed %d: %d in bursts, %d refused, the others at most %d", seed, bursts, s.refused[accountName(0)], most)
	}
}

// Guards against turns that go to another account than the least recently used one, against
// requests that wait behind hopeless ones, and against requests that get lost.
func TestAccountsAreServedInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		uses := 0
		q := daisyqueue.New[time.Time](ranks[:1], daisyqueue.Options{Order: daisyqueue.EarliestFirst{}, Admission: daisyqueue.AdmitAll{}})
		lastUse := make(map[daisyaccount.Name]int)
		var waiting []*item
		now := start
		meetable := func(i *item) bool { return now.Before(i.Target) }
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				i := &item{Value: now, Account: accountName(rapid.IntRange(0, 3).Draw(t, "account")), Target: now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "target")) * time.Millisecond), Deadline: now.Add(time.Second)}
				q.Push(now, i)
				waiting = append(waiting, i)
				continue
			}
			var got *item
			switch s := q.Next(now).(type) {
			case daisyqueue.Idle[time.Time]:
				assert.Equal(t, len(waiting), 0)
				continue
			case daisyqueue.Drop[time.Time]:
				assert.Assert(t, !now.Before(s.Item.Deadline))
				got = s.Item
			case daisyqueue.Serve[time.Time]:
				got = s.Item
				checkTurn(t, got, waiting, meetable, lastUse, uses)
				q.Take(now, got)
				uses++
				lastUse[got.Account] = uses
			}
			waiting = slices.DeleteFunc(waiting, func(i *item) bool { return i == got })
			assert.Equal(t, q.Len(), len(waiting))
			assert.Equal(t, q.Waiting(daisyrank.Index(0)), len(waiting))
		}
	})
}

// checkTurn checks that a request is the next one of the waiting ones: its account is the
// least recently used one with requests that can meet their target, or one that has waited
// for four turns of each account, and it is the first of its account.
func checkTurn(t *rapid.T, got *item, waiting []*item, meetable func(*item) bool, lastUse map[daisyaccount.Name]int, uses int) {
	ready, late, all := math.MaxInt, math.MaxInt, make(map[daisyaccount.Name]bool)
	for _, i := range waiting {
		all[i.Account] = true
		if meetable(i) {
			ready = min(ready, lastUse[i.Account])
		} else {
			late = min(late, lastUse[i.Account])
		}
		if i.Account == got.Account {
			first := meetable(got) && (!meetable(i) || !got.Target.After(i.Target)) || !meetable(got) && !meetable(i) && !got.Deadline.After(i.Deadline)
			assert.Assert(t, first)
		}
	}
	turn := ready
	if late != math.MaxInt && (ready == math.MaxInt || uses-late > 4*len(all)) {
		turn = late
	}
	assert.Equal(t, lastUse[got.Account], turn)
}

// Guards against state that grows with every account that ever sent a request, and against
// accounts that are forgotten while requests wait.
func TestManyAccountsAreForgotten(t *testing.T) {
	q := daisyqueue.New[time.Time](ranks, daisyqueue.Options{Admission: daisyqueue.AdmitAll{}, Limits: daisyqueue.Limits{Rank: 10, Service: 10}})
	kept := &item{Account: "kept", Deadline: start.Add(time.Hour)}
	q.Push(start, kept)
	for i := range 5000 {
		x := &item{Account: accountName(i), Deadline: start.Add(time.Minute)}
		q.Push(start, x)
		q.Take(start, x)
	}
	assert.Equal(t, q.Len(), 1)
	assert.Equal(t, q.Next(start).(daisyqueue.Serve[time.Time]).Item, kept)
}

// Guards against the surge of an account that takes the room of the others at the limit.
func TestFullQueueEvictsTheLargestAccount(t *testing.T) {
	q := daisyqueue.New[time.Time](ranks, daisyqueue.Options{Admission: daisyqueue.AdmitAll{}, Limits: daisyqueue.Limits{Rank: 10, Service: 10}})
	for i := range 9 {
		q.Admit(start, &item{Account: "large", Deadline: start.Add(time.Duration(9-i) * time.Second)}, 0)
	}
	q.Admit(start, &item{Account: "small", Deadline: start.Add(time.Minute)}, 0)
	v, ok := q.Admit(start, &item{Account: "small", Deadline: start.Add(time.Minute)}, 0).(daisyqueue.Displaced[time.Time])
	assert.Assert(t, ok && v.Item.Account == "large", "%+v", v)
}
