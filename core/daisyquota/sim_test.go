package daisyquota

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyvm"
)

// simTest is a simulation of VMs in virtual time. The membership is a model: a VM that is
// cut off or frozen leaves the view of another one after 1.75 to 2.25 s, a killed one at once.
type simTest struct {
	random   *rand.Rand
	start    time.Time
	now      time.Time
	queue    simQueue
	vms      []*simVM
	accounts []*simAccount
	byKey    map[Key]*simAccount
	// waiting has the accounts of the requests that are not decided.
	waiting map[RequestID]*simAccount
	// loss is the share of messages that are lost, and slow the additional delay of some.
	loss float64
	// cut reports whether two VMs do not hear each other, although others hear both.
	cut      func(a, b *simVM) bool
	slow     time.Duration
	messages int
	lastID   RequestID
}

type simVM struct {
	vm     daisyvm.VM
	shard  *Shard
	outbox *Outbox
	down   bool
	frozen time.Time
	group  int
	seen   map[daisyvm.Name]bool
}

type simAccount struct {
	key   Key
	quota daisyaccount.Quota
	// rate is the demand, and on the VMs of a request.
	rate func(at time.Duration) float64
	on   func(at time.Duration) []int

	sent                             []time.Time
	arrived, refused, waited         int
	waitTime                         time.Duration
	waiting                          map[RequestID]time.Time
	countFrom, countUntil, boundFrom time.Duration
}

type simItem struct {
	at  time.Time
	seq int
	run func()
}

type simQueue struct {
	items []simItem
	seq   int
}

func (q *simQueue) Len() int { return len(q.items) }
func (q *simQueue) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.seq < b.seq
}
func (q *simQueue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }
func (q *simQueue) Push(x any)    { q.items = append(q.items, x.(simItem)) }
func (q *simQueue) Pop() any {
	x := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return x
}

func newSim(seed uint64, vms int) *simTest {
	start := time.Unix(1000, 0)
	s := &simTest{random: rand.New(rand.NewPCG(seed, 1)), start: start, now: start,
		byKey: make(map[Key]*simAccount), waiting: make(map[RequestID]*simAccount)}
	for i := range vms {
		s.vms = append(s.vms, &simVM{vm: daisyvm.VM{Name: daisyvm.Name(fmt.Sprintf("vm-%d", i)), Incarnation: 1}})
	}
	for i, v := range s.vms {
		s.startVM(v)
		s.at(time.Duration(s.random.Int64N(int64(TickInterval))), func() { s.tick(s.vms[i]) })
	}
	return s
}

func (s *simTest) startVM(v *simVM) {
	v.vm.Incarnation += 1 << 20
	v.shard = NewShard(Options{Self: v.vm, OthersExist: len(s.vms) > 1, Random: s.random, Now: s.now})
	v.outbox, v.seen, v.down = NewOutbox(), map[daisyvm.Name]bool{v.vm.Name: true}, false
	s.setQuotas(v)
	for _, o := range s.vms {
		if !o.down && o.group == v.group {
			s.changeView(v, o.vm.Name, true)
			if o.seen != nil {
				s.changeView(o, v.vm.Name, true)
			}
		}
	}
}

func (s *simTest) setQuotas(v *simVM) {
	quotas := make(map[Key]daisyaccount.Quota)
	for _, a := range s.accounts {
		quotas[a.key] = a.quota
	}
	s.handle(v, QuotasChanged{Quotas: quotas})
}

func (s *simTest) add(a *simAccount) *simAccount {
	a.key = Key{Fleet: "f", Account: daisyaccount.Name(fmt.Sprintf("a-%d", len(s.accounts)))}
	a.waiting = make(map[RequestID]time.Time)
	if a.on == nil {
		a.on = func(time.Duration) []int { return nil }
	}
	s.accounts = append(s.accounts, a)
	s.byKey[a.key] = a
	for _, v := range s.vms {
		s.setQuotas(v)
	}
	s.arrivals(a)
	return a
}

