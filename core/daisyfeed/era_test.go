package daisyfeed_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyfeed"
)

// written returns a row with a number of its writer's own.
func written(key string, version daisyfeed.Version, sequence uint64) daisyfeed.Row {
	r := row(key, version)
	r.Written = daisyfeed.Written{Started: 1, Sequence: sequence}
	return r
}

// sequences returns the writers' numbers of the rows in force by key.
func (h *harness) sequences() map[string]uint64 {
	all := make(map[string]uint64)
	for _, r := range h.follower.Rows() {
		all[r.Key] = r.Written.Sequence
	}
	return all
}

// Guards against a confirmed change that is not in force because a store that was restored
// from a backup gave it a version that it had given out before.
func TestChangeWithAReusedVersionIsInForce(t *testing.T) {
	h := newHarness(t)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{written("config", 39, 9)}, AsOf: 39})
	h.advance(time.Second)
	h.handle(daisyfeed.HistoryLost{Era: 2})
	h.advance(time.Second)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{written("config", 37, 4)}, AsOf: 37, Era: 2})
	h.advance(5 * time.Second)
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{written("config", 38, 11)}, AsOf: 38, Era: 2})
	assert.DeepEqual(t, h.sequences(), map[string]uint64{"config": 11})
}

// Guards against changes that another VM read from the restored store and that this VM
// ignores, because it knows a higher version of before.
func TestPeerInALaterEraIsAhead(t *testing.T) {
	h := newHarness(t)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{written("a", 39, 9)}, AsOf: 39})
	h.handle(daisyfeed.ReadFailed{})
	h.handle(daisyfeed.PeerVersionKnown{From: "vm-2", Last: 38, Era: 2})
	requests := decisionsOf[daisyfeed.RequestChanges](append(h.decisions, h.advance(time.Second)...))
	assert.Assert(t, len(requests) > 0)
	h.handle(daisyfeed.ChangesReceived{From: "vm-2", Changes: daisyfeed.Changes{
		Rows: []daisyfeed.Row{written("a", 38, 10)}, Last: 38, Era: 2, Complete: true,
	}})
	assert.DeepEqual(t, h.sequences(), map[string]uint64{"a": 10})
}

// restore lets the store come back in era 2 with the given rows.
func (h *harness) restore(asOf daisyfeed.Version, rows ...daisyfeed.Row) {
	h.handle(daisyfeed.HistoryLost{Era: 2})
	h.advance(200 * time.Millisecond)
	h.handle(daisyfeed.RowsRead{Rows: rows, AsOf: asOf, Era: 2})
}

// newConfirmedHarness returns a harness of a follower of rows that operators confirmed.
func newConfirmedHarness(t *testing.T) *harness {
	h := &harness{t: t, now: start, follower: daisyfeed.NewConfirmedFollower()}
	h.handle(daisyfeed.TimePassed{})
	return h
}

// Guards against a confirmed configuration that comes back older with a restored store.
func TestConfirmedRowHoldsUntilALaterOneIsRead(t *testing.T) {
	h := newConfirmedHarness(t)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{written("config", 39, 9)}, AsOf: 39})
	h.advance(time.Second)
	h.restore(37, written("config", 37, 4))
	assert.DeepEqual(t, h.sequences(), map[string]uint64{"config": 9})
	h.advance(time.Hour)
	assert.DeepEqual(t, h.sequences(), map[string]uint64{"config": 9})
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{written("config", 38, 9)}, AsOf: 38, Era: 2})
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{written("config", 39, 10)}, AsOf: 39, Era: 2})
	assert.DeepEqual(t, h.sequences(), map[string]uint64{"config": 10})
}

// Guards against requests to an endpoint that said it drains, because a restored store has
// an older registration of it.
func TestOlderRegistrationOfARestoredStoreIsNotInForce(t *testing.T) {
	h := newHarness(t)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{written("a", 39, 9), written("b", 38, 3)}, AsOf: 39})
	h.advance(time.Second)
	h.restore(37, written("a", 30, 5), written("b", 31, 3))
	assert.DeepEqual(t, h.sequences(), map[string]uint64{"a": 9, "b": 3})
	h.advance(5 * time.Second)
	assert.DeepEqual(t, h.sequences(), map[string]uint64{"a": 9, "b": 3})
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{written("a", 38, 10)}, AsOf: 38, Era: 2})
	assert.DeepEqual(t, h.sequences(), map[string]uint64{"a": 10, "b": 3})
}

// A row that its writer doesn't write again lapses before the last state stops to hold.
func TestStateOfTheLastEraStopsToHold(t *testing.T) {
	h := newHarness(t)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{written("a", 39, 9)}, AsOf: 39})
	h.advance(time.Second)
	h.restore(37, written("a", 30, 5))
	published := decisionsOf[daisyfeed.Publish](h.advance(time.Minute))
	assert.DeepEqual(t, h.sequences(), map[string]uint64{"a": 5})
	assert.Equal(t, len(published), 1)
}

