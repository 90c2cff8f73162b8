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

// harness drives a follower as its controller does, without a store.
type harness struct {
	t        *testing.T
	now      time.Time
	follower *daisyfeed.Follower
	// decisions holds the result of the last event.
	decisions []daisyfeed.Decision
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, now: start, follower: daisyfeed.NewFollower()}
	h.handle(daisyfeed.TimePassed{})
	return h
}

func (h *harness) handle(event daisyfeed.Event) []daisyfeed.Decision {
	h.decisions = append([]daisyfeed.Decision(nil), h.follower.Handle(h.now, event)...)
	return h.decisions
}

// advance moves the time and returns all decisions made on the way.
func (h *harness) advance(length time.Duration) []daisyfeed.Decision {
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

func decisionsOf[D daisyfeed.Decision](all []daisyfeed.Decision) []D {
	var matching []D
	for _, d := range all {
		if x, ok := d.(D); ok {
			matching = append(matching, x)
		}
	}
	return matching
}

func (h *harness) keys() []string {
	keys := []string{}
	for _, r := range h.follower.Rows() {
		keys = append(keys, r.Key)
	}
	return keys
}

func row(key string, version daisyfeed.Version) daisyfeed.Row {
	return daisyfeed.Row{Key: key, Version: version, Value: []byte(key)}
}

// A VM that cannot read the store takes changes from one that can. If the store was
// never unavailable to the sender, a removal takes effect at once on the receiver too.
func TestRemovalFromPeerWithoutGraceAppliesAtOnceDuringOutage(t *testing.T) {
	h := newHarness(t)
	h.readFirstRows()
	h.handle(daisyfeed.ReadFailed{})
	h.advance(time.Second)
	h.handle(daisyfeed.ReadFailed{})
	h.handle(daisyfeed.ChangesReceived{From: "vm-2", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{removed("a", 6)}, After: 2, Last: 6}})
	assert.DeepEqual(t, h.keys(), []string{"b"})
	h.handle(daisyfeed.ChangesReceived{From: "vm-2", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{row("c", 8)}, Last: 8, Complete: true}})
	assert.DeepEqual(t, h.keys(), []string{"c"})
}

func removed(key string, version daisyfeed.Version) daisyfeed.Row {
	return daisyfeed.Row{Key: key, Version: version, Removed: true}
}

// readFirstRows delivers the first rows: a at 1 and b at 2, as of 5.
func (h *harness) readFirstRows() {
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{row("a", 1), row("b", 2)}, AsOf: 5})
}

func TestFollowerReadsAllRowsThenChanges(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, len(decisionsOf[daisyfeed.ReadRows](h.decisions)), 1)
	h.readFirstRows()
	assert.Equal(t, len(decisionsOf[daisyfeed.Publish](h.decisions)), 1)
	await := decisionsOf[daisyfeed.AwaitChanges](h.advance(time.Second))
	assert.DeepEqual(t, await, []daisyfeed.AwaitChanges{{After: 5, Wait: 2500 * time.Millisecond}})
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{row("c", 6), removed("a", 7)}, AsOf: 7})
	assert.DeepEqual(t, h.keys(), []string{"b", "c"})
	assert.Equal(t, h.follower.Last(), daisyfeed.Version(7))
}

func TestOlderChangesDoNotOverwriteLaterOnes(t *testing.T) {
	h := newHarness(t)
	h.readFirstRows()
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{row("a", 8), removed("b", 9)}, AsOf: 9})
	h.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{row("a", 6), row("b", 7)}, After: 5, Last: 7}})
	assert.DeepEqual(t, h.keys(), []string{"a"})
	assert.Equal(t, h.follower.Rows()[0].Version, daisyfeed.Version(8))
}

// A VM that has just started knows no removals. Rows that were read before a removal, and
// that arrive after a full set without the row, must not bring it back.
func TestLateRowsDoNotBringBackARemovedOne(t *testing.T) {
	before := []daisyfeed.Row{row("a", 3), row("left", 7)}
	cases := map[string]daisyfeed.Event{
		"full set of a peer that is behind": daisyfeed.ChangesReceived{From: "vm-2", Changes: daisyfeed.Changes{Rows: before, Last: 8, Complete: true}},
		"changes of a peer that is behind":  daisyfeed.ChangesReceived{From: "vm-2", Changes: daisyfeed.Changes{Rows: before[1:], After: 5, Last: 7}},
		"slow answer of the store":          daisyfeed.RowsRead{Rows: before, AsOf: 8},
	}
	for name, late := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{row("a", 3), row("b", 10)}, Last: 10, Complete: true}})
			h.handle(late)
			assert.DeepEqual(t, h.keys(), []string{"a", "b"})
			assert.Equal(t, h.follower.Last(), daisyfeed.Version(10))
			h.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{row("left", 12)}, After: 10, Last: 12}})
			assert.DeepEqual(t, h.keys(), []string{"a", "b", "left"})
		})
	}
}

