package daisyvm_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"daisyyoke/core/daisyvm"
)

// scheduledAction is an action due at a point in virtual time.
type scheduledAction struct {
	at       time.Time
	sequence int
	run      func()
}

type actionQueue []scheduledAction

func (a actionQueue) Len() int      { return len(a) }
func (a actionQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a actionQueue) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].sequence < a[j].sequence
}
func (a *actionQueue) Push(x any) { *a = append(*a, x.(scheduledAction)) }
func (a *actionQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simVM is a VM in a simulated network.
type simVM struct {
	vm      daisyvm.VM
	members *daisyvm.Membership
	status  daisyvm.Status
	up      bool
	paused  bool
	// buffered holds the events that arrived during a pause.
	buffered []daisyvm.MemberEvent
	// linked holds the incarnation of each linked VM.
	linked      map[*simVM]daisyvm.Incarnation
	dialTargets map[daisyvm.Name]bool
	// downSince is when the VM last crashed or was paused, upSince when that ended.
	downSince, upSince time.Time
	// deathsSeen counts how often this VM marked another one as dead.
	deathsSeen map[daisyvm.Name]int
}

// network simulates VMs on links with delay, loss and partitions, in virtual time.
type network struct {
	now       time.Time
	queue     actionQueue
	scheduled int
	random    *rand.Rand
	vms       []*simVM
	cut       func(a, b *simVM) bool
	loss      float64
	messages  int
	// descriptions counts the VM descriptions in heartbeats.
	descriptions int
}

func newNetwork(seed uint64, size int) *network {
	n := &network{now: start, random: rand.New(rand.NewPCG(seed, 1))}
	for i := range size {
		v := &simVM{vm: vmAt(daisyvm.Name(fmt.Sprintf("vm-%02d", i)), 1, uint16(i+1), string(rune('a'+i%3)))}
		n.vms = append(n.vms, v)
		n.boot(v)
	}
	return n
}

func (n *network) schedule(d time.Duration, run func()) {
	n.scheduled++
	heap.Push(&n.queue, scheduledAction{at: n.now.Add(d), sequence: n.scheduled, run: run})
}

func (n *network) runUntil(end time.Time) {
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		a := heap.Pop(&n.queue).(scheduledAction)
		n.now = a.at
		a.run()
	}
	n.now = end
}

// boot starts a VM that knows no other and dials the first one that it reaches.
func (n *network) boot(v *simVM) {
	v.up, v.paused, v.buffered, v.upSince = true, false, nil, n.now
	v.status = daisyvm.Status{Revision: 1, Ready: true, Spare: 10}
	v.members = daisyvm.NewMembership(v.vm, n.now, n.random)
	v.linked = make(map[*simVM]daisyvm.Incarnation)
	v.dialTargets = make(map[daisyvm.Name]bool)
	v.deathsSeen = make(map[daisyvm.Name]int)
	n.handle(v, daisyvm.SelfChanged{Status: v.status})
	incarnation := v.vm.Incarnation
	running := func() bool { return v.up && v.vm.Incarnation == incarnation }
	n.schedule(time.Duration(n.random.IntN(250))*time.Millisecond, func() { n.tick(v, running) })
	n.schedule(50*time.Millisecond, func() { n.dial(v, running) })
}

func (n *network) tick(v *simVM, running func() bool) {
	if !running() {
		return
	}
	if !v.paused {
		n.handle(v, daisyvm.TimePassed{})
	}
	n.schedule(daisyvm.HeartbeatInterval, func() { n.tick(v, running) })
}

// dial links a VM to its dial targets, and to the first reachable VM while it has no link.
func (n *network) dial(v *simVM, running func() bool) {
	if !running() {
		return
	}
	for _, o := range n.vms {
		if v.dialTargets[o.vm.Name] || len(v.linked) == 0 {
			n.link(v, o)
		}
	}
	n.schedule(500*time.Millisecond, func() { n.dial(v, running) })
}

func (n *network) link(a, b *simVM) {
	if a == b || !n.reaches(a, b) || a.paused || b.paused || a.linked[b] == b.vm.Incarnation {
		return
	}
	a.linked[b], b.linked[a] = b.vm.Incarnation, a.vm.Incarnation
	n.deliver(a, b, daisyvm.LinkOpened{VM: a.vm})
	n.deliver(b, a, daisyvm.LinkOpened{VM: b.vm})
}

func (n *network) reaches(a, b *simVM) bool { return a.up && b.up && (n.cut == nil || !n.cut(a, b)) }

// deliver hands over an event after 1 to 9 ms, unless it is lost.
func (n *network) deliver(from, to *simVM, event daisyvm.MemberEvent) {
	n.messages++
	if n.random.Float64() < n.loss {
		return
	}
	sender, receiver := from.vm.Incarnation, to.vm.Incarnation
	n.schedule(time.Millisecond+time.Duration(n.random.IntN(8_000))*time.Microsecond, func() {
		if !n.reaches(from, to) || from.vm.Incarnation != sender || to.vm.Incarnation != receiver {
			return
		}
		if to.paused {
			to.buffered = append(to.buffered, event)
			return
		}
		n.handle(to, event)
	})
}

func (n *network) handle(v *simVM, event daisyvm.MemberEvent) {
	for _, decision := range v.members.Handle(n.now, event) {
		switch d := decision.(type) {
		case daisyvm.SendHeartbeat:
			n.send(v, d)
		case daisyvm.Connect:
			v.dialTargets[d.VM.Name] = true
		case daisyvm.Forget:
			delete(v.dialTargets, d.Name)
		case daisyvm.StateChanged:
			if d.Member.State == daisyvm.Dead {
				v.deathsSeen[d.Member.VM.Name]++
			}
		case daisyvm.PeersChanged, daisyvm.Superseded:
		}
	}
}

func (n *network) send(from *simVM, d daisyvm.SendHeartbeat) {
	i := slices.IndexFunc(n.vms, func(v *simVM) bool { return v.vm.Name == d.To })
	to := n.vms[i]
	if from.linked[to] != to.vm.Incarnation || !to.up {
		return
	}
	n.descriptions += len(d.Introduced)
	n.deliver(from, to, daisyvm.HeartbeatArrived{
		VM: from.vm, Sequence: d.Sequence, Status: d.Status, Sent: n.now,
		Echo: d.Echo, EchoHeld: d.EchoHeld, Heard: d.Heard, Introduced: d.Introduced,
	})
}

func (n *network) crash(v *simVM) {
	v.up = false
	v.downSince = n.now
	for _, o := range n.vms {
		delete(o.linked, v)
	}
}

func (n *network) restart(v *simVM) {
	v.vm.Incarnation++
	n.boot(v)
}

func (n *network) pause(v *simVM) {
	v.paused = true
	v.downSince = n.now
}

func (n *network) resume(v *simVM) {
	v.paused = false
	v.upSince = n.now
	buffered := v.buffered
	v.buffered = nil
	if !v.up {
		return
	}
	for _, e := range buffered {
		n.handle(v, e)
	}
}

// answeredVMs returns the VMs that v names to callers.
func (n *network) answeredVMs(v *simVM) map[*simVM]bool {
	answer := daisyvm.NewAddressSelector(n.random, daisyvm.DefaultSpareExponent).Answer(v.members.Self(), v.members.All())
	answered := make(map[*simVM]bool)
	for _, a := range answer.VMs {
		for _, o := range n.vms {
			if o.vm.Callers == a.Callers {
				answered[o] = true
			}
		}
	}
	return answered
}
