package daisyfeed

import (
	"cmp"
	"slices"
	"time"

	"daisyyoke/core/daisywake"
)

// endpointHoldTime is how long a registration or removal of the last era holds against
// an older row of the restored store. A row that no writer renews lapses sooner.
const endpointHoldTime = 10 * time.Second

// inForceWait is how long a VM waits, after it has read all rows of an era, to hear what others
// have in force. Each other VM sends heartbeats to up to eight VMs every 250 ms.
const inForceWait = 600 * time.Millisecond

// heldState holds the rows and removals that were in force at the end of the last era,
// until the restored store has caught up with them: until their writer has written the
// row again, or it was removed, or, for a row that the store has lost, until the grace
// period ends.
type heldState struct {
	rows map[string]Row
	// until is when they stop to hold in any case.
	until time.Time
	// forever is set if they hold until the store has caught up with them.
	forever bool
}

// covers reports whether a held row is in force in place of the current one.
func (h *heldState) covers(current Row) bool {
	held, ok := h.rows[current.Key]
	if !ok {
		return false
	}
	if held.Removed {
		return current.Written.Compare(held.Written) <= 0
	}
	return current.Written.Compare(held.Written) < 0
}

// add holds a row or removal, unless a later one of the same row is held.
func (h *heldState) add(row Row) {
	if row.Written != (Written{}) && !h.covers(row) {
		h.rows[row.Key] = row
	}
}

// release stops holding a row if the store has caught up with it.
func (h *heldState) release(current Row) {
	if current.Removed || !h.covers(current) {
		delete(h.rows, current.Key)
	}
}

// beginEra starts an era of the store: versions begin anew, and what is in force is held.
func (f *Follower) beginEra(era Era) {
	known := f.complete
	for _, t := range f.tombstones {
		if _, ok := f.rows[t.Key]; !ok {
			f.held.add(t)
		}
	}
	for _, r := range f.retained {
		f.held.add(r)
	}
	for _, r := range f.rows {
		f.held.add(r)
	}
	clear(f.rows)
	clear(f.retained)
	f.tombstones = nil
	f.era, f.eraComplete = era, false
	f.last, f.readUpTo, f.prunedUpTo = 0, 0, 0
	f.bookmark, f.storeClockAt = Bookmark{}, time.Time{}
	f.aheadPeer, f.requestedAt = "", time.Time{}
	f.readOutdated, f.settled = f.readInFlight, false
	f.heldKnown = known
	if !known {
		return
	}
	f.emit(StoreRestored{Era: era, Held: len(f.held.rows)})
}

// completeEra starts the times for which held rows hold, once all rows were received in
// this era. Until then nothing is known that could replace them.
func (f *Follower) completeEra(now time.Time) {
	if f.eraComplete {
		return
	}
	f.eraComplete, f.eraCompleteAt = true, now
	if f.Holding() {
		f.graceUntil = later(f.graceUntil, now.Add(recoveryGrace))
		f.holdFor(now, endpointHoldTime)
	}
}

// holdFor lets the held rows hold for at least a duration from now.
func (f *Follower) holdFor(now time.Time, duration time.Duration) {
	if !f.held.forever {
		f.held.until = later(f.held.until, now.Add(duration))
	}
}

// admitsAnswer reports whether the answer of the store may be applied. An answer of an
// earlier era is late; one of a later era begins that era, and the rows are read anew
// unless the answer has all of them. An answer without an era is taken to be of this one.
func (f *Follower) admitsAnswer(now time.Time, era Era, allRows bool) bool {
	switch {
	case era == f.era, era == 0:
		return true
	case era < f.era:
		return false
	}
	f.beginEra(era)
	if !allRows {
		f.nextReadAt = now
	}
	return allRows
}

// expireHeld drops the held rows whose time is over, and those that the store has lost
// once the grace period has ended.
func (f *Follower) expireHeld(now time.Time) (changed bool) {
	if !f.eraComplete || f.held.forever {
		return false
	}
	before := len(f.held.rows)
	if !now.Before(f.held.until) {
		clear(f.held.rows)
	}
	if !f.inGrace(now) {
		for k, h := range f.held.rows {
			if _, ok := f.rows[k]; !ok && !h.Removed {
				delete(f.held.rows, k)
			}
		}
	}
	return len(f.held.rows) < before
}

// heldWake returns when expireHeld has to be called next; the zero time means never.
func (f *Follower) heldWake() time.Time {
	if !f.Holding() || f.held.forever || !f.eraComplete {
		return time.Time{}
	}
	for k, h := range f.held.rows {
		if _, ok := f.rows[k]; !ok && !h.Removed {
			return daisywake.Sooner(f.held.until, f.graceUntil)
		}
	}
	return f.held.until
}

// Holding reports whether rows or removals of earlier eras are in force.
func (f *Follower) Holding() bool { return len(f.held.rows) > 0 }

// noteInForce notes what is in force at a peer that knows no later changes of the store. If
// that is later than all values here, the store was restored without it, or this VM has
// begun to follow the store since.
func (f *Follower) noteInForce(e PeerVersionKnown) {
	if !f.eraComplete || f.precedes(e.Era, e.Last) || e.InForce == (Written{}) {
		return
	}
	f.settled = true
	if e.InForce.Compare(f.inForceElsewhere) > 0 {
		f.inForceElsewhere = e.InForce
	}
}

// Settled reports whether the rows of this era can be taken for all that is in force. After a
// restore the store may lack what other VMs have in force, so one of them is heard first. A VM
// that starts does not know whether the restore was long ago. Without an era there was none.
func (f *Follower) Settled() bool { return f.settled }

// settledAt returns when to stop to wait for what is in force elsewhere; the zero time means
// that nothing is waited for.
func (f *Follower) settledAt() time.Time {
	switch {
	case f.settled, !f.eraComplete:
		return time.Time{}
	case f.era == 0:
		return f.eraCompleteAt
	}
	return f.eraCompleteAt.Add(inForceWait)
}

// Outdated reports whether another VM has a later value in force than all here, although
// this one knows all changes of the store that the other knows.
func (f *Follower) Outdated() bool {
	if f.inForceElsewhere == (Written{}) {
		return false
	}
	return !slices.ContainsFunc(f.Rows(), func(r Row) bool { return r.Written.Compare(f.inForceElsewhere) >= 0 })
}

// requestHeld asks a peer for what it holds, if this VM began to follow the store in this
// era and so knows only what the store was restored to, or missed the latest change before.
func (f *Follower) requestHeld(now time.Time, e PeerVersionKnown) {
	if !e.Holding || f.heldKnown && !f.Outdated() || !f.eraComplete || e.Era != f.era || now.Before(f.requestedAt.Add(peerRequestInterval)) {
		return
	}
	f.requestedAt = now
	f.emit(RequestChanges{To: e.From, Era: f.era})
}

// receiveHeld holds what another VM holds.
func (f *Follower) receiveHeld(now time.Time, c Changes) {
	f.heldKnown = true
	if len(c.Held) == 0 {
		return
	}
	for _, r := range c.Held {
		f.held.add(r)
		if current, ok := f.rows[r.Key]; ok {
			f.held.release(current)
		}
	}
	f.holdFor(now, min(c.HoldTime, endpointHoldTime))
	f.emit(Publish{})
}

// heldRows returns the held rows sorted by key, for another VM.
func (f *Follower) heldRows() []Row {
	var rows []Row
	for _, r := range f.held.rows {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}
