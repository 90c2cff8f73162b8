package daisyqueue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyyoke/core/daisyqueue"
	"daisyyoke/core/daisyrank"
)

var policies = []struct {
	name    string
	options daisyqueue.Options
}{
	{"earliest-refuse", daisyqueue.Options{Order: daisyqueue.EarliestFirst{}}},
	{"earliest-admit-all", daisyqueue.Options{Order: daisyqueue.EarliestFirst{}, Admission: daisyqueue.AdmitAll{}}},
	{"latest-refuse", daisyqueue.Options{}},
	{"latest-admit-all", daisyqueue.Options{Admission: daisyqueue.AdmitAll{}}},
}

func BenchmarkUrgentFlood(b *testing.B) {
	for _, p := range policies {
		for _, slots := range []int{4, 22} {
			for _, demand := range []float64{0.95, 1.2, 3} {
				b.Run(fmt.Sprintf("way=%s/slots=%d/demand=%v", p.name, slots, demand), func(b *testing.B) {
					for range b.N {
						s := workload{slots: slots, demand: []float64{demand, 0, 0}, length: 60 * time.Second, seed: 1, options: p.options}.run()
						t := s.stats[0]
						b.ReportMetric(s.goodput(0), "useful/capacity")
						b.ReportMetric(float64(t.inTime)/float64(t.arrived), "useful/arrived")
						b.ReportMetric(float64(t.late)/float64(t.late+t.inTime), "late/served")
						b.ReportMetric(float64(s.maxLen), "waiting")
					}
				})
			}
		}
	}
}

// seeds returns the number of seeds that a test runs; short runs, for the race detector, use one.
func seeds() uint64 {
	if testing.Short() {
		return 1
	}
	return 3
}

func TestGoodputStaysAtCapacityUnderUrgentOverload(t *testing.T) {
	for _, slots := range []int{4, 15, 22} {
		for seed := range seeds() {
			s := workload{slots: slots, demand: []float64{3, 0, 0}, length: 30 * time.Second, seed: seed}.run()
			used := s.slotShare(0)
			assert.Assert(t, s.goodput(0) >= 0.95*used && used > 0.99, "slots %d seed %d: goodput %v with %v of the slot time used", slots, seed, s.goodput(0), used)
			assert.Assert(t, s.maxLen <= 4096)
		}
	}
}

func TestRanksGetTheirFloorUnderOverload(t *testing.T) {
	cases := []struct {
		name   string
		slots  int
		demand []float64
		// least is the minimum share of the slot time for each rank.
		least []float64
	}{
		{name: "bulk overload", slots: 22, demand: []float64{0.3, 0.4, 10}, least: []float64{0.28, 0.37, 0.2}},
		{name: "urgent overload", slots: 22, demand: []float64{3, 0.2, 0.5}, least: []float64{0.5, 0.19, 0.05}},
		{name: "all ranks overloaded", slots: 22, demand: []float64{3, 3, 3}, least: []float64{0.5, 0.3, 0.05}},
		{name: "a floor of a quarter slot", slots: 5, demand: []float64{3, 0, 3}, least: []float64{0.9, 0, 0.05}},
		{name: "one slot", slots: 1, demand: []float64{3, 3, 3}, least: []float64{0.5, 0.3, 0.05}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := workload{slots: c.slots, demand: c.demand, length: 60 * time.Second, seed: 1}.run()
			for i, least := range c.least {
				assert.Assert(t, s.slotShare(i) >= 0.98*least, "rank %d has %v of the slot time, want at least %v", i, s.slotShare(i), least)
			}
		})
	}
}

func TestBulkOverloadDoesNotDelayMoreUrgentRanks(t *testing.T) {
	for seed := range seeds() {
		s := workload{slots: 22, demand: []float64{0.35, 0.3, 10}, length: 60 * time.Second, seed: seed}.run()
		urgent, standard := s.stats[0], s.stats[1]
		assert.Assert(t, float64(urgent.inTime) >= 0.999*float64(urgent.arrived-10), "%+v", urgent)
		assert.Assert(t, float64(standard.inTime) >= 0.99*float64(standard.arrived-100), "%+v", standard)
	}
}

