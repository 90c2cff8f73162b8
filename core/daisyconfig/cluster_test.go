package daisyconfig_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"daisyyoke/core/daisyconfig"
)

// clusterFault is something that goes wrong for a while.
type clusterFault int

const (
	storeDown clusterFault = iota
	storeLags
	storeSlow
	replyLost
	messagesLost
	messagesLate
	messagesDoubled
	halvesCutOff
	vmRestarts
	vmPaused
	faultKinds
)

const (
	clusterVMs        = 7
	heartbeatInterval = 500 * time.Millisecond
	faultsFrom        = 2 * time.Second
	faultsUntil       = 10 * time.Second
	clusterEnd        = 30 * time.Second
)

// cluster is a handful of VMs, their links and a platform in virtual time.
type cluster struct {
	t       *testing.T
	random  *rand.Rand
	start   time.Time
	now     time.Time
	vms     []*clusterVM
	queue   arrivals
	count   int
	heads   []storedHead
	objects map[daisyconfig.Hash]*daisyconfig.Snapshot
	faults  map[clusterFault]bool
	// atHead is when every VM had the newest revision in force; zero while one has not.
	atHead time.Time
	reads  int
	// fetches counts the reads of snapshots, which are among the reads.
	fetches int
}

type clusterVM struct {
	name        daisyconfig.Peer
	index       int
	incarnation int
	follower    *daisyconfig.Follower
	pausedTo    time.Time
	wake        time.Time
}

type storedHead struct {
	head daisyconfig.Head
	at   time.Time
}

type arrival struct {
	at          time.Time
	order       int
	vm          *clusterVM
	incarnation int
	// event is nil for a task.
	event daisyconfig.Event
	task  func()
}

type arrivals []arrival

func (a arrivals) Len() int      { return len(a) }
func (a arrivals) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)   { *a = append(*a, x.(arrival)) }
func (a arrivals) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].order < a[j].order
}

func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func newCluster(t *testing.T, seed uint64, vms int, faults ...clusterFault) *cluster {
	c := &cluster{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 0)),
		start:   time.Unix(1_800_000_000, 0),
		objects: make(map[daisyconfig.Hash]*daisyconfig.Snapshot),
		faults:  make(map[clusterFault]bool),
	}
	c.now = c.start
	for i := range vms {
		v := &clusterVM{name: daisyconfig.Peer(fmt.Sprintf("vm-%d", i+1)), index: i}
		c.vms = append(c.vms, v)
		c.restart(v)
		c.every(heartbeatInterval, func() { c.announce(v) })
	}
	for _, f := range faults {
		c.at(faultsFrom, func() { c.faults[f] = true })
		c.at(faultsUntil, func() { c.faults[f] = false })
	}
	return c
}

func (c *cluster) at(offset time.Duration, task func()) {
	c.push(arrival{at: c.start.Add(offset), task: task})
}

func (c *cluster) every(interval time.Duration, task func()) {
	first := time.Duration(c.random.Int64N(int64(interval)))
	var run func()
	run = func() {
		task()
		c.push(arrival{at: c.now.Add(interval), task: run})
	}
	c.at(first, run)
}

func (c *cluster) push(a arrival) {
	c.count++
	a.order = c.count
	heap.Push(&c.queue, a)
}

func (c *cluster) tell(v *clusterVM, delay time.Duration, event daisyconfig.Event) {
	c.push(arrival{at: c.now.Add(delay), vm: v, incarnation: v.incarnation, event: event})
}

func (c *cluster) restart(v *clusterVM) {
	v.incarnation++
	v.wake = time.Time{}
	v.follower = daisyconfig.NewFollower(c.now, rand.New(rand.NewPCG(c.random.Uint64(), 1)))
	c.tell(v, 0, daisyconfig.TimePassed{})
}

func (c *cluster) run(until time.Duration) {
	end := c.start.Add(until)
	for len(c.queue) > 0 && c.queue[0].at.Before(end) {
		a := heap.Pop(&c.queue).(arrival)
		c.now = a.at
		switch {
		case a.task != nil:
			a.task()
		case a.incarnation != a.vm.incarnation:
		case c.now.Before(a.vm.pausedTo):
			a.at = a.vm.pausedTo
			c.push(a)
		default:
			c.handle(a.vm, a.event)
		}
	}
	c.now = end
}

func (c *cluster) handle(v *clusterVM, event daisyconfig.Event) {
	before := v.follower.InForce()
	for _, d := range v.follower.Handle(c.now, event) {
		c.carryOut(v, d)
	}
	after := v.follower.InForce()
	if before != nil && after.Revision < before.Revision {
		c.t.Fatalf("%s went from revision %d to %d", v.name, before.Revision, after.Revision)
	}
	if after != nil && after != c.objects[after.Hash] {
		c.t.Fatalf("%s has revision %d in force, which nobody confirmed", v.name, after.Revision)
	}
	if wake := v.follower.NextWake(); !wake.Equal(v.wake) {
		v.wake = wake
		c.tell(v, wake.Sub(c.now), daisyconfig.TimePassed{})
	}
	if c.atHead.IsZero() && c.everywhere() {
		c.atHead = c.now
	}
}

func (c *cluster) everywhere() bool {
	for _, v := range c.vms {
		if s := v.follower.InForce(); s == nil || s.Revision != daisyconfig.Revision(len(c.heads)) {
			return false
		}
	}
	return true
}