func TestLostHistoryTriggersFullRead(t *testing.T) {
	h := newHarness(t)
	h.readFirstRows()
	h.advance(time.Second)
	all := h.handle(daisyfeed.HistoryLost{})
	all = append(all, h.advance(time.Second)...)
	assert.Equal(t, len(decisionsOf[daisyfeed.ReadRows](all)), 1)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{row("b", 2), row("d", 8)}, AsOf: 9})
	assert.DeepEqual(t, h.keys(), []string{"b", "d"})
}

// A store that was unavailable may have dropped rows whose writers are alive. They write
// the rows again within 2 s of its return.
func TestRowsRemovedDuringOutageAreKeptForGracePeriod(t *testing.T) {
	h := newHarness(t)
	h.readFirstRows()
	h.advance(time.Second)
	h.handle(daisyfeed.ReadFailed{})
	assert.Equal(t, len(decisionsOf[daisyfeed.StoreLost](h.decisions)), 1)
	h.advance(4 * time.Second)
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{removed("a", 8), removed("b", 9)}, AsOf: 9})
	assert.Equal(t, len(decisionsOf[daisyfeed.StoreRecovered](h.decisions)), 1)
	assert.DeepEqual(t, h.keys(), []string{"a", "b"})
	h.advance(1500 * time.Millisecond)
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{row("a", 10)}, AsOf: 10})
	assert.DeepEqual(t, h.keys(), []string{"a", "b"})
	all := h.advance(time.Second)
	assert.Assert(t, len(decisionsOf[daisyfeed.Publish](all)) > 0)
	assert.DeepEqual(t, h.keys(), []string{"a"})
}

func TestRowsRemovedWithoutOutageAreDroppedAtOnce(t *testing.T) {
	h := newHarness(t)
	h.readFirstRows()
	h.advance(time.Second)
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{removed("a", 8)}, AsOf: 8})
	assert.DeepEqual(t, h.keys(), []string{"b"})
}

func TestFollowerAsksPeerThatIsAheadDuringOutage(t *testing.T) {
	h := newHarness(t)
	h.readFirstRows()
	h.advance(time.Second)
	h.handle(daisyfeed.ReadFailed{})
	h.handle(daisyfeed.PeerVersionKnown{From: "vm-1", Last: 8})
	assert.DeepEqual(t, decisionsOf[daisyfeed.RequestChanges](h.decisions), []daisyfeed.RequestChanges{{To: "vm-1", After: 2}})
	h.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{row("c", 8)}, After: 2, Last: 8}})
	assert.DeepEqual(t, h.keys(), []string{"a", "b", "c"})
	assert.Equal(t, len(decisionsOf[daisyfeed.RequestChanges](h.advance(time.Second))), 0)
}

func TestFollowerWithoutRowsReceivesAllFromPeer(t *testing.T) {
	peer := newHarness(t)
	peer.readFirstRows()
	h := newHarness(t)
	h.handle(daisyfeed.ReadFailed{})
	h.handle(daisyfeed.PeerVersionKnown{From: "vm-1", Last: 2})
	requests := decisionsOf[daisyfeed.RequestChanges](h.decisions)
	assert.DeepEqual(t, requests, []daisyfeed.RequestChanges{{To: "vm-1"}})
	sent := decisionsOf[daisyfeed.SendChanges](peer.handle(daisyfeed.ChangesRequested{From: "vm-0", After: requests[0].After}))
	assert.Equal(t, len(sent), 1)
	assert.Assert(t, sent[0].Changes.Complete)
	h.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: sent[0].Changes})
	assert.DeepEqual(t, h.keys(), []string{"a", "b"})
	assert.Assert(t, h.follower.Complete())
}

