package daisyfeed

import "time"

// maxDrift is by how much a VM's clock may run faster than the store's, as one in maxDrift.
// Clocks that are being adjusted differ by half of that.
const maxDrift = 1000

// storeTime returns what the clock of the store shows at a time, at least. It may be called
// once a clock was noted.
func (f *Follower) storeTime(at time.Time) time.Duration {
	elapsed := at.Sub(f.storeClockAt)
	return f.storeClock + elapsed - max(elapsed, 0)/maxDrift
}

// noteClock notes a clock that the store showed before now. What arrives late is overtaken
// by what is known already.
func (f *Follower) noteClock(now time.Time, clock time.Duration) {
	if clock > 0 && (f.storeClockAt.IsZero() || clock > f.storeTime(now)) {
		f.storeClock, f.storeClockAt = clock, now
	}
}

// noteReplyClock notes the clock in a reply of the store to this VM. One that is lower than
// before the request was sent was set back.
func (f *Follower) noteReplyClock(now time.Time, clock time.Duration) {
	if !f.storeClockAt.IsZero() && clock < f.storeTime(f.readStartedAt) {
		f.storeClockAt = time.Time{}
	}
	f.noteClock(now, clock)
}

// setBookmark notes that all changes before a point are known. A reply from before the
// latest known point, for instance of a replica that lags, shows nothing.
func (f *Follower) setBookmark(now time.Time, bookmark Bookmark) {
	if bookmark.Version < f.bookmark.Version {
		return
	}
	asOf := now
	if bookmark.Clock > 0 {
		asOf = earlier(now, f.storeClockAt.Add(bookmark.Clock-f.storeClock))
	}
	if bookmark.Version == f.bookmark.Version || bookmark.Clock == 0 {
		bookmark.Clock = max(bookmark.Clock, f.bookmark.Clock)
	}
	// The clock of a later version is lower only if it was set back.
	f.bookmark = bookmark
	f.currentAsOf = later(f.currentAsOf, asOf)
}

// adoptBookmark notes the bookmark of a peer whose changes are all known here. Without a
// clock of the store it cannot be told how old it is.
func (f *Follower) adoptBookmark(now time.Time, bookmark Bookmark) {
	if !f.eraComplete {
		return
	}
	f.readUpTo = max(f.readUpTo, bookmark.Version)
	if bookmark.Clock > 0 {
		f.noteClock(now, bookmark.Clock)
		f.setBookmark(now, bookmark)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