func (s *simTest) at(after time.Duration, run func()) {
	s.queue.seq++
	heap.Push(&s.queue, simItem{at: s.now.Add(after), seq: s.queue.seq, run: run})
}

func (s *simTest) run(until time.Duration) {
	end := s.start.Add(until)
	for s.queue.Len() > 0 && !s.queue.items[0].at.After(end) {
		item := heap.Pop(&s.queue).(simItem)
		s.now = item.at
		item.run()
	}
	s.now = end
}

func (s *simTest) arrivals(a *simAccount) {
	const step = 10 * time.Millisecond
	s.at(step, func() {
		at := s.now.Sub(s.start)
		for mean := a.rate(at) * step.Seconds(); ; {
			if mean -= s.random.ExpFloat64(); mean < 0 {
				break
			}
			s.at(time.Duration(s.random.Int64N(int64(step))), func() { s.arrive(a) })
		}
		s.arrivals(a)
	})
}

func (s *simTest) arrive(a *simAccount) {
	at := s.now.Sub(s.start)
	on := a.on(at)
	i := s.random.IntN(len(s.vms))
	if len(on) > 0 {
		i = on[s.random.IntN(len(on))]
	}
	v := s.vms[i]
	if v.down || s.now.Before(v.frozen) {
		return // Callers use other VMs soon.
	}
	s.lastID++
	id := s.lastID
	if at >= a.countFrom && (a.countUntil == 0 || at < a.countUntil) {
		a.arrived++
	}
	a.waiting[id] = s.now
	s.waiting[id] = a
	s.handle(v, Arrived{ID: id, Account: a.key, Quota: a.quota})
}

func (s *simTest) tick(v *simVM) {
	s.deliver(v, func() {
		s.handle(v, TimePassed{})
		all := v.outbox.TakeAll()
		for _, to := range slices.Sorted(maps.Keys(all)) {
			s.sendRequests(v, to, all[to])
		}
	})
	s.at(TickInterval, func() { s.tick(v) })
}

// deliver runs something on a VM, after its freeze if it is frozen.
func (s *simTest) deliver(v *simVM, run func()) {
	switch {
	case v.down:
	case s.now.Before(v.frozen):
		s.at(v.frozen.Sub(s.now), func() { s.deliver(v, run) })
	default:
		run()
	}
}

func (s *simTest) find(name daisyvm.Name) *simVM {
	return s.vms[slices.IndexFunc(s.vms, func(v *simVM) bool { return v.vm.Name == name })]
}

func (s *simTest) connected(a, b *simVM) bool {
	return a.group == b.group && (s.cut == nil || !s.cut(a, b) && !s.cut(b, a))
}

// message delivers a message, if both VMs are connected when it is sent.
func (s *simTest) message(from, to *simVM, receive func()) {
	s.messages++
	if !s.connected(from, to) || s.random.Float64() < s.loss {
		return
	}
	delay := 100*time.Microsecond + time.Duration(s.random.Int64N(int64(4*time.Millisecond)))
	if s.slow > 0 && s.random.Float64() < 0.05 {
		delay += time.Duration(s.random.Int64N(int64(s.slow)))
	}
	incarnation := to.vm.Incarnation
	s.at(delay, func() {
		if to.vm.Incarnation == incarnation {
			s.deliver(to, receive)
		}
	})
}

func (s *simTest) sendRequests(from *simVM, to daisyvm.Name, requests []Request) {
	v := s.find(to)
	s.message(from, v, func() {
		// The grants of one message are sent in one.
		var grants []SendGrant
		for _, r := range requests {
			grants = append(grants, s.handle(v, RequestReceived{From: from.vm.Name, Request: r})...)
		}
		if len(grants) > 0 {
			s.message(v, from, func() {
				for _, g := range grants {
					s.handle(from, GrantReceived{From: v.vm.Name, Grant: g.Grant})
				}
			})
		}
	})
}

