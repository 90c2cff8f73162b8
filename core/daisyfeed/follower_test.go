package daisyfeed_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisyvm"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// holder drives a follower as its controller does, without a store.
type holder struct {
	t        *testing.T
	now      time.Time
	follower *daisyfeed.Follower
	// decisions are those of the last event.
	decisions []daisyfeed.Decision
}

func newHolder(t *testing.T) *holder {
	h := &holder{t: t, now: start, follower: daisyfeed.NewFollower()}
	h.handle(daisyfeed.TimePassed{})
	return h
}

func (h *holder) handle(event daisyfeed.Event) []daisyfeed.Decision {
	h.decisions = append([]daisyfeed.Decision(nil), h.follower.Handle(h.now, event)...)
	return h.decisions
}

// pass lets time pass and gives all decisions on the way.
func (h *holder) pass(length time.Duration) []daisyfeed.Decision {
	end := h.now.Add(length)
	var all []daisyfeed.Decision
	for {
		wake := h.follower.NextWake()
		if wake.IsZero() || wake.After(end) {
			h.now = end
			return all
		}
		if wake.After(h.now) {
			h.now = wake
		}
		all = append(all, h.handle(daisyfeed.TimePassed{})...)
	}
}

func of[D daisyfeed.Decision](all []daisyfeed.Decision) []D {
	var some []D
	for _, d := range all {
		if x, ok := d.(D); ok {
			some = append(some, x)
		}
	}
	return some
}

func (h *holder) keys() []string {
	keys := []string{}
	for _, r := range h.follower.Rows() {
		keys = append(keys, r.Key)
	}
	return keys
}

func row(key string, version daisyfeed.Version) daisyfeed.Row {
	return daisyfeed.Row{Key: key, Version: version, Value: []byte(key)}
}

// A VM that the store refuses learns from one that it answers. A removal that was no
// lapse for the latter is none for the former.
func TestRemovalFromAPeerWithoutGraceIsFinalWhileTheOwnStoreIsAway(t *testing.T) {
	h := newHolder(t)
	h.read()
	h.handle(daisyfeed.ReadFailed{})
	h.pass(time.Second)
	h.handle(daisyfeed.ReadFailed{})
	h.handle(daisyfeed.PeerGave{From: "vm-2", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{gone("a", 6)}, After: 2, Last: 6}})
	assert.DeepEqual(t, h.keys(), []string{"b"})
	h.handle(daisyfeed.PeerGave{From: "vm-2", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{row("c", 8)}, Last: 8, Whole: true}})
	assert.DeepEqual(t, h.keys(), []string{"c"})
}

func gone(key string, version daisyfeed.Version) daisyfeed.Row {
	return daisyfeed.Row{Key: key, Version: version, Removed: true}
}

// read brings the first rows: a at 1 and b at 2, as of 5.
func (h *holder) read() {
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{row("a", 1), row("b", 2)}, AsOf: 5})
}

func TestFollowerReadsAllRowsThenChanges(t *testing.T) {
	h := newHolder(t)
	assert.Equal(t, len(of[daisyfeed.ReadRows](h.decisions)), 1)
	h.read()
	assert.Equal(t, len(of[daisyfeed.Publish](h.decisions)), 1)
	await := of[daisyfeed.AwaitChanges](h.pass(time.Second))
	assert.DeepEqual(t, await, []daisyfeed.AwaitChanges{{After: 5}})
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{row("c", 6), gone("a", 7)}, AsOf: 7})
	assert.DeepEqual(t, h.keys(), []string{"b", "c"})
	assert.Equal(t, h.follower.Last(), daisyfeed.Version(7))
}

func TestLateNewsNeverUndoesLaterNews(t *testing.T) {
	h := newHolder(t)
	h.read()
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{row("a", 8), gone("b", 9)}, AsOf: 9})
	h.handle(daisyfeed.PeerGave{From: "vm-1", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{row("a", 6), row("b", 7)}, After: 5, Last: 7}})
	assert.DeepEqual(t, h.keys(), []string{"a"})
	assert.Equal(t, h.follower.Rows()[0].Version, daisyfeed.Version(8))
}

func TestLostHistoryIsReadAnew(t *testing.T) {
	h := newHolder(t)
	h.read()
	h.pass(time.Second)
	all := h.handle(daisyfeed.HistoryLost{})
	all = append(all, h.pass(time.Second)...)
	assert.Equal(t, len(of[daisyfeed.ReadRows](all)), 1)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{row("b", 2), row("d", 8)}, AsOf: 9})
	assert.DeepEqual(t, h.keys(), []string{"b", "d"})
}

