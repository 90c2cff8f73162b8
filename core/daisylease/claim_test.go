package daisylease_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisylease"
	"daisyyoke/core/daisyvm"
)

// simulation runs VMs that claim the lease on one row in virtual time. It keeps all
// versions of the row so that reads can lag.
type simulation struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	versions []version
	members  []*member
	arrivals []arrival
	// lossRate is the probability that a reply is lost, lagRate that a read lags.
	lossRate, lagRate float64
	acquisitions      int
}

type version struct {
	record daisylease.Record
	at     time.Time
}

type member struct {
	name        daisyvm.Name
	claim       *daisylease.Claim
	holds       bool
	pausedUntil time.Time
	ended       bool
}

type arrival struct {
	at     time.Time
	member *member
	event  daisylease.Event
}

func newSimulation(t *testing.T, seed uint64, members int) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0)}
	for i := range members {
		name := daisyvm.Name([]string{"vm-1", "vm-2", "vm-3"}[i])
		m := &member{name: name}
		m.claim = daisylease.NewClaim(s.now, daisyvm.VM{Name: name, Incarnation: 1}, rand.New(rand.NewPCG(seed, uint64(i)+2)))
		s.members = append(s.members, m)
	}
	return s
}

// run handles all events and wake-ups before end, in order of time.
func (s *simulation) run(end time.Time) {
	for s.now.Before(end) {
		m, event, at := s.next(end)
		if m == nil {
			return
		}
		s.now = at
		for _, d := range m.claim.Handle(s.now, event) {
			s.execute(m, d)
		}
	}
}

func (s *simulation) next(end time.Time) (*member, daisylease.Event, time.Time) {
	var chosen *member
	var event daisylease.Event
	at := end
	index := -1
	for i, a := range s.arrivals {
		if due := later(a.at, a.member.pausedUntil); due.Before(at) {
			chosen, event, at, index = a.member, a.event, due, i
		}
	}
	for _, m := range s.members {
		wake := m.claim.NextWake()
		if wake.IsZero() {
			continue
		}
		if due := later(later(wake, m.pausedUntil), s.now); due.Before(at) {
			chosen, event, at, index = m, daisylease.TimePassed{}, due, -1
		}
	}
	if index >= 0 {
		s.arrivals = slices.Delete(s.arrivals, index, index+1)
	}
	return chosen, event, at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *simulation) execute(m *member, decision daisylease.Decision) {
	switch d := decision.(type) {
	case daisylease.ReadRow:
		s.reply(m, s.read())
	case daisylease.WriteRow:
		// A holder that releases the lease stops relying on it when the write begins.
		m.holds = m.holds && d.Record.Holder != ""
		s.reply(m, s.write(d))
	case daisylease.Acquired:
		s.acquisitions++
		for _, o := range s.members {
			paused := s.now.Before(o.pausedUntil)
			assert.Assert(s.t, !o.holds || paused, "%s and %s hold the lease at once", m.name, o.name)
		}
		m.holds = true
	case daisylease.Lost, daisylease.Released:
		m.holds = false
		m.ended = true
	case daisylease.NoteWritten:
	}
}

func (s *simulation) reply(m *member, event daisylease.Event) {
	delay := time.Duration(s.random.Int64N(int64(300 * time.Millisecond)))
	s.arrivals = append(s.arrivals, arrival{at: s.now.Add(delay), member: m, event: event})
}

func (s *simulation) read() daisylease.Event {
	visible := s.versions
	if s.random.Float64() < s.lagRate {
		asOf := s.now.Add(-time.Duration(s.random.Int64N(int64(time.Minute))))
		for len(visible) > 0 && visible[len(visible)-1].at.After(asOf) {
			visible = visible[:len(visible)-1]
		}
	}
	if len(visible) == 0 {
		return daisylease.RowMissing{}
	}
	return daisylease.RowRead{Record: visible[len(visible)-1].record, Token: daisylease.Token(len(visible))}
}

func (s *simulation) write(d daisylease.WriteRow) daisylease.Event {
	var event daisylease.Event = daisylease.WriteRefused{}
	if d.Expected == daisylease.Token(len(s.versions)) {
		s.versions = append(s.versions, version{record: d.Record, at: s.now})
		event = daisylease.Written{Token: daisylease.Token(len(s.versions))}
	}
	if s.random.Float64() < s.lossRate {
		return daisylease.WriteUnknown{}
	}
	return event
}

// seeds returns the number of seeds to run: a tenth of all with -short.
func seeds(all uint64) uint64 {
	if testing.Short() {
		return all / 10
	}
	return all
}

