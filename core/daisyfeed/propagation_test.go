package daisyfeed_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisyvm"
)

// propagationSim simulates VMs that follow a store which some of them cannot reach: what these
// send is lost without a reply.
type propagationSim struct {
	random  *rand.Rand
	now     time.Time
	version daisyfeed.Version
	vms     map[daisyvm.Name]*propagationVM
	pending []propagationEvent
}

type propagationVM struct {
	follower *daisyfeed.Follower
	readers  *daisyfeed.Readers
	// clockOffset is how far the clock of the VM is ahead.
	clockOffset time.Duration
	cut         bool
	// deaf reports whether messages of other VMs are lost on their way to this one.
	deaf bool
	// unavailable holds the VMs that said that the store does not reply to them.
	unavailable map[daisyvm.Name]bool
	// awaiting is when a call that waits for changes ends; the zero time if there is none.
	awaiting time.Time
	after    daisyfeed.Version
}

type propagationEvent struct {
	at  time.Time
	run func()
}

const (
	// lostCall is the time after which a call without a reply has failed, beside the time that
	// it may be held.
	lostCall     = time.Second
	storeDelay   = 4 * time.Millisecond
	messageDelay = 5 * time.Millisecond
	// heartbeat is the interval in which VMs tell each other what they know.
	heartbeat = 250 * time.Millisecond
)

func newPropagationSim(seed uint64, n int, skew time.Duration) *propagationSim {
	s := &propagationSim{random: rand.New(rand.NewPCG(seed, 26)), now: start, version: 1, vms: make(map[daisyvm.Name]*propagationVM)}
	var all []daisyvm.VM
	for i := range n {
		all = append(all, daisyvm.VM{Name: daisyvm.Name(fmt.Sprintf("vm-%d", i))})
	}
	for _, v := range all {
		vm := &propagationVM{follower: daisyfeed.NewConfirmedFollower(), readers: daisyfeed.NewReaders(v.Name), unavailable: make(map[daisyvm.Name]bool)}
		if s.random.IntN(2) == 0 {
			vm.clockOffset = skew
		}
		vm.readers.SetVMs(all, nil)
		s.vms[v.Name] = vm
	}
	for _, name := range s.names() {
		s.handle(name, daisyfeed.TimePassed{})
		s.updateRole(name)
	}
	return s
}

func (s *propagationSim) storeClock() time.Duration { return time.Hour + s.now.Sub(start) }

func (s *propagationSim) names() []daisyvm.Name { return slices.Sorted(maps.Keys(s.vms)) }

func (s *propagationSim) later(delay time.Duration, run func()) {
	s.pending = append(s.pending, propagationEvent{at: s.now.Add(delay), run: run})
}

func (s *propagationSim) updateRole(name daisyvm.Name) {
	if role, changed := s.vms[name].readers.Role(); changed {
		s.handle(name, role)
	}
}

func (s *propagationSim) rows(after daisyfeed.Version) []daisyfeed.Row {
	if s.version <= after {
		return nil
	}
	return []daisyfeed.Row{row("config", s.version)}
}

func (s *propagationSim) handle(name daisyvm.Name, event daisyfeed.Event) {
	v := s.vms[name]
	for _, d := range slices.Clone(v.follower.Handle(s.now.Add(v.clockOffset), event)) {
		switch d := d.(type) {
		case daisyfeed.ReadRows:
			s.later(storeDelay, func() { s.handle(name, daisyfeed.RowsRead{Rows: s.rows(0), AsOf: s.version, Clock: s.storeClock()}) })
		case daisyfeed.AwaitChanges:
			s.await(name, d)
		case daisyfeed.RequestChanges:
			s.send(d.To, daisyfeed.ChangesRequested{From: name, After: d.After, Era: d.Era})
		case daisyfeed.SendChanges:
			s.send(d.To, daisyfeed.ChangesReceived{From: name, Changes: d.Changes})
		}
	}
}