// handle carries out the decisions on an event and returns the grants to send.
func (s *simTest) handle(v *simVM, event Event) []SendGrant {
	var grants []SendGrant
	for _, d := range slices.Clone(v.shard.Handle(s.now, event)) {
		switch d := d.(type) {
		case Admit:
			a := s.byKey[d.Token.Account]
			s.finish(a, d.ID)
			a.sent = append(a.sent, s.now)
			s.handle(v, TokenSent{Token: d.Token})
		case Refuse:
			s.refuse(s.waiting[d.ID], d.ID)
		case Wait:
			account := s.waiting[d.ID].key
			s.at(d.Until.Sub(s.now), func() { s.deliver(v, func() { s.handle(v, WaitPassed{ID: d.ID, Account: account}) }) })
		case SendRequest:
			if requests := v.outbox.Add(d); requests != nil {
				s.sendRequests(v, d.To, requests)
			}
		case SendGrant:
			grants = append(grants, d)
		case LimitChanged:
		}
	}
	return grants
}

func (s *simTest) finish(a *simAccount, id RequestID) {
	if wait := s.now.Sub(a.waiting[id]); wait > 0 {
		a.waited++
		a.waitTime += wait
	}
	delete(a.waiting, id)
	delete(s.waiting, id)
}

func (s *simTest) refuse(a *simAccount, id RequestID) {
	at := a.waiting[id].Sub(s.start)
	s.finish(a, id)
	if at >= a.countFrom && (a.countUntil == 0 || at < a.countUntil) {
		a.refused++
	}
}

// changeView tells a VM that another one is in its view, or no longer.
func (s *simTest) changeView(v *simVM, name daisyvm.Name, in bool) {
	if v.seen[name] == in && len(v.seen) > 1 {
		return
	}
	delete(v.seen, name)
	if in {
		v.seen[name] = true
	}
	var vms []daisyvm.VM
	for _, o := range s.vms {
		if v.seen[o.vm.Name] {
			vms = append(vms, o.vm)
		}
	}
	s.handle(v, PeersChanged{VMs: vms})
}

// updateViews lets each VM notice, later, which others it is connected to.
func (s *simTest) updateViews() {
	for _, v := range s.vms {
		for _, o := range s.vms {
			connected := func() bool { return !o.down && s.connected(v, o) && !s.now.Before(o.frozen) }
			delay := 1750*time.Millisecond + time.Duration(s.random.Int64N(int64(500*time.Millisecond)))
			if o.down || connected() {
				delay = time.Duration(s.random.Int64N(int64(300 * time.Millisecond)))
			}
			if o != v {
				s.at(delay, func() { s.deliver(v, func() { s.changeView(v, o.vm.Name, connected()) }) })
			}
		}
	}
}

func (s *simTest) kill(vms ...int) {
	for _, i := range vms {
		s.vms[i].down = true
	}
	s.updateViews()
}

func (s *simTest) restart(i int) {
	s.startVM(s.vms[i])
	s.updateViews()
}

func (s *simTest) freeze(i int, d time.Duration) {
	s.vms[i].frozen = s.now.Add(d)
	s.updateViews()
	s.at(d, s.updateViews)
}

func (s *simTest) partition(group func(i int) int) {
	for i, v := range s.vms {
		v.group = group(i)
	}
	s.updateViews()
}

// coordinator returns the number of the VM that coordinates an account.
func (s *simTest) coordinator(a *simAccount) int {
	name := s.vms[0].shard.view.roles(a.key).coordinator
	return slices.IndexFunc(s.vms, func(v *simVM) bool { return v.vm.Name == name })
}

// worst returns the highest share of the allowed requests that an account had in a window.
func (s *simTest) worst(a *simAccount) float64 {
	worst, from := 0, 0
	for i, at := range a.sent {
		for at.Sub(a.sent[from]) >= DefaultBounds.Window {
			from++
		}
		if a.sent[from].Sub(s.start) >= a.boundFrom {
			worst = max(worst, i-from+1)
		}
	}
	return float64(worst) / math.Floor(DefaultBounds.Limit(a.quota))
}
