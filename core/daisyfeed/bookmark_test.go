package daisyfeed_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisyvm"
)

// confirmed returns changes without rows that show as of when the rows of a peer are current.
func confirmed(last, version daisyfeed.Version, clock time.Duration) daisyfeed.ChangesReceived {
	return daisyfeed.ChangesReceived{From: "vm-1", Changes: daisyfeed.Changes{
		After: last, Last: last, Bookmark: daisyfeed.Bookmark{Version: version, Clock: clock},
	}}
}

// newReadHarness returns a harness that has read rows up to version 2 when the store's clock
// showed an hour.
func newReadHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{row("a", 1), row("b", 2)}, AsOf: 2, Clock: time.Hour})
	assert.Equal(t, h.follower.CurrentAsOf(), start)
	return h
}

func TestBookmarkOfAPeerShowsHowOldTheRowsAre(t *testing.T) {
	h := newReadHarness(t)
	h.now = start.Add(5 * time.Second)
	h.handle(confirmed(2, 9, time.Hour+4*time.Second))
	assert.Equal(t, h.follower.CurrentAsOf(), start.Add(4*time.Second))
	// One that was under way for long shows nothing new.
	h.handle(confirmed(2, 8, time.Hour+3*time.Second))
	assert.Equal(t, h.follower.CurrentAsOf(), start.Add(4*time.Second))
}

// Guards against rows that are taken for current although a change before the bookmark is
// missing, or the bookmark is of another era of the store.
func TestBookmarkCountsOnlyForWhatIsKnown(t *testing.T) {
	for name, c := range map[string]daisyfeed.Changes{
		"change missing": {After: 5, Last: 5, Bookmark: daisyfeed.Bookmark{Version: 9, Clock: 2 * time.Hour}},
		"later era":      {After: 2, Last: 2, Era: 2, Bookmark: daisyfeed.Bookmark{Version: 9, Clock: 2 * time.Hour}},
		"no clock":       {After: 2, Last: 2, Bookmark: daisyfeed.Bookmark{Version: 9}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newReadHarness(t)
			h.now = start.Add(5 * time.Second)
			h.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: c})
			assert.Equal(t, h.follower.CurrentAsOf(), start)
		})
	}
}

// A reply that was under way for long shows the rows of its time, and one of a replica that
// lags behind what is known shows nothing.
func TestReplyOfTheStoreShowsTheRowsOfItsTime(t *testing.T) {
	h := newReadHarness(t)
	h.now = start.Add(4 * time.Second)
	h.handle(daisyfeed.RowsChanged{AsOf: 5, Clock: time.Hour + time.Second})
	assert.Equal(t, h.follower.CurrentAsOf(), start.Add(time.Second))
	h.handle(daisyfeed.RowsChanged{AsOf: 4, Clock: time.Hour + 4*time.Second})
	assert.Equal(t, h.follower.CurrentAsOf(), start.Add(time.Second))
	h.handle(daisyfeed.RowsChanged{AsOf: 6, Clock: time.Hour + 4*time.Second})
	assert.Equal(t, h.follower.CurrentAsOf(), start.Add(4*time.Second))
}

// Guards against rows that never count as current again, so that the store is asked all the
// time, once the store's clock was set back.
func TestClockOfTheStoreIsSetBack(t *testing.T) {
	for _, back := range []time.Duration{2 * time.Second, time.Hour - time.Second} {
		for _, restored := range []bool{false, true} {
			h := newReadHarness(t)
			h.handle(daisyfeed.RoleChanged{Reader: true, Peers: []daisyvm.Name{"vm-1"}})
			h.advance(time.Second)
			if restored {
				h.handle(daisyfeed.RowsRead{Rows: []daisyfeed.Row{row("a", 1)}, AsOf: 1, Era: 2, Clock: time.Hour - back})
			} else {
				h.handle(daisyfeed.RowsChanged{AsOf: 5, Clock: time.Hour - back})
			}
			assert.Equal(t, h.follower.CurrentAsOf(), h.now, "back %v, restored %t", back, restored)
		}
	}
}

// Guards against rows that seem older and older, because the VM's clock runs faster than the
// store's.
func TestClockOfTheVMRunsFast(t *testing.T) {
	h := newReadHarness(t)
	h.handle(daisyfeed.RoleChanged{Reader: true, Peers: []daisyvm.Name{"vm-1"}})
	for h.now.Sub(start) < 2*time.Hour {
		for _, d := range decisionsOf[daisyfeed.AwaitChanges](h.advance(100 * time.Millisecond)) {
			h.now = h.now.Add(d.Wait)
			elapsed := h.now.Sub(start)
			h.handle(daisyfeed.RowsChanged{AsOf: 2, Clock: time.Hour + elapsed - elapsed/2000})
			assert.Assert(t, h.now.Sub(h.follower.CurrentAsOf()) < 10*time.Millisecond, "after %v", elapsed)
		}
	}
}
