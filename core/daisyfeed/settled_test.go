package daisyfeed_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyfeed"
)

func configuration(version daisyfeed.Version, revision uint64) daisyfeed.Row {
	return daisyfeed.Row{Key: "config", Version: version, Written: daisyfeed.Written{Sequence: revision}}
}

// Guards against a VM that takes what a restored store has for the newest configuration,
// although others have a later one in force.
func TestLaterConfigurationElsewhereIsNoticedAfterARestore(t *testing.T) {
	for _, started := range []bool{false, true} {
		h := &harness{t: t, now: start, follower: daisyfeed.NewConfirmedFollower()}
		h.handle(daisyfeed.TimePassed{})
		if !started {
			h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{configuration(4, 3)}, AsOf: 4, Era: 1})
			h.advance(time.Second)
			assert.Assert(t, h.follower.Settled())
		}
		h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{configuration(4, 3)}, AsOf: 4, Era: 2})
		assert.Assert(t, !h.follower.Settled())
		peer := daisyfeed.PeerVersionKnown{From: "vm-1", Last: 4, Era: 2, Holding: true, InForce: daisyfeed.Written{Sequence: 5}}
		asked := decisionsOf[daisyfeed.RequestChanges](h.handle(peer))
		assert.Equal(t, len(asked), 1, "started %t", started)
		assert.Assert(t, h.follower.Outdated())
		h.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: daisyfeed.Changes{
			Complete: true, Era: 2, Last: 4, Rows: []daisyfeed.Row{configuration(4, 3)}, Held: []daisyfeed.Row{configuration(9, 5)},
		}})
		assert.Assert(t, h.follower.Settled() && !h.follower.Outdated())
		assert.Equal(t, h.follower.Rows()[0].Written.Sequence, uint64(5))
	}
}

// Guards against a VM without peers that never trusts a store with an era, and one that finds
// itself outdated because a peer has read a change before it.
func TestVMSettlesWithoutARestore(t *testing.T) {
	h := newHarness(t)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{configuration(4, 3)}, AsOf: 4, Era: 1})
	h.handle(daisyfeed.PeerVersionKnown{From: "vm-1", Last: 5, Era: 1, InForce: daisyfeed.Written{Sequence: 4}})
	assert.Assert(t, !h.follower.Settled() && !h.follower.Outdated())
	h.advance(600 * time.Millisecond)
	assert.Assert(t, h.follower.Settled() && !h.follower.Outdated())
}

// Guards against a VM that misses changes, because it asked for those after a version of an
// era that has ended in the meantime.
func TestReplyToARequestOfAnEarlierEraIsNotApplied(t *testing.T) {
	h := newHarness(t)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{configuration(10, 3)}, AsOf: 10, Era: 1, Clock: time.Hour})
	h.advance(2 * time.Second)
	h.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: daisyfeed.Changes{
		Complete: true, Era: 2, Last: 8, Rows: []daisyfeed.Row{configuration(8, 2)},
	}})
	// The store had version 9 of the second era by then, which the request left out.
	h.handle(daisyfeed.RowsChanged{Rows: []daisyfeed.Row{row("other", 11)}, AsOf: 11, Era: 2, Clock: time.Minute})
	assert.Equal(t, h.follower.Last(), daisyfeed.Version(8))
	assert.Equal(t, h.follower.Bookmark(), daisyfeed.Bookmark{})
}
