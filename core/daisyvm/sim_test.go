package daisyvm_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"daisyyoke/core/daisyvm"
)

// happening is something that takes place in a simulated network.
type happening struct {
	at    time.Time
	order int
	run   func()
}

type agenda []happening

func (a agenda) Len() int      { return len(a) }
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].order < a[j].order
}
func (a *agenda) Push(x any) { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simVM is a VM in a simulated network.
type simVM struct {
	vm      daisyvm.VM
	members *daisyvm.Members
	status  daisyvm.Status
	up      bool
	paused  bool
	// waiting are the events that arrived during a pause.
	waiting []daisyvm.MemberEvent
	// linked has the incarnation of each linked VM.
	linked map[*simVM]daisyvm.Incarnation
	wanted map[daisyvm.Name]bool
	// gone is when the VM last crashed or was paused, back when that ended.
	gone, back time.Time
	// deaths counts the times that it saw another VM die.
	deaths map[daisyvm.Name]int
}

// network is a set of VMs on links with delay, loss and cuts, in virtual time.
type network struct {
	now      time.Time
	agenda   agenda
	order    int
	random   *rand.Rand
	vms      []*simVM
	cut      func(a, b *simVM) bool
	loss     float64
	messages int
	// introduced counts the descriptions of VMs in heartbeats.
	introduced int
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

func (n *network) later(d time.Duration, run func()) {
	n.order++
	heap.Push(&n.agenda, happening{at: n.now.Add(d), order: n.order, run: run})
}

func (n *network) runUntil(end time.Time) {
	for len(n.agenda) > 0 && !n.agenda[0].at.After(end) {
		h := heap.Pop(&n.agenda).(happening)
		n.now = h.at
		h.run()
	}
	n.now = end
}

// boot starts a VM that knows one other by its address.
func (n *network) boot(v *simVM) {
	v.up, v.paused, v.waiting, v.back = true, false, nil, n.now
	v.status = daisyvm.Status{Revision: 1, Ready: true, Spare: 10}
	v.members = daisyvm.NewMembers(v.vm, n.now, n.random)
	v.linked = make(map[*simVM]daisyvm.Incarnation)
	v.wanted = make(map[daisyvm.Name]bool)
	v.deaths = make(map[daisyvm.Name]int)
	n.handle(v, daisyvm.SelfChanged{Status: v.status})
	incarnation := v.vm.Incarnation
	alive := func() bool { return v.up && v.vm.Incarnation == incarnation }
	n.later(time.Duration(n.random.IntN(250))*time.Millisecond, func() { n.tick(v, alive) })
	n.later(50*time.Millisecond, func() { n.dial(v, alive) })
}

func (n *network) tick(v *simVM, alive func() bool) {
	if !alive() {
		return
	}
	if !v.paused {
		n.handle(v, daisyvm.TimePassed{})
	}
	n.later(daisyvm.BeatInterval, func() { n.tick(v, alive) })
}

// dial links a VM to those it wants, and to a seed while it is alone.
func (n *network) dial(v *simVM, alive func() bool) {
	if !alive() {
		return
	}
	for _, o := range n.vms {
		if v.wanted[o.vm.Name] || len(v.linked) == 0 {
			n.link(v, o)
		}
	}
	n.later(500*time.Millisecond, func() { n.dial(v, alive) })
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

// deliver takes 1 to 9 ms, in order, unless it is lost.
func (n *network) deliver(from, to *simVM, event daisyvm.MemberEvent) {
	n.messages++
	if n.random.Float64() < n.loss {
		return
	}
	sender, receiver := from.vm.Incarnation, to.vm.Incarnation
	n.later(time.Millisecond+time.Duration(n.random.IntN(8_000))*time.Microsecond, func() {
		if !n.reaches(from, to) || from.vm.Incarnation != sender || to.vm.Incarnation != receiver {
			return
		}
		if to.paused {
			to.waiting = append(to.waiting, event)
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
			v.wanted[d.VM.Name] = true
		case daisyvm.Forget:
			delete(v.wanted, d.Name)
		case daisyvm.StateChanged:
			if d.Member.State == daisyvm.Dead {
				v.deaths[d.Member.VM.Name]++
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
	n.introduced += len(d.Introduced)
	n.deliver(from, to, daisyvm.HeartbeatArrived{
		VM: from.vm, Sequence: d.Sequence, Status: d.Status, Sent: n.now,
		Echo: d.Echo, EchoHeld: d.EchoHeld, Heard: d.Heard, Introduced: d.Introduced,
	})
}

func (n *network) crash(v *simVM) {
	v.up = false
	v.gone = n.now
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
	v.gone = n.now
}

func (n *network) resume(v *simVM) {
	v.paused = false
	v.back = n.now
	waiting := v.waiting
	v.waiting = nil
	if !v.up {
		return
	}
	for _, e := range waiting {
		n.handle(v, e)
	}
}

// answers gives the callers' addresses that a VM hands out.
func (n *network) answers(v *simVM) map[*simVM]bool {
	answer := daisyvm.NewAddresses(n.random, daisyvm.DefaultSparePower).Answer(v.members.Self(), v.members.All())
	named := make(map[*simVM]bool)
	for _, a := range answer.VMs {
		for _, o := range n.vms {
			if o.vm.Callers == a.Callers {
				named[o] = true
			}
		}
	}
	return named
}