// Guards against requests to an endpoint that was removed, because a restored store has it
// again.
func TestRemovedRowOfARestoredStoreIsNotInForce(t *testing.T) {
	h := newHarness(t)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{written("a", 30, 5), written("b", 31, 1)}, AsOf: 31})
	h.advance(time.Second)
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{removed("a", 32)}, AsOf: 32})
	h.advance(time.Second)
	h.restore(31, written("a", 30, 5), written("b", 31, 1))
	assert.DeepEqual(t, h.sequences(), map[string]uint64{"b": 1})
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{written("a", 32, 6)}, AsOf: 32, Era: 2})
	assert.DeepEqual(t, h.sequences(), map[string]uint64{"a": 6, "b": 1})
}

// Guards against an endpoint that is lost because its registration is younger than the
// backup. It writes it again within the grace period, or is gone.
func TestRowThatTheRestoredStoreLacksIsKeptForGracePeriod(t *testing.T) {
	h := newHarness(t)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{written("a", 30, 5), written("b", 39, 1), written("c", 38, 1)}, AsOf: 39})
	h.advance(time.Second)
	h.restore(37, written("a", 30, 5))
	assert.DeepEqual(t, h.keys(), []string{"a", "b", "c"})
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{written("b", 38, 2)}, AsOf: 38, Era: 2})
	h.advance(3 * time.Second)
	assert.DeepEqual(t, h.keys(), []string{"a", "b"})
}

// Guards against changes of the last era that arrive late, from the store or from a VM
// that has not noticed the restore.
func TestLateChangesOfTheLastEraAreIgnored(t *testing.T) {
	h := newHarness(t)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{written("a", 39, 9)}, AsOf: 39, Era: 1})
	h.advance(time.Second)
	h.restore(37, written("a", 38, 10))
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{written("a", 50, 8)}, AsOf: 50, Era: 1})
	h.handle(daisyfeed.ChangesReceived{From: "vm-2", Changes: daisyfeed.Changes{Rows: []daisyfeed.Row{removed("a", 60)}, After: 39, Last: 60, Era: 1}})
	h.handle(daisyfeed.ChangesReceived{From: "vm-2", Changes: daisyfeed.Changes{Last: 60, Era: 1, Complete: true}})
	h.handle(daisyfeed.PeerVersionKnown{From: "vm-2", Last: 60, Era: 1})
	assert.DeepEqual(t, h.sequences(), map[string]uint64{"a": 10})
	assert.Equal(t, len(decisionsOf[daisyfeed.RequestChanges](h.advance(time.Second))), 0)
}

// Guards against a VM that starts after the restore and takes the older state of the store,
// while the other VMs know a later one.
func TestNewVMLearnsWhatHoldsFromPeer(t *testing.T) {
	h := newConfirmedHarness(t)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{written("config", 39, 9)}, AsOf: 39})
	h.advance(time.Second)
	h.restore(37, written("config", 37, 4))
	sent := decisionsOf[daisyfeed.SendChanges](h.handle(daisyfeed.ChangesRequested{From: "vm-2"}))
	assert.Equal(t, len(sent), 1)

	fresh := newConfirmedHarness(t)
	fresh.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: sent[0].Changes})
	assert.DeepEqual(t, fresh.sequences(), map[string]uint64{"config": 9})

	late := newConfirmedHarness(t)
	late.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{written("config", 37, 4)}, AsOf: 37, Era: 2})
	asked := decisionsOf[daisyfeed.RequestChanges](late.handle(daisyfeed.PeerVersionKnown{From: "vm-1", Last: 37, Era: 2, Holding: true}))
	assert.DeepEqual(t, asked, []daisyfeed.RequestChanges{{To: "vm-1", Era: 2}})
	late.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: sent[0].Changes})
	assert.Assert(t, len(decisionsOf[daisyfeed.Publish](late.decisions)) > 0)
	assert.DeepEqual(t, late.sequences(), map[string]uint64{"config": 9})
}

// Guards against all rows vanishing, and against a wake-up that is never over, when the
// store fails after it said that it was restored and before it could be read.
func TestStateHoldsWhileTheRestoredStoreCannotBeRead(t *testing.T) {
	h := newHarness(t)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{written("a", 39, 9)}, AsOf: 39})
	h.advance(time.Second)
	h.handle(daisyfeed.HistoryLost{Era: 2})
	for range 120 {
		h.advance(time.Second)
		h.handle(daisyfeed.ReadFailed{})
		assert.DeepEqual(t, h.sequences(), map[string]uint64{"a": 9})
		assert.Assert(t, h.follower.NextWake().After(h.now))
	}
	h.handle(daisyfeed.RowsRead{AsOf: 30, Era: 2})
	assert.DeepEqual(t, h.sequences(), map[string]uint64{"a": 9})
	h.advance(3 * time.Second)
	assert.DeepEqual(t, h.sequences(), map[string]uint64{})
}

// Guards against a store whose answers are ignored for ever after one without an era.
func TestAnswerWithoutEraIsOfTheCurrentOne(t *testing.T) {
	h := newHarness(t)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{written("a", 39, 9)}, AsOf: 39, Era: 3})
	h.advance(time.Second)
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{written("a", 40, 10)}, AsOf: 40})
	assert.DeepEqual(t, h.sequences(), map[string]uint64{"a": 10})
}