func TestBulkRequestsThatWaitLongComplete(t *testing.T) {
	s := workload{slots: 2, demand: []float64{0.5, 0, 0.6}, length: 300 * time.Second, seed: 1}.run()
	bulk := s.stats[2]
	assert.Equal(t, bulk.refused, 0)
	assert.Equal(t, bulk.late, 0)
	assert.Assert(t, bulk.inTime > 5000 && s.queue.Waiting(2) > 200, "%+v", bulk)
}

func TestLimitsEvictTheLatestOfTheLeastUrgentRank(t *testing.T) {
	limits := daisyqueue.Limits{Rank: 6, Service: 10}
	cases := []struct {
		name    string
		waiting []int
		arrives daisyrank.Index
		sooner  bool
		// evicted is the rank whose latest request is evicted.
		evicted daisyrank.Index
	}{
		{name: "rank full, new request latest", waiting: []int{0, 0, 6}, arrives: 2, evicted: 2},
		{name: "rank full, new request sooner", waiting: []int{0, 0, 6}, arrives: 2, sooner: true, evicted: 2},
		{name: "service full, bulk is evicted", waiting: []int{4, 0, 6}, arrives: 0, evicted: 2},
		{name: "service full, bulk within its floor", waiting: []int{4, 6, 0}, arrives: 0, evicted: 1},
		{name: "service full of urgent within floors", waiting: []int{5, 3, 2}, arrives: 1, evicted: 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := daisyqueue.New[time.Time](ranks, daisyqueue.Options{Limits: limits})
			for i, n := range c.waiting {
				for j := range n {
					q.Push(start, &item{Rank: daisyrank.Index(i), Deadline: start.Add(time.Duration(100+j) * time.Second)})
				}
			}
			arriving := &item{Rank: c.arrives, Deadline: start.Add(time.Hour)}
			if c.sooner {
				arriving.Deadline = start.Add(time.Second)
			}
			switch v := q.Admit(start, arriving, 0).(type) {
			case daisyqueue.Refused[time.Time]:
				assert.Assert(t, c.arrives == c.evicted && !c.sooner)
				assert.Equal(t, v.Cause, daisyqueue.Full)
				assert.Assert(t, v.RetryAfter >= time.Second)
			case daisyqueue.Displaced[time.Time]:
				assert.Equal(t, v.Item.Rank, c.evicted)
				assert.Assert(t, arriving.Queued() && !v.Item.Queued())
				assert.Equal(t, v.Item.Deadline, start.Add(time.Duration(99+c.waiting[c.evicted])*time.Second))
			default:
				t.Fatalf("admitted")
			}
			assert.Assert(t, q.Len() <= limits.Service)
		})
	}
}