// send delivers a message of another VM unless it is lost.
func (s *propagationSim) send(to daisyvm.Name, message daisyfeed.Event) {
	s.later(messageDelay, func() {
		if !s.vms[to].deaf {
			s.handle(to, message)
		}
	})
}

func (s *propagationSim) await(name daisyvm.Name, d daisyfeed.AwaitChanges) {
	v := s.vms[name]
	switch {
	case v.cut:
		s.later(d.Wait+lostCall, func() { s.handle(name, daisyfeed.ReadFailed{}) })
	default:
		v.awaiting, v.after = s.now.Add(d.Wait), d.After
	}
}

// poll ends the calls that have changes to return or were held for long enough. Those of VMs
// that were cut off meanwhile get no reply.
func (s *propagationSim) poll() {
	for _, name := range s.names() {
		v := s.vms[name]
		if v.awaiting.IsZero() {
			continue
		}
		if v.cut {
			s.later(v.awaiting.Sub(s.now)+lostCall, func() { s.handle(name, daisyfeed.ReadFailed{}) })
			v.awaiting = time.Time{}
			continue
		}
		if rows := s.rows(v.after); len(rows) > 0 || !s.now.Before(v.awaiting) {
			v.awaiting = time.Time{}
			asOf := s.version
			s.later(storeDelay, func() { s.handle(name, daisyfeed.RowsChanged{Rows: rows, AsOf: asOf, Clock: s.storeClock()}) })
		}
	}
}

func (s *propagationSim) beat(name daisyvm.Name) {
	v := s.vms[name]
	last, unavailable := v.follower.Last(), v.follower.StoreUnavailable()
	for _, peer := range s.names() {
		s.later(messageDelay, func() {
			p := s.vms[peer]
			if p.deaf {
				return
			}
			if p.unavailable[name] != unavailable {
				p.unavailable[name] = unavailable
				p.readers.SetStoreUnavailable(name, unavailable)
				s.updateRole(peer)
			}
			if peer != name {
				s.handle(peer, daisyfeed.PeerVersionKnown{From: name, Last: last})
			}
		})
	}
}

func (s *propagationSim) run(length time.Duration) {
	const step = time.Millisecond
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		due := s.pending
		s.pending = nil
		for _, e := range due {
			if e.at.After(s.now) {
				s.pending = append(s.pending, e)
				continue
			}
			e.run()
		}
		s.poll()
		for _, name := range s.names() {
			v := s.vms[name]
			if wake := v.follower.NextWake(); !wake.IsZero() && !wake.After(s.now.Add(v.clockOffset)) {
				s.handle(name, daisyfeed.TimePassed{})
			}
			if s.now.Sub(start)%heartbeat == 0 {
				s.beat(name)
			}
		}
	}
}

// propagate confirms a change and returns how long it takes until all VMs know it that reach
// the store or hear of the others, or limit if it takes longer.
func (s *propagationSim) propagate(limit time.Duration) time.Duration {
	s.version++
	begin := s.now
	for s.now.Sub(begin) < limit {
		s.run(10 * time.Millisecond)
		known := true
		for _, v := range s.vms {
			known = known && (v.cut && v.deaf || v.follower.Last() == s.version)
		}
		if known {
			return s.now.Sub(begin)
		}
	}
	return limit
}

// configPropagation is the time within which the users' rules want a change in force.
const configPropagation = 2 * time.Second

// Guards against a change that VMs learn of too late because those that read the store for
// them, and others, have just lost it in silence, also if clocks differ.
func TestChangeIsKnownInTimeAfterReadersLoseTheStore(t *testing.T) {
	seeds := 150
	if testing.Short() {
		seeds = 15
	}
	for _, c := range []struct {
		vms, othersCut int
		skew           time.Duration
	}{
		{vms: 5}, {vms: 7}, {vms: 7, othersCut: 1},
		{vms: 5, skew: 2 * time.Second}, {vms: 7, skew: 2 * time.Second}, {vms: 7, othersCut: 1, skew: 3 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d VMs, %d others cut off, clocks %v apart", c.vms, c.othersCut, c.skew), func(t *testing.T) {
			var worst time.Duration
			for seed := range uint64(seeds) {
				s := newPropagationSim(seed, c.vms, c.skew)
				s.run(4 * time.Second)
				s.cutReaders(c.othersCut)
				s.run(time.Duration(s.random.IntN(3000)) * time.Millisecond)
				worst = max(worst, s.propagate(10*time.Second))
			}
			assert.Check(t, worst <= configPropagation, "%v at worst", worst)
			t.Logf("%v at worst", worst)
		})
	}
}

