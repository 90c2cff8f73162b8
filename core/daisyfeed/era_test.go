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
