package daisyconfig_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"daisyyoke/core/daisyconfig"
)

// clusterFault is a temporary fault of the platform, the network or a VM.
type clusterFault int

// platformDown and platformSlow affect both the table and the object store, tableStale
// only the table.
const (
	platformDown clusterFault = iota
	tableStale
	platformSlow
	confirmReplyLost
	messagesLost
	messagesDelayed
	messagesDuplicated
	networkPartitioned
	vmRestarts
	vmPaused
	faultKindCount
)

const (
	clusterVMs        = 7
	heartbeatInterval = 500 * time.Millisecond
	faultsFrom        = 2 * time.Second
	faultsUntil       = 10 * time.Second
	clusterEnd        = 30 * time.Second
)

// cluster simulates a few VMs, the network between them and a platform in virtual time.
type cluster struct {
	t          *testing.T
	random     *rand.Rand
	start      time.Time
	now        time.Time
	vms        []*clusterVM
	queue      eventQueue
	eventCount int
	heads      []tableEntry
	objects    map[daisyconfig.Hash]*daisyconfig.Snapshot
	faults     map[clusterFault]bool
	// convergedAt is when the newest revision came into force on every VM; zero
	// until then.
	convergedAt   time.Time
	platformReads int
	// snapshotReads counts the reads of snapshots, which platformReads includes.
	snapshotReads int
}

type clusterVM struct {
	name        daisyconfig.Peer
	index       int
	incarnation int
	follower    *daisyconfig.Follower
	pausedUntil time.Time
	wake        time.Time
}

// tableEntry is a head and the time at which it was written to the table.
type tableEntry struct {
	head daisyconfig.Head
	at   time.Time
}

// queuedEvent is an event for a VM, or a task, that is due at a time.
type queuedEvent struct {
	at          time.Time
	order       int
	vm          *clusterVM
	incarnation int
	// event is nil if task is set.
	event daisyconfig.Event
	task  func()
}

// eventQueue orders queued events by time, then by the order in which they were added.
type eventQueue []queuedEvent

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(queuedEvent)) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
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
		c.scheduleEvery(heartbeatInterval, func() { c.announce(v) })
	}
	for _, f := range faults {
		c.scheduleAt(faultsFrom, func() { c.faults[f] = true })
		c.scheduleAt(faultsUntil, func() { c.faults[f] = false })
	}
	return c
}

func (c *cluster) scheduleAt(offset time.Duration, task func()) {
	c.push(queuedEvent{at: c.start.Add(offset), task: task})
}

func (c *cluster) scheduleEvery(interval time.Duration, task func()) {
	first := time.Duration(c.random.Int64N(int64(interval)))
	var run func()
	run = func() {
		task()
		c.push(queuedEvent{at: c.now.Add(interval), task: run})
	}
	c.scheduleAt(first, run)
}

func (c *cluster) push(e queuedEvent) {
	c.eventCount++
	e.order = c.eventCount
	heap.Push(&c.queue, e)
}

func (c *cluster) deliver(v *clusterVM, delay time.Duration, event daisyconfig.Event) {
	c.push(queuedEvent{at: c.now.Add(delay), vm: v, incarnation: v.incarnation, event: event})
}

func (c *cluster) restart(v *clusterVM) {
	v.incarnation++
	v.wake = time.Time{}
	v.follower = daisyconfig.NewFollower(c.now, rand.New(rand.NewPCG(c.random.Uint64(), 1)))
	c.deliver(v, 0, daisyconfig.TimePassed{})
}

func (c *cluster) run(until time.Duration) {
	end := c.start.Add(until)
	for len(c.queue) > 0 && c.queue[0].at.Before(end) {
		e := heap.Pop(&c.queue).(queuedEvent)
		c.now = e.at
		switch {
		case e.task != nil:
			e.task()
		case e.incarnation != e.vm.incarnation:
		case c.now.Before(e.vm.pausedUntil):
			e.at = e.vm.pausedUntil
			c.push(e)
		default:
			c.handle(e.vm, e.event)
		}
	}
	c.now = end
}

func (c *cluster) handle(v *clusterVM, event daisyconfig.Event) {
	before := v.follower.InForce()
	for _, d := range v.follower.Handle(c.now, event) {
		c.execute(v, d)
	}
	after := v.follower.InForce()
	if before != nil && after.Revision < before.Revision {
		c.t.Fatalf("%s went from revision %d to %d", v.name, before.Revision, after.Revision)
	}
	if after != nil && after != c.objects[after.Hash] {
		c.t.Fatalf("%s has revision %d in force, which was never confirmed", v.name, after.Revision)
	}
	if wake := v.follower.NextWake(); !wake.Equal(v.wake) {
		v.wake = wake
		c.deliver(v, wake.Sub(c.now), daisyconfig.TimePassed{})
	}
	if c.convergedAt.IsZero() && c.converged() {
		c.convergedAt = c.now
	}
}

func (c *cluster) converged() bool {
	for _, v := range c.vms {
		if s := v.follower.InForce(); s == nil || s.Revision != daisyconfig.Revision(len(c.heads)) {
			return false
		}
	}
	return true
}