// A store that was away may have dropped rows whose writers live: they write again
// within two seconds of its return.
func TestRowsThatVanishedWhileTheStoreWasAwayAreKeptForAWhile(t *testing.T) {
	h := newHolder(t)
	h.read()
	h.pass(time.Second)
	h.handle(daisyfeed.ReadFailed{})
	assert.Equal(t, len(of[daisyfeed.SourceLost](h.decisions)), 1)
	h.pass(4 * time.Second)
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{gone("a", 8), gone("b", 9)}, AsOf: 9})
	assert.Equal(t, len(of[daisyfeed.SourceRegained](h.decisions)), 1)
	assert.DeepEqual(t, h.keys(), []string{"a", "b"})
	h.pass(1500 * time.Millisecond)
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{row("a", 10)}, AsOf: 10})
	assert.DeepEqual(t, h.keys(), []string{"a", "b"})
	all := h.pass(time.Second)
	assert.Assert(t, len(of[daisyfeed.Publish](all)) > 0)
	assert.DeepEqual(t, h.keys(), []string{"a"})
}

func TestRowsThatVanishOnACalmDayAreGoneAtOnce(t *testing.T) {
	h := newHolder(t)
	h.read()
	h.pass(time.Second)
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{gone("a", 8)}, AsOf: 8})
	assert.DeepEqual(t, h.keys(), []string{"b"})
}

func TestAVMThatTheStoreRefusesAsksThePeerThatKnowsMore(t *testing.T) {
	h := newHolder(t)
	h.read()
	h.pass(time.Second)
	h.handle(daisyfeed.ReadFailed{})
	h.handle(daisyfeed.PeerKnows{From: "vm-1", Last: 8})
	assert.DeepEqual(t, of[daisyfeed.AskPeer](h.decisions), []daisyfeed.AskPeer{{To: "vm-1", After: 2}})
	h.handle(daisyfeed.PeerGave{From: "vm-1", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{row("c", 8)}, After: 2, Last: 8}})
	assert.DeepEqual(t, h.keys(), []string{"a", "b", "c"})
	assert.Equal(t, len(of[daisyfeed.AskPeer](h.pass(time.Second))), 0)
}

func TestAVMWithoutRowsLearnsAllFromAPeer(t *testing.T) {
	knowing := newHolder(t)
	knowing.read()
	h := newHolder(t)
	h.handle(daisyfeed.ReadFailed{})
	h.handle(daisyfeed.PeerKnows{From: "vm-1", Last: 2})
	ask := of[daisyfeed.AskPeer](h.decisions)
	assert.DeepEqual(t, ask, []daisyfeed.AskPeer{{To: "vm-1"}})
	give := of[daisyfeed.GivePeer](knowing.handle(daisyfeed.PeerAsked{From: "vm-0", After: ask[0].After}))
	assert.Equal(t, len(give), 1)
	assert.Assert(t, give[0].Changes.Whole)
	h.handle(daisyfeed.PeerGave{From: "vm-1", Changes: give[0].Changes})
	assert.DeepEqual(t, h.keys(), []string{"a", "b"})
	assert.Assert(t, h.follower.Whole())
}

// A reader passes on what it reads, each time with the version that it continues.
func TestReadersTellThePeers(t *testing.T) {
	h := newHolder(t)
	h.handle(daisyfeed.DutyChanged{Reader: true, Peers: []daisyvm.Name{"vm-1", "vm-2"}})
	h.read()
	h.pass(time.Second)
	all := h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{row("c", 6)}, AsOf: 6})
	give := of[daisyfeed.GivePeer](all)
	assert.Equal(t, len(give), 2)
	assert.DeepEqual(t, give[0].Changes, daisyfeed.Changes{Rows: []daisyfeed.Row{row("c", 6)}, After: 5, Last: 6})
}

func TestAChangeAfterAGapIsAskedFor(t *testing.T) {
	h := newHolder(t)
	h.read()
	h.handle(daisyfeed.DutyChanged{Reader: false})
	h.handle(daisyfeed.PeerGave{From: "vm-1", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{row("d", 9)}, After: 8, Last: 9}})
	// The change at 7 may be missing.
	assert.DeepEqual(t, h.keys(), []string{"a", "b"})
	ask := of[daisyfeed.AskPeer](h.pass(time.Second))
	assert.Assert(t, len(ask) > 0)
	assert.Equal(t, ask[0].To, daisyvm.Name("vm-1"))
}

func TestGraceIsPassedOnWithTheRows(t *testing.T) {
	h := newHolder(t)
	h.read()
	h.handle(daisyfeed.DutyChanged{Reader: false})
	h.handle(daisyfeed.PeerGave{From: "vm-1", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{gone("a", 6)}, After: 2, Last: 6, Grace: 2 * time.Second}})
	assert.DeepEqual(t, h.keys(), []string{"a", "b"})
	h.pass(3 * time.Second)
	assert.DeepEqual(t, h.keys(), []string{"b"})
}

