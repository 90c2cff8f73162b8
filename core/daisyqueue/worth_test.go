package daisyqueue_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyrank"
)

const (
	// lateWorth is the worth of a response after its target, relative to one within it.
	lateWorth     = 0.1
	worthAccounts = 30
	// idealGrain is the resolution of the ideal schedule.
	idealGrain = 5 * time.Millisecond
)

// worthRun is a workload whose requests lose worth at a target, well before their deadline.
type worthRun struct {
	name   string
	demand []float64
	// burst is by which factor the demand is higher in the first 600 ms of every 3 s.
	burst float64
	// mixed gives the requests of every third account a random part of the service time that
	// is ten times as long as that of the others.
	mixed bool
}

var worthRuns = []worthRun{
	{name: "calm", demand: []float64{0.3, 0.25, 0.1}},
	{name: "95%", demand: []float64{0.4, 0.35, 0.2}},
	{name: "120%", demand: []float64{0.5, 0.45, 0.25}},
	{name: "200%", demand: []float64{0.8, 0.8, 0.4}},
	{name: "urgent flood", demand: []float64{2, 0.3, 0.1}},
	{name: "bursts", demand: []float64{0.3, 0.3, 0.1}, burst: 4},
	{name: "200%, mixed work", demand: []float64{0.8, 0.8, 0.4}, mixed: true},
	{name: "bursts, mixed work", demand: []float64{0.3, 0.3, 0.1}, burst: 4, mixed: true},
}

// worthRanks have the floors and the worth that the adapter of the users' platform declares.
var worthRanks = []daisyrank.Rank{
	{Name: "urgent", Target: 250 * time.Millisecond, Worth: 1, Floor: 0.1},
	{Name: "standard", Target: 500 * time.Millisecond, Worth: 1, Floor: 0.1},
	{Name: "bulk", Target: time.Second, Worth: 1, Floor: 0.1},
}

func (r worthRun) run(seed uint64) *simulation {
	return workload{ranks: worthRanks, slots: 22, demand: r.demand, length: 30 * time.Second, seed: seed, shape: r.shape}.run()
}

// shape draws the account of a request by a power law, and the service time by the account.
func (r worthRun) shape(s *simulation, i *item) time.Duration {
	account := 0
	for at := 4 * s.random.Float64(); account < worthAccounts-1; account++ {
		if at -= 1 / float64(1+account); at < 0 {
			break
		}
	}
	i.Account = accountName(account)
	i.Target = s.now.Add(worthRanks[i.Rank].Target)
	i.Deadline = s.now.Add(4 * worthRanks[i.Rank].Target)
	mean := meanRandomServiceTime
	if r.mixed {
		mean = 12 * time.Millisecond
		if account%3 == 1 {
			mean *= 10
		}
	}
	if r.burst > 0 && s.now.Sub(start)%(3*time.Second) < 600*time.Millisecond {
		interval := float64(meanServiceTime) / (s.demand[i.Rank] * float64(s.slots) * r.burst)
		s.next[i.Rank] = s.now.Add(time.Duration(interval * s.random.ExpFloat64()))
	}
	return fixedServiceTime + time.Duration(float64(mean)*s.random.ExpFloat64())
}

// worthOf returns the worth of the response to a request, 0 if there is none in time.
func (s *simulation) worthOf(i *item) float64 {
	switch at := s.answered[i]; {
	case at.IsZero() || at.After(i.Deadline):
		return 0
	case at.After(i.Target):
		return lateWorth
	}
	return 1
}

// meanWorth returns the mean worth of the requests in each group, smallest first.
func meanWorth[K comparable](s *simulation, group func(*item) K) (worths []float64, byGroup map[K]float64) {
	byGroup, counts := make(map[K]float64), make(map[K]float64)
	for _, i := range s.offered {
		byGroup[group(i)] += s.worthOf(i)
		counts[group(i)]++
	}
	for k, n := range counts {
		byGroup[k] /= n
		worths = append(worths, byGroup[k])
	}
	slices.Sort(worths)
	return worths, byGroup
}

