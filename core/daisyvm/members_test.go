package daisyvm_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyvm"
)

var start = time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC)

func vmAt(name daisyvm.Name, incarnation daisyvm.Incarnation, port uint16, zone string) daisyvm.VM {
	address := netip.AddrFrom4([4]byte{10, 0, 0, 1})
	return daisyvm.VM{
		Name:        name,
		Incarnation: incarnation,
		Zone:        daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: zone},
		Callers:     netip.AddrPortFrom(address, port),
		Peers:       netip.AddrPortFrom(address, port+10_000),
	}
}

// watcher drives the Membership of one VM in virtual time.
type watcher struct {
	members *daisyvm.Membership
	now     time.Time
}

func newWatcher() *watcher {
	return &watcher{members: daisyvm.NewMembership(vmAt("vm-1", 1, 1, "a"), start, rand.New(rand.NewPCG(1, 1))), now: start}
}

// advance moves the time by d, with a heartbeat from each given VM in every round.
func (w *watcher) advance(d time.Duration, heartbeats ...daisyvm.HeartbeatArrived) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(daisyvm.HeartbeatInterval)
		for i := range heartbeats {
			heartbeats[i].Sequence++
			w.members.Handle(w.now, heartbeats[i])
		}
		w.members.Handle(w.now, daisyvm.TimePassed{})
	}
}

func (w *watcher) state(t *testing.T, name daisyvm.Name) daisyvm.State {
	t.Helper()
	for _, m := range w.members.All() {
		if m.VM.Name == name {
			return m.State
		}
	}
	t.Fatalf("%s is not known", name)
	return 0
}

func TestSilentVMIsSuspectedThenDead(t *testing.T) {
	w := newWatcher()
	w.members.Handle(w.now, daisyvm.HeartbeatArrived{VM: vmAt("vm-2", 1, 2, "a"), Sequence: 1})
	for _, c := range []struct {
		after time.Duration
		state daisyvm.State
	}{{daisyvm.SuspectAfter - daisyvm.HeartbeatInterval, daisyvm.Live}, {daisyvm.HeartbeatInterval, daisyvm.Suspect}, {daisyvm.DeadAfter - daisyvm.SuspectAfter, daisyvm.Dead}} {
		w.advance(c.after)
		assert.Equal(t, w.state(t, "vm-2"), c.state)
	}
}

func TestStateFollowsEvidence(t *testing.T) {
	subject := vmAt("vm-2", 1, 2, "a")
	peer := daisyvm.HeartbeatArrived{VM: vmAt("vm-3", 1, 3, "a"), Sequence: 10}
	listed := daisyvm.ListedVM{Name: "vm-2", Peers: subject.Peers}
	leaving := daisyvm.ListedVM{Name: "vm-2", Peers: subject.Peers, Leaving: true}
	cases := []struct {
		name  string
		after time.Duration
		event daisyvm.MemberEvent
		state daisyvm.State
	}{
		{name: "list does not make a VM dead while it is heard", event: daisyvm.PlatformListed{VMs: []daisyvm.ListedVM{leaving}}, state: daisyvm.Live},
		{name: "list confirms that a suspected VM is dead", after: daisyvm.SuspectAfter, event: daisyvm.PlatformListed{VMs: []daisyvm.ListedVM{leaving}}, state: daisyvm.Dead},
		{name: "list does not keep a silent VM alive", after: daisyvm.DeadAfter, event: daisyvm.PlatformListed{VMs: []daisyvm.ListedVM{listed}}, state: daisyvm.Dead},
		{name: "list does not revive a dead VM", after: time.Minute, event: daisyvm.PlatformListed{VMs: []daisyvm.ListedVM{listed}}, state: daisyvm.Dead},
		{name: "old report from a peer is ignored", after: daisyvm.DeadAfter, event: withHeard(peer, subject, 1), state: daisyvm.Dead},
		{name: "new report from a peer makes a dead VM live", after: daisyvm.DeadAfter, event: withHeard(peer, subject, 2), state: daisyvm.Live},
		{name: "report on another incarnation is ignored", after: daisyvm.DeadAfter, event: withHeard(peer, vmAt("vm-2", 2, 2, "a"), 9), state: daisyvm.Dead},
		{name: "VM is dead once another one has its address", after: daisyvm.SuspectAfter, event: daisyvm.HeartbeatArrived{VM: vmAt("vm-4", 1, 2, "a"), Sequence: 1}, state: daisyvm.Dead},
		{name: "heartbeat of an earlier incarnation is ignored", after: daisyvm.DeadAfter, event: daisyvm.HeartbeatArrived{VM: vmAt("vm-2", 0, 2, "a"), Sequence: 9}, state: daisyvm.Dead},
		{name: "heartbeat of a later incarnation makes the VM live", after: time.Minute, event: daisyvm.HeartbeatArrived{VM: vmAt("vm-2", 2, 2, "a"), Sequence: 1}, state: daisyvm.Live},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWatcher()
			w.members.Handle(w.now, daisyvm.HeartbeatArrived{VM: subject, Sequence: 1})
			w.members.Handle(w.now, daisyvm.PlatformListed{VMs: []daisyvm.ListedVM{listed}})
			w.advance(c.after)
			w.members.Handle(w.now, c.event)
			w.advance(daisyvm.HeartbeatInterval)
			assert.Equal(t, w.state(t, "vm-2"), c.state)
		})
	}
}