// A reader sends on the changes that it reads, with the version that they follow.
func TestReaderSendsChangesToPeers(t *testing.T) {
	h := newHarness(t)
	h.handle(daisyfeed.RoleChanged{Reader: true, Peers: []daisyvm.Name{"vm-1", "vm-2"}})
	h.readFirstRows()
	h.advance(time.Second)
	all := h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{row("c", 6)}, AsOf: 6})
	sent := decisionsOf[daisyfeed.SendChanges](all)
	assert.Equal(t, len(sent), 2)
	assert.DeepEqual(t, sent[0].Changes, daisyfeed.Changes{Rows: []daisyfeed.Row{row("c", 6)}, After: 5, Last: 6, Bookmark: daisyfeed.Bookmark{Version: 6}})
}

func TestGapBeforePeerChangesIsRequested(t *testing.T) {
	h := newHarness(t)
	h.readFirstRows()
	h.handle(daisyfeed.RoleChanged{Reader: false})
	h.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{row("d", 9)}, After: 8, Last: 9}})
	// The change at version 7 may be missing, so nothing is applied yet.
	assert.DeepEqual(t, h.keys(), []string{"a", "b"})
	requests := decisionsOf[daisyfeed.RequestChanges](h.advance(time.Second))
	assert.Assert(t, len(requests) > 0)
	assert.Equal(t, requests[0].To, daisyvm.Name("vm-1"))
}

func TestGracePeriodIsTakenFromPeer(t *testing.T) {
	h := newHarness(t)
	h.readFirstRows()
	h.handle(daisyfeed.RoleChanged{Reader: false})
	h.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{removed("a", 6)}, After: 2, Last: 6, Grace: 2 * time.Second}})
	assert.DeepEqual(t, h.keys(), []string{"a", "b"})
	h.advance(3 * time.Second)
	assert.DeepEqual(t, h.keys(), []string{"b"})
}

// Every call to the store has a price, so the calls per minute of all VMs are bounded.
func TestStoreCallsPerMinuteAreBounded(t *testing.T) {
	peers := make([]daisyvm.Name, 9)
	count := func(position int, answers bool) int {
		h := newHarness(t)
		h.handle(daisyfeed.RoleChanged{Reader: position < 2, Second: position == 1, Position: position, Peers: peers})
		h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{row("a", 1), row("b", 2)}, AsOf: 5, Clock: time.Hour})
		calls := 0
		for end := h.now.Add(time.Minute); h.now.Before(end); {
			if position > 1 && answers {
				h.handle(confirmed(2, 5, time.Hour+h.now.Sub(start)))
			}
			for _, d := range decisionsOf[daisyfeed.AwaitChanges](h.advance(100 * time.Millisecond)) {
				calls++
				if !answers {
					h.handle(daisyfeed.ReadFailed{})
					continue
				}
				h.advance(d.Wait)
				h.handle(daisyfeed.RowsChanged{AsOf: 5, Clock: time.Hour + h.now.Sub(start)})
			}
		}
		return calls
	}
	first, second := count(0, true), count(1, true)
	assert.Assert(t, first <= 75, "%d calls of the first reader", first)
	assert.Assert(t, second <= 25, "%d calls of the second reader", second)
	for position := 2; position < 10; position++ {
		assert.Equal(t, count(position, true), 0, "a VM that readers confirm its rows to")
	}
	assert.Assert(t, count(0, false) <= 90, "a reader during an outage")
}

// An outage of the store must not be read by all VMs, however many there are: those that are
// no readers learn its end from the readers.
func TestVMsThatAreNoReadersSpareAStoreInTrouble(t *testing.T) {
	const vms = 123
	peers := make([]daisyvm.Name, vms-1)
	calls := 0
	for position := range vms {
		h := newHarness(t)
		h.readFirstRows()
		h.handle(daisyfeed.RoleChanged{Reader: position < 2, Second: position == 1, Position: position, Peers: peers})
		h.advance(time.Second)
		// Each VM has become a reader as those before it got no reply, and failed too.
		if position >= 2 {
			h.handle(daisyfeed.RoleChanged{Reader: true, Position: position, Peers: peers})
		}
		h.handle(daisyfeed.ReadFailed{})
		h.handle(daisyfeed.RoleChanged{Reader: position < 2, Second: position == 1, Position: position, Peers: peers})
		for end := h.now.Add(8 * time.Second); h.now.Before(end); {
			for range decisionsOf[daisyfeed.AwaitChanges](h.advance(50 * time.Millisecond)) {
				calls++
				h.handle(daisyfeed.ReadFailed{})
			}
		}
		h.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{row("c", 6)}, After: 2, Last: 6}})
		assert.DeepEqual(t, h.keys(), []string{"a", "b", "c"})
	}
	assert.Assert(t, calls <= 2*vms, "%d calls of %d VMs in an outage of 8 s", calls, vms)
}

