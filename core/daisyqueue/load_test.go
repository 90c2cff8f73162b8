package daisyqueue_test

import (
	"math/rand/v2"
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyheap"
	"daisyyoke/core/daisyqueue"
	"daisyyoke/core/daisyrank"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var ranks = []daisyrank.Rank{
	{Name: "urgent", Target: 250 * time.Millisecond, Worth: 100, Floor: 0.5},
	{Name: "standard", Target: 2 * time.Second, Worth: 10, Floor: 0.3},
	{Name: "bulk", Target: 10 * time.Minute, Worth: 1, Floor: 0.05},
}

// workload drives a queue in virtual time: Poisson arrivals for each rank, and service
// times of 8 ms plus an exponentially distributed part with a mean of 32 ms.
type workload struct {
	slots int
	// ranks are those of the service; nil means the usual ones.
	ranks []daisyrank.Rank
	// demand is the offered load of each rank as a fraction of the capacity.
	demand  []float64
	length  time.Duration
	seed    uint64
	options daisyqueue.Options
	// account returns the account and the deadline of a request; nil means none and the
	// target of the rank.
	account func(s *simulation) (daisyaccount.Name, time.Time)
	// target is the time from the arrival of a request to its target; 0 means its deadline.
	target time.Duration
	// shape completes a request that arrives and returns its service time; nil means the
	// usual one.
	shape func(s *simulation, i *item) time.Duration
}

const (
	fixedServiceTime      = 8 * time.Millisecond
	meanRandomServiceTime = 32 * time.Millisecond
	meanServiceTime       = fixedServiceTime + meanRandomServiceTime
)

// rankStats counts the outcomes of the requests of one rank.
type rankStats struct {
	arrived, inTime, late, refused int
	slotTime                       time.Duration
}

type item = daisyqueue.Item[time.Time]

type attempt struct {
	item    *item
	started time.Time
	charge  daisyqueue.Charge
	index   int
}

type simulation struct {
	workload
	random  *rand.Rand
	queue   *daisyqueue.Queue[time.Time]
	now     time.Time
	running *daisyheap.Heap[*attempt]
	next    []time.Time
	stats   []rankStats
	maxLen  int
	// latencies has the times from the arrivals of the served requests of each account to
	// their responses.
	latencies map[daisyaccount.Name][]time.Duration
	// refused counts the refused requests of each account.
	refused map[daisyaccount.Name]int
	// offered has all requests, work the service time of each, and answered when it ended.
	offered  []*item
	work     map[*item]time.Duration
	answered map[*item]time.Time
}

func (s *simulation) noteRefused(i *item) {
	s.stats[i.Rank].refused++
	s.refused[i.Account]++
}

func (w workload) run() *simulation {
	s := &simulation{workload: w, random: rand.New(rand.NewPCG(w.seed, 0)), now: start, latencies: make(map[daisyaccount.Name][]time.Duration), refused: make(map[daisyaccount.Name]int), work: make(map[*item]time.Duration), answered: make(map[*item]time.Time)}
	if s.options.Limits.Rank == 0 {
		s.options.Limits = daisyqueue.Limits{Rank: 4096, Service: 8192}
	}
	if s.ranks == nil {
		s.ranks = ranks
	}
	s.queue = daisyqueue.New[time.Time](s.ranks, s.options)
	s.running = daisyheap.New[*attempt](daisyheap.Earliest)
	s.stats = make([]rankStats, len(ranks))
	s.next = make([]time.Time, len(ranks))
	for i := range ranks {
		s.next[i] = start
		s.scheduleArrival(i)
	}
	for s.step() {
		s.maxLen = max(s.maxLen, s.queue.Len())
	}
	return s
}

func (s *simulation) scheduleArrival(rank int) {
	if s.demand[rank] == 0 {
		s.next[rank] = s.now.Add(1000 * time.Hour)
		return
	}
	mean := float64(meanServiceTime) / (s.demand[rank] * float64(s.slots))
	s.next[rank] = s.next[rank].Add(time.Duration(mean * s.random.ExpFloat64()))
}

func (s *simulation) step() bool {
	rank := 0
	for i := range s.next {
		if s.next[i].Before(s.next[rank]) {
			rank = i
		}
	}
	end, done, ok := s.running.First()
	expiry := s.queue.NextExpiry()
	switch {
	case ok && !end.After(s.next[rank]) && (expiry.IsZero() || !end.After(expiry)):
		s.now = end
		s.end(done)
	case !expiry.IsZero() && expiry.Before(s.next[rank]):
		s.now = later(s.now, expiry)
		s.expire()
	default:
		s.now = s.next[rank]
		s.arrive(rank)
	}
	s.fillSlots()
	return s.now.Sub(start) < s.length
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *simulation) arrive(rank int) {
	s.scheduleArrival(rank)
	s.stats[rank].arrived++
	i := &item{Value: s.now, Rank: daisyrank.Index(rank), Deadline: s.now.Add(s.ranks[rank].Target)}
	if s.account != nil {
		i.Account, i.Deadline = s.account(s)
	}
	if s.target > 0 {
		i.Target = s.now.Add(s.target)
	}
	took := s.serviceTime(i)
	s.work[i] = took
	s.offered = append(s.offered, i)
	switch v := s.queue.Admit(s.now, i, 0).(type) {
	case daisyqueue.Refused[time.Time]:
		s.noteRefused(i)
	case daisyqueue.Displaced[time.Time]:
		s.noteRefused(v.Item)
	}
}

// serviceTime draws the service time of a request that arrives.
func (s *simulation) serviceTime(i *item) time.Duration {
	if s.shape != nil {
		return s.shape(s, i)
	}
	return fixedServiceTime + time.Duration(float64(meanRandomServiceTime)*s.random.ExpFloat64())
}

func (s *simulation) expire() {
	for {
		d, ok := s.queue.Expire(s.now).(daisyqueue.Drop[time.Time])
		if !ok {
			return
		}
		s.noteRefused(d.Item)
	}
}

func (s *simulation) fillSlots() {
	for s.running.Len() < s.slots {
		switch v := s.queue.Next(s.now).(type) {
		case daisyqueue.Idle[time.Time]:
			return
		case daisyqueue.Drop[time.Time]:
			s.noteRefused(v.Item)
		case daisyqueue.Serve[time.Time]:
			s.queue.Take(s.now, v.Item)
			a := &attempt{item: v.Item, started: s.now, charge: s.queue.Started(s.now, v.Item.Rank)}
			s.running.Push(s.now.Add(s.work[v.Item]), a, &a.index)
		}
	}
}

func (s *simulation) end(a *attempt) {
	s.running.Remove(a.index)
	took := s.now.Sub(a.started)
	s.queue.Ended(s.now, a.item.Rank, took, a.charge)
	s.queue.RecordSlotTime(a.item.Rank, a.item.Account, took)
	s.queue.RecordResponseTime(a.item.Rank, took)
	s.answered[a.item] = s.now
	t := &s.stats[a.item.Rank]
	t.slotTime += took
	s.latencies[a.item.Account] = append(s.latencies[a.item.Account], s.now.Sub(a.item.Value))
	if s.now.After(a.item.Deadline) {
		t.late++
		return
	}
	t.inTime++
}

// goodput returns the responses of a rank within the deadline as a fraction of the capacity of all slots.
func (s *simulation) goodput(rank int) float64 {
	capacity := float64(s.slots) * float64(s.length) / float64(meanServiceTime)
	return float64(s.stats[rank].inTime) / capacity
}

// slotShare returns the fraction of the slot time that a rank used.
func (s *simulation) slotShare(rank int) float64 {
	return float64(s.stats[rank].slotTime) / (float64(s.slots) * float64(s.length))
}