func withHeard(h daisyvm.HeartbeatArrived, vm daisyvm.VM, sequence uint64) daisyvm.HeartbeatArrived {
	h.Heard = []daisyvm.HeartbeatReport{{VM: vm.Digest(), Sequence: sequence}}
	return h
}

func TestPausedVMKeepsOthersLive(t *testing.T) {
	w := newWatcher()
	heartbeat := daisyvm.HeartbeatArrived{VM: vmAt("vm-2", 1, 2, "a"), Sequence: 1}
	w.advance(time.Second, heartbeat)
	w.now = w.now.Add(time.Minute)
	w.members.Handle(w.now, daisyvm.TimePassed{})
	assert.Equal(t, w.state(t, "vm-2"), daisyvm.Live)
	w.advance(daisyvm.DeadAfter)
	assert.Equal(t, w.state(t, "vm-2"), daisyvm.Dead)
}

func TestRoundTripIsMeasuredFromEcho(t *testing.T) {
	w := newWatcher()
	w.members.Handle(start.Add(time.Second), daisyvm.HeartbeatArrived{
		VM: vmAt("vm-2", 1, 2, "a"), Sequence: 1, Echo: start, EchoHeld: 990 * time.Millisecond,
	})
	assert.Equal(t, w.members.All()[0].RoundTrip, 10*time.Millisecond)
}

func TestLaterIncarnationOfOwnNameSupersedes(t *testing.T) {
	w := newWatcher()
	by := vmAt("vm-1", 2, 9, "a")
	decisions := w.members.Handle(w.now, daisyvm.HeartbeatArrived{VM: vmAt("vm-2", 1, 2, "a"), Sequence: 1, Introduced: []daisyvm.VM{by}})
	found := false
	for _, d := range decisions {
		if s, ok := d.(daisyvm.Superseded); ok {
			found = s.By == by
		}
	}
	assert.Assert(t, found)
}

func TestVMIsHeardAfterRestartWithEarlierClock(t *testing.T) {
	w := newWatcher()
	before, after := vmAt("vm-2", 9, 2, "a"), vmAt("vm-2", 5, 2, "a")
	w.advance(time.Second, daisyvm.HeartbeatArrived{VM: before, Sequence: 40})
	w.members.Handle(w.now, daisyvm.LinkOpened{VM: after})
	assert.Equal(t, w.members.All()[0].VM, before, "an earlier incarnation replaced one that was just heard")
	for round := range 12 {
		w.advance(daisyvm.HeartbeatInterval)
		w.members.Handle(w.now, daisyvm.HeartbeatArrived{VM: after, Sequence: uint64(round + 1)})
	}
	assert.Equal(t, w.members.All()[0].VM, after)
	assert.Equal(t, w.state(t, "vm-2"), daisyvm.Live)
}

func TestIntroductionsDoNotBringBackAnEarlierIncarnation(t *testing.T) {
	w := newWatcher()
	before, after := vmAt("vm-2", 5, 2, "a"), vmAt("vm-2", 9, 2, "a")
	w.advance(time.Second, daisyvm.HeartbeatArrived{VM: after, Sequence: 1})
	w.advance(2 * daisyvm.DeadAfter)
	w.members.Handle(w.now, daisyvm.HeartbeatArrived{VM: vmAt("vm-3", 1, 3, "a"), Sequence: 1, Introduced: []daisyvm.VM{before}})
	assert.Equal(t, w.members.All()[0].VM, after)
	assert.Equal(t, w.state(t, "vm-2"), daisyvm.Dead)
}

func TestSilentVMsAreForgotten(t *testing.T) {
	w := newWatcher()
	left := daisyvm.Status{Leaving: true}
	w.members.Handle(w.now, daisyvm.HeartbeatArrived{VM: vmAt("vm-2", 1, 2, "a"), Sequence: 1})
	w.members.Handle(w.now, daisyvm.HeartbeatArrived{VM: vmAt("vm-3", 1, 3, "a"), Sequence: 1, Status: left})
	for _, c := range []struct {
		until time.Duration
		known int
	}{{daisyvm.ForgetLeftAfter, 2}, {daisyvm.ForgetLeftAfter + time.Second, 1}, {daisyvm.ForgetAfter, 1}, {daisyvm.ForgetAfter + time.Second, 0}} {
		w.advance(start.Add(c.until).Sub(w.now))
		assert.Equal(t, len(w.members.All()), c.known, "%s", c.until)
	}
}