// A store may come back to some VMs only, and not to the readers: another VM has to notice it
// within a second, also in a small fleet.
func TestStoreThatComesBackToSomeVMsIsNoticed(t *testing.T) {
	for _, vms := range []int{5, 123} {
		noticed := 0
		for position := 2; position < min(vms, 8); position++ {
			h := newHarness(t)
			h.readFirstRows()
			h.handle(daisyfeed.RoleChanged{Reader: true, Position: position, Peers: make([]daisyvm.Name, vms-1)})
			for range 5 {
				h.handle(daisyfeed.ReadFailed{})
				h.advance(800 * time.Millisecond)
			}
			h.handle(daisyfeed.ReadFailed{})
			h.handle(daisyfeed.RoleChanged{Position: position, Peers: make([]daisyvm.Name, vms-1)})
			noticed += len(decisionsOf[daisyfeed.AwaitChanges](h.advance(time.Second)))
		}
		assert.Equal(t, noticed, min(vms, 8)-2, "%d VMs", vms)
	}
}

// A VM that becomes a reader during an outage notices its end as soon as the readers before.
func TestVMThatBecomesReaderInAnOutageReadsAgainSoon(t *testing.T) {
	h := newHarness(t)
	h.readFirstRows()
	peers := make([]daisyvm.Name, 122)
	h.handle(daisyfeed.RoleChanged{Position: 9, Peers: peers})
	h.handle(daisyfeed.ReadFailed{})
	assert.Equal(t, len(decisionsOf[daisyfeed.AwaitChanges](h.advance(2*time.Second))), 0)
	h.handle(daisyfeed.RoleChanged{Reader: true, Peers: peers})
	assert.Equal(t, len(decisionsOf[daisyfeed.AwaitChanges](h.advance(time.Second))), 1)
}

// Changes in quick succession cost the calls of one reader: the second one gets them from the
// first, and takes over within half a second if the first gets no replies.
func TestSecondReaderLeavesBurstsOfChangesToTheFirst(t *testing.T) {
	calls := func(second, passedOn bool) (count int, keys []string) {
		h := newHarness(t)
		h.handle(daisyfeed.RoleChanged{Reader: true, Second: second, Peers: []daisyvm.Name{"vm-1"}})
		h.readFirstRows()
		for version := daisyfeed.Version(6); version < 106; version++ {
			change := []daisyfeed.Row{row("c", version)}
			if passedOn {
				h.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: daisyfeed.Changes{Rows: change, After: version - 1, Last: version}})
			}
			for _, await := range decisionsOf[daisyfeed.AwaitChanges](h.advance(100 * time.Millisecond)) {
				count++
				rows := change
				if await.After >= version {
					rows = nil
				}
				h.handle(daisyfeed.RowsChanged{Rows: rows, AsOf: version})
			}
		}
		return count, h.keys()
	}
	first, _ := calls(false, false)
	second, _ := calls(true, true)
	alone, keys := calls(true, false)
	assert.Assert(t, first >= 90, "%d calls of the first reader in 10 s", first)
	assert.Assert(t, second <= 21, "%d calls of the second reader in 10 s", second)
	assert.Assert(t, alone <= 21, "%d calls of the second reader in 10 s", alone)
	assert.DeepEqual(t, keys, []string{"a", "b", "c"})
}

// A VM that has read all rows waits until it knows who the readers are.
func TestOnlyReadersContinueAfterFirstRead(t *testing.T) {
	peers := []daisyvm.Name{"vm-1", "vm-2"}
	for name, k := range map[string]struct {
		role daisyfeed.RoleChanged
		// calls is the number of calls within a minute, after when the first one comes.
		calls int
		after time.Duration
		// confirms is set if another VM reads and confirms that the rows are current.
		confirms bool
	}{
		"alone":           {role: daisyfeed.RoleChanged{Reader: true}, calls: 1, after: time.Second},
		"reads for peers": {role: daisyfeed.RoleChanged{Reader: true, Peers: peers}, calls: 1, after: 300 * time.Millisecond},
		"peers read":      {role: daisyfeed.RoleChanged{Position: 8, Peers: make([]daisyvm.Name, 9)}, confirms: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{row("a", 1), row("b", 2)}, AsOf: 5, Clock: time.Hour})
			assert.Equal(t, len(decisionsOf[daisyfeed.AwaitChanges](h.advance(300*time.Millisecond))), 0)
			calls := decisionsOf[daisyfeed.AwaitChanges](h.handle(k.role))
			calls = append(calls, decisionsOf[daisyfeed.AwaitChanges](h.advance(k.after))...)
			assert.Equal(t, len(calls), k.calls)
			for end := h.now.Add(time.Minute); h.now.Before(end); {
				if k.confirms {
					h.handle(confirmed(2, 5, time.Hour+h.now.Sub(start)))
				}
				calls = append(calls, decisionsOf[daisyfeed.AwaitChanges](h.advance(900*time.Millisecond))...)
			}
			assert.Equal(t, len(calls), k.calls)
		})
	}
}