// Every call to the store has a price.
func TestCallsToTheStore(t *testing.T) {
	peers := make([]daisyvm.Name, 9)
	count := func(place int, answers bool) int {
		reader := place < 2
		h := newHolder(t)
		h.handle(daisyfeed.DutyChanged{Reader: reader, Place: place, Peers: peers})
		h.read()
		calls := 0
		for end := h.now.Add(time.Minute); h.now.Before(end); {
			for _, d := range h.pass(100 * time.Millisecond) {
				if _, ok := d.(daisyfeed.AwaitChanges); !ok {
					continue
				}
				calls++
				if !answers {
					h.handle(daisyfeed.ReadFailed{})
					continue
				}
				if reader {
					h.pass(2500 * time.Millisecond)
				}
				h.handle(daisyfeed.RowsChanged{AsOf: 5})
			}
		}
		return calls
	}
	assert.Assert(t, count(0, true) <= 25, "a reader")
	assert.Assert(t, count(3, true) <= 11, "a VM that takes turns")
	assert.Equal(t, count(8, true), 0, "a VM that others read for")
	assert.Assert(t, count(0, false) <= 90, "a reader whose store is away")
}

// A VM that has read all rows waits for word of who reads on.
func TestAfterTheFirstReadOnlyReadersReadOn(t *testing.T) {
	peers := []daisyvm.Name{"vm-1", "vm-2"}
	for name, k := range map[string]struct {
		duty daisyfeed.DutyChanged
		// calls within a minute, and when the first comes.
		calls int
		after time.Duration
	}{
		"alone":           {duty: daisyfeed.DutyChanged{Reader: true}, calls: 1, after: time.Second},
		"reads for peers": {duty: daisyfeed.DutyChanged{Reader: true, Peers: peers}, calls: 1, after: 300 * time.Millisecond},
		"peers read":      {duty: daisyfeed.DutyChanged{Place: 8, Peers: make([]daisyvm.Name, 9)}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHolder(t)
			h.read()
			assert.Equal(t, len(of[daisyfeed.AwaitChanges](h.pass(300*time.Millisecond))), 0)
			calls := of[daisyfeed.AwaitChanges](h.handle(k.duty))
			calls = append(calls, of[daisyfeed.AwaitChanges](h.pass(k.after))...)
			assert.Equal(t, len(calls), k.calls)
			calls = append(calls, of[daisyfeed.AwaitChanges](h.pass(time.Minute))...)
			assert.Equal(t, len(calls), k.calls)
		})
	}
}

// A store that is silent to both readers is read by another VM within a second, which
// passes on what is news and nothing else.
func TestVMsTakeTurnsBesideTheReaders(t *testing.T) {
	const vms = 10
	var turns []time.Time
	for place := 2; place < vms; place++ {
		h := newHolder(t)
		h.read()
		h.handle(daisyfeed.DutyChanged{Place: place, Peers: make([]daisyvm.Name, vms-1)})
		h.handle(daisyfeed.PeerGave{From: "vm-1", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{row("c", 7)}, After: 2, Last: 7}})
		for end := start.Add(20 * time.Second); h.now.Before(end); {
			if len(of[daisyfeed.AwaitChanges](h.pass(50*time.Millisecond))) == 0 {
				continue
			}
			turns = append(turns, h.now)
			give := of[daisyfeed.GivePeer](h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{row("c", 7)}, AsOf: 7}))
			assert.Equal(t, len(give), 0, "no news")
		}
		give := of[daisyfeed.GivePeer](h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{row("c", 7), row("d", 9)}, AsOf: 9}))
		assert.Equal(t, len(give), vms-1)
		assert.DeepEqual(t, give[0].Changes, daisyfeed.Changes{Rows: []daisyfeed.Row{row("d", 9)}, After: 7, Last: 9})
	}
	slices.SortFunc(turns, time.Time.Compare)
	assert.Assert(t, len(turns) <= 20, "%d reads in 20 s", len(turns))
	for i, at := range turns[1:] {
		assert.Assert(t, at.Sub(turns[i]) <= 1100*time.Millisecond, "nobody reads from %v to %v", turns[i], at)
	}
}

func TestReadersAreTheSameForAllAndPassOverBlindOnes(t *testing.T) {
	vms := []daisyvm.VM{{Name: "vm-0"}, {Name: "vm-1"}, {Name: "vm-2"}, {Name: "vm-3"}}
	readers := func(blind ...daisyvm.Name) []string {
		var names []string
		count := 0
		for _, v := range vms {
			r := daisyfeed.NewReaders(v.Name)
			r.SetVMs(vms, nil)
			for _, b := range blind {
				r.SetBlind(b, true)
			}
			duty, _ := r.Duty()
			if duty.Reader {
				count++
			}
			if names != nil {
				assert.DeepEqual(t, r.Names(), names)
			}
			names = r.Names()
		}
		assert.Equal(t, count, 2)
		return names
	}
	first := readers()
	second := readers(daisyvm.Name(first[0]))
	assert.Equal(t, second[0], first[1])
	assert.Assert(t, second[1] != first[0])
	assert.DeepEqual(t, readers("vm-0", "vm-1", "vm-2", "vm-3"), first)
}