func (c *cluster) carryOut(v *clusterVM, decision daisyconfig.Decision) {
	switch d := decision.(type) {
	case daisyconfig.ReadHead:
		c.reads++
		c.tell(v, c.storeDelay(), c.readHead())
	case daisyconfig.ReadSnapshot:
		c.reads++
		c.fetches++
		var event daisyconfig.Event = daisyconfig.SnapshotFailed(d)
		if s := c.objects[d.Hash]; s != nil && !c.faults[storeDown] {
			event = daisyconfig.SnapshotRead{Snapshot: s}
		}
		c.tell(v, c.storeDelay(), event)
	case daisyconfig.AskPeer:
		c.send(v, d.To, daisyconfig.SnapshotAsked{From: v.name})
	case daisyconfig.GivePeer:
		c.send(v, d.To, daisyconfig.SnapshotOffered{From: v.name, Snapshot: d.Snapshot})
	case daisyconfig.PutInForce:
	case daisyconfig.ReportConflict:
		c.t.Errorf("conflict at revision %d", d.Revision)
	}
}

func (c *cluster) storeDelay() time.Duration {
	if c.faults[storeSlow] {
		return time.Duration(c.random.Int64N(int64(5 * time.Second)))
	}
	return time.Duration(c.random.Int64N(int64(10 * time.Millisecond)))
}

func (c *cluster) readHead() daisyconfig.Event {
	if c.faults[storeDown] {
		return daisyconfig.HeadFailed{}
	}
	seen := c.now
	if c.faults[storeLags] {
		seen = seen.Add(-time.Duration(c.random.Int64N(int64(10 * time.Second))))
	}
	for i := len(c.heads) - 1; i >= 0; i-- {
		if !c.heads[i].at.After(seen) {
			return daisyconfig.HeadRead{Head: c.heads[i].head}
		}
	}
	return daisyconfig.HeadMissing{}
}

func (c *cluster) announce(v *clusterVM) {
	if c.now.Before(v.pausedTo) {
		return
	}
	var revision daisyconfig.Revision
	var hash daisyconfig.Hash
	if s := v.follower.InForce(); s != nil {
		revision, hash = s.Revision, s.Hash
	}
	for _, o := range c.vms {
		if o != v {
			c.send(v, o.name, daisyconfig.HeadAnnounced{From: v.name, Revision: revision, Hash: hash})
		}
	}
}

func (c *cluster) send(from *clusterVM, to daisyconfig.Peer, event daisyconfig.Event) {
	copies := 1
	if c.faults[messagesDoubled] {
		copies = 2
	}
	for _, v := range c.vms {
		if v.name != to || c.faults[halvesCutOff] && v.index%2 != from.index%2 {
			continue
		}
		for range copies {
			if c.faults[messagesLost] && c.random.IntN(2) == 0 {
				continue
			}
			delay := time.Duration(c.random.Int64N(int64(2 * time.Millisecond)))
			if c.faults[messagesLate] {
				delay = time.Duration(c.random.Int64N(int64(3 * time.Second)))
			}
			c.tell(v, delay, event)
		}
	}
}

// confirm makes the next revision on a VM, if the store takes it.
func (c *cluster) confirm(v *clusterVM) bool {
	if c.faults[storeDown] || c.now.Before(v.pausedTo) {
		return false
	}
	revision := daisyconfig.Revision(len(c.heads) + 1)
	s := &daisyconfig.Snapshot{Revision: revision, Hash: daisyconfig.Hash(fmt.Sprintf("hash-%d", revision))}
	c.objects[s.Hash] = s
	c.heads = append(c.heads, storedHead{head: s.Head(), at: c.now})
	c.atHead = time.Time{}
	if !c.faults[replyLost] {
		c.tell(v, 0, daisyconfig.SnapshotConfirmed{Snapshot: s})
	}
	return true
}

func (c *cluster) trouble() {
	v := c.vms[c.random.IntN(len(c.vms))]
	if c.faults[vmRestarts] {
		c.restart(v)
	}
	if c.faults[vmPaused] {
		v.pausedTo = c.now.Add(time.Duration(c.random.Int64N(int64(5 * time.Second))))
	}
}

// seeds gives the number of seeds to run: a tenth in a short run.
func seeds(all uint64) uint64 {
	if testing.Short() {
		return all / 10
	}
	return all
}

func TestRevisionNeverGoesDown(t *testing.T) {
	for first := range faultKinds {
		t.Run(fmt.Sprintf("fault %d", first), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(100) {
				runFaults(t, seed, first, clusterFault(seed)%faultKinds)
			}
		})
	}
}

// runFaults confirms a revision a second through two faults at a time and checks
// that the last one is in force everywhere some time after.
func runFaults(t *testing.T, seed uint64, first, second clusterFault) {
	t.Helper()
	c := newCluster(t, seed*uint64(faultKinds)+uint64(first), clusterVMs, first, second)
	c.at(time.Second, func() { c.confirm(c.vms[0]) })
	c.every(time.Second, func() {
		if c.now.Before(c.start.Add(faultsUntil)) && len(c.heads) > 0 {
			c.confirm(c.vms[c.random.IntN(clusterVMs)])
		}
		c.trouble()
	})
	c.run(clusterEnd)
	if !c.everywhere() {
		t.Errorf("seed %d, faults %d and %d: revision %d is not in force everywhere", seed, first, second, len(c.heads))
	}
}