// idealWorth returns the share of the requests that a schedule known in advance answers
// within their target. It places requests in the given order where their work still fits, may
// interrupt them, and keeps to no ranks, floors or turns.
func (s *simulation) idealWorth(order func(*item) time.Duration) float64 {
	free := make([]int, int((s.length+time.Minute)/idealGrain))
	for n := range free {
		free[n] = s.slots
	}
	sorted := slices.Clone(s.offered)
	slices.SortStableFunc(sorted, func(a, b *item) int { return cmp.Compare(order(a), order(b)) })
	placed := 0
	for _, i := range sorted {
		var grains []int
		need := max(1, int((s.work[i]+idealGrain/2)/idealGrain))
		for n := int(i.Value.Sub(start) / idealGrain); n < int(i.Target.Sub(start)/idealGrain) && len(grains) < need; n++ {
			if free[n] > 0 {
				grains = append(grains, n)
			}
		}
		if len(grains) < need {
			continue
		}
		placed++
		for _, n := range grains {
			free[n]--
		}
	}
	return float64(placed) / float64(len(s.offered))
}

// leastService returns the least service of an account in a rank, in requests or in slot time,
// relative to what it asked for or what the account with the most got, whichever is less.
func (s *simulation) leastService(slotTime bool) float64 {
	type key struct {
		rank    daisyrank.Index
		account daisyaccount.Name
	}
	asked, got, requests := make(map[key]float64), make(map[key]float64), make(map[key]int)
	most := make([]float64, len(ranks))
	for _, i := range s.offered {
		k, amount := key{i.Rank, i.Account}, 1.0
		if slotTime {
			amount = s.work[i].Seconds()
		}
		requests[k]++
		asked[k] += amount
		if !s.answered[i].IsZero() {
			got[k] += amount
			most[i.Rank] = max(most[i.Rank], got[k])
		}
	}
	least := 1.0
	for k, n := range requests {
		if n > 20 {
			least = min(least, got[k]/min(most[k.rank], asked[k]))
		}
	}
	return least
}

func BenchmarkWorth(b *testing.B) {
	for _, r := range worthRuns {
		for seed := range uint64(3) {
			b.Run(fmt.Sprintf("run=%s/seed=%d", r.name, seed), func(b *testing.B) {
				for range b.N {
					s := r.run(seed)
					total, _ := meanWorth(s, func(*item) bool { return true })
					b.ReportMetric(total[0], "worth")
					b.ReportMetric(s.idealWorth(func(i *item) time.Duration { return s.work[i] }), "ideal")
					b.ReportMetric(s.idealWorth(func(*item) time.Duration { return 0 }), "ideal-by-arrival")
					_, byRank := meanWorth(s, func(i *item) daisyrank.Index { return i.Rank })
					for n, w := range byRank {
						b.ReportMetric(w, string(ranks[n].Name))
					}
					byAccount, _ := meanWorth(s, func(i *item) daisyaccount.Name { return i.Account })
					b.ReportMetric((byAccount[0]+byAccount[1]+byAccount[2])/3, "worst-tenth")
					b.ReportMetric(byAccount[len(byAccount)/2], "median-account")
					b.ReportMetric(byAccount[len(byAccount)-1], "best-account")
					b.ReportMetric(s.leastService(false), "least-requests")
					b.ReportMetric(s.leastService(true), "least-slot-time")
				}
			})
		}
	}
}

// Guards against turns by work that leave an account with long requests less than a quarter
// of the turns of the others, and against a rank that is passed over for too long.
func TestNoAccountFallsBelowAQuarterWhateverItsWork(t *testing.T) {
	for _, r := range worthRuns {
		for seed := range seeds() {
			s := r.run(seed)
			assert.Check(t, s.leastService(false) >= 0.25, "%s, seed %d: %v", r.name, seed, s.leastService(false))
		}
	}
}