func (c *cluster) execute(v *clusterVM, decision daisyconfig.Decision) {
	switch d := decision.(type) {
	case daisyconfig.ReadHead:
		c.platformReads++
		c.deliver(v, c.platformDelay(), c.readHead())
	case daisyconfig.ReadSnapshot:
		c.platformReads++
		c.snapshotReads++
		var event daisyconfig.Event = daisyconfig.SnapshotReadFailed(d)
		if s := c.objects[d.Hash]; s != nil && !c.faults[platformDown] {
			event = daisyconfig.SnapshotRead{Snapshot: s}
		}
		c.deliver(v, c.platformDelay(), event)
	case daisyconfig.RequestSnapshot:
		c.send(v, d.To, daisyconfig.SnapshotRequested{From: v.name})
	case daisyconfig.SendSnapshot:
		c.send(v, d.To, daisyconfig.SnapshotReceived{From: v.name, Snapshot: d.Snapshot})
	case daisyconfig.PutInForce:
	case daisyconfig.ReportConflict:
		c.t.Errorf("conflict at revision %d", d.Revision)
	}
}

func (c *cluster) platformDelay() time.Duration {
	if c.faults[platformSlow] {
		return time.Duration(c.random.Int64N(int64(5 * time.Second)))
	}
	return time.Duration(c.random.Int64N(int64(10 * time.Millisecond)))
}

func (c *cluster) readHead() daisyconfig.Event {
	if c.faults[platformDown] {
		return daisyconfig.HeadReadFailed{}
	}
	readAsOf := c.now
	if c.faults[tableStale] {
		readAsOf = readAsOf.Add(-time.Duration(c.random.Int64N(int64(10 * time.Second))))
	}
	for i := len(c.heads) - 1; i >= 0; i-- {
		if !c.heads[i].at.After(readAsOf) {
			return daisyconfig.HeadRead{Head: c.heads[i].head}
		}
	}
	return daisyconfig.HeadMissing{}
}

func (c *cluster) announce(v *clusterVM) {
	if c.now.Before(v.pausedUntil) {
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
	if c.faults[messagesDuplicated] {
		copies = 2
	}
	for _, v := range c.vms {
		if v.name != to || c.faults[networkPartitioned] && v.index%2 != from.index%2 {
			continue
		}
		for range copies {
			if c.faults[messagesLost] && c.random.IntN(2) == 0 {
				continue
			}
			delay := time.Duration(c.random.Int64N(int64(2 * time.Millisecond)))
			if c.faults[messagesDelayed] {
				delay = time.Duration(c.random.Int64N(int64(3 * time.Second)))
			}
			c.deliver(v, delay, event)
		}
	}
}

// confirm confirms the next revision on a VM and reports whether the platform accepted it.
func (c *cluster) confirm(v *clusterVM) bool {
	if c.faults[platformDown] || c.now.Before(v.pausedUntil) {
		return false
	}
	revision := daisyconfig.Revision(len(c.heads) + 1)
	s := &daisyconfig.Snapshot{Revision: revision, Hash: daisyconfig.Hash(fmt.Sprintf("hash-%d", revision))}
	c.objects[s.Hash] = s
	c.heads = append(c.heads, tableEntry{head: s.Head(), at: c.now})
	c.convergedAt = time.Time{}
	if !c.faults[confirmReplyLost] {
		c.deliver(v, 0, daisyconfig.SnapshotConfirmed{Snapshot: s})
	}
	return true
}

func (c *cluster) injectVMFault() {
	v := c.vms[c.random.IntN(len(c.vms))]
	if c.faults[vmRestarts] {
		c.restart(v)
	}
	if c.faults[vmPaused] {
		v.pausedUntil = c.now.Add(time.Duration(c.random.Int64N(int64(5 * time.Second))))
	}
}

// seedCount returns the number of seeds to run, a tenth of all in short mode.
func seedCount(all uint64) uint64 {
	if testing.Short() {
		return all / 10
	}
	return all
}

func TestRevisionNeverGoesDown(t *testing.T) {
	for first := range faultKindCount {
		t.Run(fmt.Sprintf("fault %d", first), func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(100) {
				checkConvergence(t, seed, first, clusterFault(seed)%faultKindCount)
			}
		})
	}
}

// checkConvergence confirms a revision every second during two simultaneous faults
// and checks that the last one is in force on all VMs at the end of the run.
func checkConvergence(t *testing.T, seed uint64, first, second clusterFault) {
	t.Helper()
	c := newCluster(t, seed*uint64(faultKindCount)+uint64(first), clusterVMs, first, second)
	c.scheduleAt(time.Second, func() { c.confirm(c.vms[0]) })
	c.scheduleEvery(time.Second, func() {
		if c.now.Before(c.start.Add(faultsUntil)) && len(c.heads) > 0 {
			c.confirm(c.vms[c.random.IntN(clusterVMs)])
		}
		c.injectVMFault()
	})
	c.run(clusterEnd)
	if !c.converged() {
		t.Errorf("seed %d, faults %d and %d: revision %d is not in force on all VMs", seed, first, second, len(c.heads))
	}
}