// If no reader confirms that the rows are current, the other VMs ask the store one after the
// other, each in time for a change to be known within 2 s. They send on only the changes that
// were not known, and spare the others the question if there are none.
func TestOtherVMsReadIfTheRowsAreNotConfirmed(t *testing.T) {
	const vms = 10
	last := start
	for position := 2; position < vms; position++ {
		h := newHarness(t)
		h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{row("a", 1), row("b", 2)}, AsOf: 5, Clock: time.Hour})
		h.handle(daisyfeed.RoleChanged{Position: position, Peers: make([]daisyvm.Name, vms-1)})
		for range 10 {
			h.handle(confirmed(2, 5, time.Hour+h.now.Sub(start)))
			assert.Equal(t, len(decisionsOf[daisyfeed.AwaitChanges](h.advance(900*time.Millisecond))), 0)
		}
		h.handle(confirmed(2, 5, time.Hour+h.now.Sub(start)))
		unconfirmedSince := h.now
		for len(decisionsOf[daisyfeed.AwaitChanges](h.advance(10*time.Millisecond))) == 0 {
			assert.Assert(t, h.now.Sub(unconfirmedSince) <= 1600*time.Millisecond, "VM %d", position)
		}
		assert.Assert(t, h.now.After(last), "VM %d reads with the one before", position)
		last = h.now
		sent := decisionsOf[daisyfeed.SendChanges](h.handle(daisyfeed.RowsChanged{AsOf: 6, Clock: time.Hour + h.now.Sub(start)}))
		assert.Equal(t, len(sent), vms-1)
		bookmark := daisyfeed.Bookmark{Version: 6, Clock: time.Hour + h.now.Sub(start)}
		assert.DeepEqual(t, sent[0].Changes, daisyfeed.Changes{After: 2, Last: 2, Bookmark: bookmark})
		h.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{row("c", 7)}, After: 2, Last: 7}})
		h.advance(2 * time.Second)
		bookmark = daisyfeed.Bookmark{Version: 9, Clock: time.Hour + h.now.Sub(start)}
		sent = decisionsOf[daisyfeed.SendChanges](h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{row("c", 7), row("d", 9)}, AsOf: 9, Clock: bookmark.Clock}))
		assert.Equal(t, len(sent), vms-1)
		assert.DeepEqual(t, sent[0].Changes, daisyfeed.Changes{Rows: []daisyfeed.Row{row("d", 9)}, After: 7, Last: 9, Bookmark: bookmark})
	}
}

func TestAllVMsSelectSameReadersAndSkipUnavailableOnes(t *testing.T) {
	vms := []daisyvm.VM{{Name: "vm-0"}, {Name: "vm-1"}, {Name: "vm-2"}, {Name: "vm-3"}}
	readers := func(unavailable ...daisyvm.Name) []string {
		var names []string
		count := 0
		for _, v := range vms {
			r := daisyfeed.NewReaders(v.Name)
			r.SetVMs(vms, nil)
			for _, b := range unavailable {
				r.SetStoreUnavailable(b, true)
			}
			role, _ := r.Role()
			if role.Reader {
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
	// A VM with a fifth of the processor of another has more urgent work.
	for i := range vms {
		vms[i].Capacity = daisyvm.NewCapacity(0.16, 0)
	}
	large := slices.IndexFunc(vms, func(v daisyvm.VM) bool { return !slices.Contains(first, string(v.Name)) })
	vms[large].Capacity = daisyvm.NewCapacity(0.8, 0)
	assert.DeepEqual(t, readers(), []string{string(vms[large].Name), first[0]})
}
