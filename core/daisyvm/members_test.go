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

// watcher feeds one membership and keeps its time.
type watcher struct {
	members *daisyvm.Members
	now     time.Time
}

func newWatcher() *watcher {
	return &watcher{members: daisyvm.NewMembers(vmAt("vm-1", 1, 1, "a"), start, rand.New(rand.NewPCG(1, 1))), now: start}
}

// pass lets the time pass, with a beat of each of the VMs in every round.
func (w *watcher) pass(d time.Duration, beating ...daisyvm.HeartbeatArrived) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(daisyvm.BeatInterval)
		for i := range beating {
			beating[i].Sequence++
			w.members.Handle(w.now, beating[i])
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
	}{{daisyvm.SuspectAfter - daisyvm.BeatInterval, daisyvm.Live}, {daisyvm.BeatInterval, daisyvm.Suspect}, {daisyvm.DeadAfter - daisyvm.SuspectAfter, daisyvm.Dead}} {
		w.pass(c.after)
		assert.Equal(t, w.state(t, "vm-2"), c.state)
	}
}

func TestWitnesses(t *testing.T) {
	gone := vmAt("vm-2", 1, 2, "a")
	peer := daisyvm.HeartbeatArrived{VM: vmAt("vm-3", 1, 3, "a"), Sequence: 10}
	listed := daisyvm.Listed{Name: "vm-2", Peers: gone.Peers}
	leaving := daisyvm.Listed{Name: "vm-2", Peers: gone.Peers, Leaving: true}
	cases := []struct {
		name  string
		after time.Duration
		event daisyvm.MemberEvent
		state daisyvm.State
	}{
		{name: "list alone does not kill a VM that is heard", event: daisyvm.PlatformListed{VMs: []daisyvm.Listed{leaving}}, state: daisyvm.Live},
		{name: "list ends the doubt about a silent VM", after: daisyvm.SuspectAfter, event: daisyvm.PlatformListed{VMs: []daisyvm.Listed{leaving}}, state: daisyvm.Dead},
		{name: "list does not keep a silent VM", after: daisyvm.DeadAfter, event: daisyvm.PlatformListed{VMs: []daisyvm.Listed{listed}}, state: daisyvm.Dead},
		{name: "list does not revive a dead VM", after: time.Minute, event: daisyvm.PlatformListed{VMs: []daisyvm.Listed{listed}}, state: daisyvm.Dead},
		{name: "old word of a peer proves nothing", after: daisyvm.DeadAfter, event: withHeard(peer, gone, 1), state: daisyvm.Dead},
		{name: "news by a peer is proof of life", after: daisyvm.DeadAfter, event: withHeard(peer, gone, 2), state: daisyvm.Live},
		{name: "word of another incarnation proves nothing", after: daisyvm.DeadAfter, event: withHeard(peer, vmAt("vm-2", 2, 2, "a"), 9), state: daisyvm.Dead},
		{name: "another VM at its address replaces it", after: daisyvm.SuspectAfter, event: daisyvm.HeartbeatArrived{VM: vmAt("vm-4", 1, 2, "a"), Sequence: 1}, state: daisyvm.Dead},
		{name: "earlier incarnation is not believed", after: daisyvm.DeadAfter, event: daisyvm.HeartbeatArrived{VM: vmAt("vm-2", 0, 2, "a"), Sequence: 9}, state: daisyvm.Dead},
		{name: "later incarnation comes back", after: time.Minute, event: daisyvm.HeartbeatArrived{VM: vmAt("vm-2", 2, 2, "a"), Sequence: 1}, state: daisyvm.Live},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWatcher()
			w.members.Handle(w.now, daisyvm.HeartbeatArrived{VM: gone, Sequence: 1})
			w.members.Handle(w.now, daisyvm.PlatformListed{VMs: []daisyvm.Listed{listed}})
			w.pass(c.after)
			w.members.Handle(w.now, c.event)
			w.pass(daisyvm.BeatInterval)
			assert.Equal(t, w.state(t, "vm-2"), c.state)
		})
	}
}

func withHeard(h daisyvm.HeartbeatArrived, vm daisyvm.VM, sequence uint64) daisyvm.HeartbeatArrived {
	h.Heard = []daisyvm.Heard{{VM: vm.Digest(), Sequence: sequence}}
	return h
}

func TestPausedVMDoesNotGiveUpTheOthers(t *testing.T) {
	w := newWatcher()
	beating := daisyvm.HeartbeatArrived{VM: vmAt("vm-2", 1, 2, "a"), Sequence: 1}
	w.pass(time.Second, beating)
	w.now = w.now.Add(time.Minute)
	w.members.Handle(w.now, daisyvm.TimePassed{})
	assert.Equal(t, w.state(t, "vm-2"), daisyvm.Live)
	w.pass(daisyvm.DeadAfter)
	assert.Equal(t, w.state(t, "vm-2"), daisyvm.Dead)
}

func TestRoundTripComesFromTheEcho(t *testing.T) {
	w := newWatcher()
	w.members.Handle(start.Add(time.Second), daisyvm.HeartbeatArrived{
		VM: vmAt("vm-2", 1, 2, "a"), Sequence: 1, Echo: start, EchoHeld: 990 * time.Millisecond,
	})
	assert.Equal(t, w.members.All()[0].RoundTrip, 10*time.Millisecond)
}

func TestOwnNameWithALaterIncarnationSupersedes(t *testing.T) {
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

func TestSilentVMsAreForgotten(t *testing.T) {
	w := newWatcher()
	left := daisyvm.Status{Leaving: true}
	w.members.Handle(w.now, daisyvm.HeartbeatArrived{VM: vmAt("vm-2", 1, 2, "a"), Sequence: 1})
	w.members.Handle(w.now, daisyvm.HeartbeatArrived{VM: vmAt("vm-3", 1, 3, "a"), Sequence: 1, Status: left})
	for _, c := range []struct {
		until time.Duration
		known int
	}{{daisyvm.ForgetLeftAfter, 2}, {daisyvm.ForgetLeftAfter + time.Second, 1}, {daisyvm.ForgetAfter, 1}, {daisyvm.ForgetAfter + time.Second, 0}} {
		w.pass(start.Add(c.until).Sub(w.now))
		assert.Equal(t, len(w.members.All()), c.known, "%s", c.until)
	}
}