// TestQueueInvariants checks that no request is lost or returned twice, and that none is
// served after its deadline.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := daisyqueue.New[time.Time](ranks, daisyqueue.Options{Limits: daisyqueue.Limits{Rank: 20, Service: 40}})
		now := start
		waiting := make(map[*item]bool)
		var all []*item
		leave := func(i *item) {
			assert.Assert(t, waiting[i] && !i.Queued())
			delete(waiting, i)
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1, 2:
				n := daisyrank.Index(rapid.IntRange(0, 2).Draw(t, "rank"))
				i := &item{Rank: n, Deadline: now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "timeout")) * time.Millisecond)}
				all = append(all, i)
				switch v := q.Admit(now, i, 0).(type) {
				case daisyqueue.Admitted[time.Time]:
					waiting[i] = true
				case daisyqueue.Displaced[time.Time]:
					waiting[i] = true
					leave(v.Item)
				}
			case 3:
				switch v := q.Next(now).(type) {
				case daisyqueue.Serve[time.Time]:
					assert.Assert(t, now.Before(v.Item.Deadline))
					q.Remove(now, v.Item)
					leave(v.Item)
					charge := q.Started(now, v.Item.Rank)
					slotTime := time.Duration(rapid.IntRange(0, 100).Draw(t, "held")) * time.Millisecond
					q.Ended(now, v.Item.Rank, slotTime, charge)
					q.RecordResponseTime(v.Item.Rank, slotTime)
				case daisyqueue.Drop[time.Time]:
					leave(v.Item)
				case daisyqueue.Idle[time.Time]:
					assert.Equal(t, len(waiting), 0)
				}
			case 4:
				if n := slices.IndexFunc(all, (*item).Queued); n >= 0 {
					q.Remove(now, all[n])
					leave(all[n])
				}
			case 5:
				for d, ok := q.Expire(now).(daisyqueue.Drop[time.Time]); ok; d, ok = q.Expire(now).(daisyqueue.Drop[time.Time]) {
					leave(d.Item)
				}
				assert.Assert(t, q.NextExpiry().IsZero() || q.NextExpiry().After(now))
			}
			assert.Equal(t, q.Len(), len(waiting))
			assert.Assert(t, q.Len() <= 40 && q.Waiting(2) <= 20)
		}
	})
}

// TestBurstAtAVMWithFewSlotsInUseIsNotRefused guards against estimating the wait from the
// slots in use alone: a VM with little work uses few slots, but is lent more on demand.
func TestBurstAtAVMWithFewSlotsInUseIsNotRefused(t *testing.T) {
	cases := []struct {
		name      string
		evenShare float64
		refused   bool
	}{
		{name: "an even share of one slot", evenShare: 1, refused: true},
		{name: "an even share of five slots", evenShare: 5, refused: false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := daisyqueue.New[time.Time](ranks, daisyqueue.Options{Limits: daisyqueue.Limits{Rank: 100, Service: 100}})
			q.SetEvenShare(c.evenShare)
			q.Ended(start, 0, 20*time.Millisecond, q.Started(start, 0))
			q.RecordResponseTime(0, 20*time.Millisecond)
			q.Started(start, 0)
			refused := false
			for range 30 {
				_, isRefused := q.Admit(start, &item{Deadline: start.Add(ranks[0].Target)}, 0).(daisyqueue.Refused[time.Time])
				refused = refused || isRefused
			}
			assert.Equal(t, refused, c.refused)
		})
	}
}

// TestOverloadOfSeveralServicesLeavesCapacityForOthers checks that overloaded services
// leave as much of the VM's capacity free as each of them uses.
func TestOverloadOfSeveralServicesLeavesCapacityForOthers(t *testing.T) {
	const capacity = 1000
	for _, overloaded := range []int{1, 3, 9} {
		t.Run(fmt.Sprint(overloaded), func(t *testing.T) {
			queues := make([]*daisyqueue.Queue[time.Time], overloaded)
			for i := range queues {
				queues[i] = daisyqueue.New[time.Time](ranks, daisyqueue.Options{Limits: daisyqueue.Limits{Rank: 4096, Service: 6144}})
			}
			queued := 0
			for i := range 5000 {
				queues[i%overloaded].Admit(start, &item{Rank: 2, Deadline: start.Add(time.Hour)}, capacity-queued)
				queued = 0
				for _, q := range queues {
					queued += q.Len()
				}
			}
			left := capacity - queued
			assert.Assert(t, left >= capacity/(overloaded+1)-overloaded && left <= capacity/(overloaded+1)+overloaded, "capacity left: %d requests", left)
			idle := daisyqueue.New[time.Time](ranks, daisyqueue.Options{Limits: daisyqueue.Limits{Rank: 4096, Service: 6144}})
			for range left / 2 {
				_, ok := idle.Admit(start, &item{Deadline: start.Add(time.Hour)}, capacity-queued-idle.Len()).(daisyqueue.Admitted[time.Time])
				assert.Assert(t, ok)
			}
		})
	}
}