// Guards against a confirmed change that is not in force in time because the store is silent
// to any number of VMs, as long as one of them reaches it.
func TestChangeIsKnownInTimeWhileOneVMReachesTheStore(t *testing.T) {
	for _, c := range []struct{ vms, seeds int }{{vms: 2, seeds: 40}, {vms: 3, seeds: 40}, {vms: 7, seeds: 150}, {vms: 40, seeds: 8}, {vms: 123, seeds: 4}} {
		t.Run(fmt.Sprintf("%d VMs", c.vms), func(t *testing.T) {
			t.Parallel()
			if testing.Short() {
				c.seeds = min(c.seeds, 4)
			}
			var worst time.Duration
			for seed := range uint64(c.seeds) {
				s := newPropagationSim(seed, c.vms, 3*time.Second)
				s.run(4 * time.Second)
				s.cutAny(1 + s.random.IntN(c.vms-1))
				// The outage lasts, and changes come at any time of it.
				for range 4 {
					s.run(time.Duration(s.random.IntN(3000)) * time.Millisecond)
					worst = max(worst, s.propagate(10*time.Second))
				}
			}
			assert.Check(t, worst <= configPropagation, "%v at worst", worst)
			t.Logf("%v at worst", worst)
		})
	}
}

// Guards against a confirmed change that is late on VMs that reach the store but get no
// messages of the VMs that read it for them.
func TestChangeIsKnownInTimeWithoutPeers(t *testing.T) {
	seeds := 60
	if testing.Short() {
		seeds = 6
	}
	var worst time.Duration
	for seed := range uint64(seeds) {
		s := newPropagationSim(seed, 7, 0)
		s.run(4 * time.Second)
		for _, name := range s.names() {
			s.vms[name].deaf = s.random.IntN(2) == 0
		}
		for range 4 {
			s.run(time.Duration(s.random.IntN(3000)) * time.Millisecond)
			worst = max(worst, s.propagate(10*time.Second))
		}
	}
	assert.Check(t, worst <= configPropagation, "%v at worst", worst)
	t.Logf("%v at worst", worst)
}

// cutAny cuts a number of VMs off from the store.
func (s *propagationSim) cutAny(count int) {
	names := s.names()
	s.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names[:count] {
		s.vms[name].cut = true
	}
}

// cutReaders cuts the readers off from the store, and some of the other VMs.
func (s *propagationSim) cutReaders(others int) {
	names := s.names()
	readers := s.vms[names[0]].readers
	readers.Role()
	cut := readers.Names()
	s.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		isReader := slices.Contains(cut, string(name))
		if !isReader && others == 0 {
			continue
		}
		if !isReader {
			others--
		}
		s.vms[name].cut = true
	}
}

// Guards against a turn that comes late by as much as the wall clock was set back: its time
// has to keep the reading of the steady clock, which Round(0) removes.
func TestTurnKeepsTheSteadyClock(t *testing.T) {
	now := time.Now()
	f := daisyfeed.NewFollower()
	f.Handle(now, daisyfeed.TimePassed{})
	f.Handle(now, daisyfeed.RowsRead{AsOf: 2, Clock: time.Hour})
	f.Handle(now, daisyfeed.RoleChanged{Position: 3, Peers: make([]daisyvm.Name, 6)})
	wake := f.NextWake()
	assert.Assert(t, wake.After(now) && !wake.After(now.Add(10*time.Second)), "%v", wake.Sub(now))
	assert.Assert(t, wake.String() != wake.Round(0).String(), "%v", wake)
}