func TestAtMostOneHolderUnderLossLagAndPauses(t *testing.T) {
	acquisitions := 0
	for seed := range seeds(1000) {
		s := newSimulation(t, seed, 3)
		s.lossRate, s.lagRate = 0.3, 0.3
		start := s.now
		for step := range 20 {
			m := s.members[s.random.IntN(len(s.members))]
			switch s.random.IntN(3) {
			case 0:
				m.pausedUntil = s.now.Add(time.Duration(s.random.Int64N(int64(time.Minute))))
			case 1:
				s.arrivals = append(s.arrivals, arrival{at: s.now, member: m, event: daisylease.ReleaseWanted{}})
			}
			s.run(start.Add(time.Duration(step) * 30 * time.Second))
			s.restart(seed)
		}
		acquisitions += s.acquisitions
	}
	assert.Assert(t, acquisitions > 2*int(seeds(1000)), "only %d leases were acquired", acquisitions)
}

// restart replaces every claim that has ended.
func (s *simulation) restart(seed uint64) {
	for i, m := range s.members {
		if !m.ended {
			continue
		}
		random := rand.New(rand.NewPCG(seed, s.random.Uint64()))
		s.arrivals = slices.DeleteFunc(s.arrivals, func(a arrival) bool { return a.member == m })
		s.members[i] = &member{name: m.name, pausedUntil: m.pausedUntil}
		s.members[i].claim = daisylease.NewClaim(s.now, daisyvm.VM{Name: m.name, Incarnation: 1}, random)
	}
}

func TestWriteOfPausedHolderIsRefused(t *testing.T) {
	for seed := range seeds(1000) {
		s := newSimulation(t, seed, 2)
		start := s.now
		s.run(start.Add(10 * time.Second))
		holder := s.members[0]
		if s.members[1].holds {
			holder = s.members[1]
		}
		assert.Assert(t, holder.holds)
		holder.pausedUntil = s.now.Add(2 * time.Minute)
		s.run(start.Add(time.Minute))
		assert.Equal(t, s.acquisitions, 2, "the other VM takes over")
		versionCount := len(s.versions)
		assert.Assert(t, s.versions[versionCount-1].record.Holder != holder.name)
		// The holder resumes with a note to write and does not know yet that its lease expired.
		staleToken := daisylease.Token(0)
		for i, v := range s.versions {
			if v.record.Holder == holder.name {
				staleToken = daisylease.Token(i + 1)
			}
		}
		_, refused := s.write(daisylease.WriteRow{Record: daisylease.Record{Holder: holder.name, Note: "late"}, Expected: staleToken}).(daisylease.WriteRefused)
		assert.Assert(t, refused)
		assert.Equal(t, len(s.versions), versionCount)
		holder.pausedUntil = s.now
		s.run(start.Add(2 * time.Minute))
		assert.Assert(t, holder.ended, "the paused holder learns that it lost the lease")
	}
}

func TestCrashedHolderIsReplacedWithinTwoTTLs(t *testing.T) {
	for seed := range uint64(200) {
		s := newSimulation(t, seed, 2)
		s.run(s.now.Add(10 * time.Second))
		holder := s.members[0]
		if s.members[1].holds {
			holder = s.members[1]
		}
		holder.pausedUntil = s.now.Add(time.Hour)
		crashedAt := s.now
		s.run(crashedAt.Add(2 * daisylease.TTL))
		assert.Equal(t, s.acquisitions, 2)
	}
}

// Guards against a lease that nobody can acquire any more, and against two holders, after
// the platform was restored from a backup in which the row is older or missing.
func TestLeaseIsAcquiredAfterRestoreOfThePlatform(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	live := daisylease.Record{Holder: "vm-2", Incarnation: 1, TTL: daisylease.TTL}
	restored := map[string]daisylease.Event{
		"free":    daisylease.RowRead{Record: daisylease.Record{TTL: daisylease.TTL}, Token: 6, Era: 1},
		"missing": daisylease.RowMissing{Era: 1},
	}
	for name, event := range restored {
		c := daisylease.NewClaim(now, daisyvm.VM{Name: "vm-1", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
		c.Handle(now, daisylease.TimePassed{})
		c.Handle(now, daisylease.RowRead{Record: live, Token: 10})
		var write *daisylease.WriteRow
		at := now
		for write == nil && at.Sub(now) < time.Minute {
			at = c.NextWake()
			for _, d := range c.Handle(at, daisylease.TimePassed{}) {
				if _, ok := d.(daisylease.ReadRow); !ok {
					continue
				}
				for _, d := range c.Handle(at, event) {
					if w, ok := d.(daisylease.WriteRow); ok {
						write = &w
					}
				}
			}
		}
		assert.Assert(t, write != nil, "%s: never claimed", name)
		assert.Assert(t, at.Sub(now) >= daisylease.TTL, "%s: claimed after %v, while the holder that the row lacks may live", name, at.Sub(now))
		want := daisylease.Token(0)
		if r, ok := event.(daisylease.RowRead); ok {
			want = r.Token
		}
		assert.Equal(t, write.Expected, want, name)
	}
}
