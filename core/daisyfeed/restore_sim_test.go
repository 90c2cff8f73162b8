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

// simStore is a store with one topic that can be restored from a backup.
type simStore struct {
	era     daisyfeed.Era
	version daisyfeed.Version
	rows    map[string]daisyfeed.Row
	changes []daisyfeed.Row
	away    bool
}

func (s *simStore) write(r daisyfeed.Row) {
	s.version++
	r.Version = s.version
	s.changes = append(s.changes, r)
	if r.Removed {
		delete(s.rows, r.Key)
		return
	}
	s.rows[r.Key] = r
}

func (s *simStore) clone() simStore {
	c := *s
	c.rows, c.changes = maps.Clone(s.rows), slices.Clone(s.changes)
	return c
}

// restoreSim has several followers of one store that pass changes to each other. Answers
// and messages take a random time, so that late ones of an earlier era arrive.
type restoreSim struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	store     simStore
	followers map[daisyvm.Name]*daisyfeed.Follower
	pending   []simEvent
	// sequences has the latest number that each writer has used.
	sequences map[string]uint64
	// highest has the highest number in force of each row on each VM.
	highest map[string]uint64
}

type simEvent struct {
	at    time.Time
	to    daisyvm.Name
	event daisyfeed.Event
}

func newRestoreSim(t *testing.T, seed uint64) *restoreSim {
	s := &restoreSim{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 1)),
		now:       start,
		store:     simStore{era: 1, rows: make(map[string]daisyfeed.Row)},
		followers: make(map[daisyvm.Name]*daisyfeed.Follower),
		sequences: make(map[string]uint64),
		highest:   make(map[string]uint64),
	}
	names := []daisyvm.Name{"vm-0", "vm-1", "vm-2", "vm-3"}
	for i, n := range names {
		s.followers[n] = daisyfeed.NewConfirmedFollower()
		peers := slices.DeleteFunc(slices.Clone(names), func(p daisyvm.Name) bool { return p == n })
		s.handle(n, daisyfeed.RoleChanged{Position: i, Reader: i < 2, Peers: peers})
	}
	return s
}

// later delivers an event after a random delay.
func (s *restoreSim) later(to daisyvm.Name, event daisyfeed.Event) {
	delay := time.Duration(s.random.IntN(40)) * time.Millisecond
	if s.random.IntN(20) == 0 {
		delay = time.Duration(s.random.IntN(3000)) * time.Millisecond
	}
	s.pending = append(s.pending, simEvent{at: s.now.Add(delay), to: to, event: event})
}

func (s *restoreSim) handle(name daisyvm.Name, event daisyfeed.Event) {
	for _, d := range slices.Clone(s.followers[name].Handle(s.now, event)) {
		switch d := d.(type) {
		case daisyfeed.ReadRows:
			s.later(name, s.readRows())
		case daisyfeed.AwaitChanges:
			s.later(name, s.readChanges(d.After))
		case daisyfeed.RequestChanges:
			s.later(d.To, daisyfeed.ChangesRequested{From: name, After: d.After, Era: d.Era})
		case daisyfeed.SendChanges:
			s.later(d.To, daisyfeed.ChangesReceived{From: name, Changes: d.Changes})
		}
	}
	for _, r := range s.followers[name].Rows() {
		key := fmt.Sprint(name, r.Key)
		assert.Assert(s.t, r.Written.Sequence >= s.highest[key], "%s: %s went from %d back to %d", name, r.Key, s.highest[key], r.Written.Sequence)
		s.highest[key] = r.Written.Sequence
	}
}

func (s *restoreSim) readRows() daisyfeed.Event {
	if s.store.away {
		return daisyfeed.ReadFailed{}
	}
	return daisyfeed.RowsRead{Rows: slices.Collect(maps.Values(s.store.rows)), AsOf: s.store.version, Era: s.store.era}
}

func (s *restoreSim) readChanges(after daisyfeed.Version) daisyfeed.Event {
	if s.store.away {
		return daisyfeed.ReadFailed{}
	}
	if after > s.store.version {
		return daisyfeed.HistoryLost{Era: s.store.era}
	}
	var rows []daisyfeed.Row
	for _, r := range s.store.changes {
		if r.Version > after {
			rows = append(rows, r)
		}
	}
	return daisyfeed.RowsChanged{Rows: rows, AsOf: s.store.version, Era: s.store.era}
}

// writeKey lets the writer of a row write it.
func (s *restoreSim) writeKey(key string) {
	s.sequences[key]++
	s.store.write(written(key, 0, s.sequences[key]))
}

// run advances the time step by step, and tells all VMs what the others know.
func (s *restoreSim) run(length time.Duration) {
	const step = 10 * time.Millisecond
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(step) {
		due := s.pending
		s.pending = nil
		for _, e := range due {
			if e.at.After(s.now) {
				s.pending = append(s.pending, e)
				continue
			}
			s.handle(e.to, e.event)
		}
		for _, name := range slices.Sorted(maps.Keys(s.followers)) {
			f := s.followers[name]
			if wake := f.NextWake(); !wake.IsZero() && !wake.After(s.now) {
				s.handle(name, daisyfeed.TimePassed{})
			}
			if s.now.Sub(start)%(250*time.Millisecond) == 0 {
				for _, peer := range slices.Sorted(maps.Keys(s.followers)) {
					if peer != name {
						s.later(peer, daisyfeed.PeerVersionKnown{From: name, Last: f.Last(), Era: f.Era(), Holding: f.Holding()})
					}
				}
			}
		}
	}
}

// Guards against VMs that differ from each other or from the store after it was restored
// several times while rows were written, and against a row that goes back.
func TestVMsAgreeWithTheStoreAfterRestores(t *testing.T) {
	for seed := range uint64(60) {
		s := newRestoreSim(t, seed)
		keys := []string{"a", "b", "c", "d", "e"}
		backup := s.store.clone()
		for range 40 {
			for range s.random.IntN(4) {
				s.writeKey(keys[s.random.IntN(len(keys))])
			}
			s.run(time.Duration(s.random.IntN(400)) * time.Millisecond)
			switch s.random.IntN(8) {
			case 0:
				backup = s.store.clone()
			case 1:
				s.store.away = true
				s.run(time.Duration(s.random.IntN(1500)) * time.Millisecond)
				era := s.store.era + 1
				s.store = backup.clone()
				s.store.era = era
			}
		}
		// Each writer notices that its row is lost, and writes it again.
		for _, k := range keys {
			if s.sequences[k] > 0 {
				s.writeKey(k)
			}
		}
		s.run(15 * time.Second)
		for name, f := range s.followers {
			got := make(map[string]uint64)
			for _, r := range f.Rows() {
				got[r.Key] = r.Written.Sequence
			}
			assert.DeepEqual(t, got, s.sequences)
			assert.Equal(t, f.Era(), s.store.era, "%s, seed %d", name, seed)
		}
	}
}
