package daisyfeed

import (
	"time"

	"daisyyoke/core/daisywake"
)

// coldStartDelay is how long VMs that are no seeds leave their first read to others when the
// whole system starts. Hundreds of VMs hear of the seeds' rows within about a second of
// their links.
const coldStartDelay = 2 * time.Second

// FirstReadDelay returns how long a VM leaves its first read of the store to others. Only
// when all VMs start for the first time is there time for it: after a loss of power, callers
// wait. Seeds, which the others dial first, read at once.
func FirstReadDelay(coldStart, seed bool) time.Duration {
	if coldStart && !seed {
		return coldStartDelay
	}
	return 0
}

// handleRoleChanged lets a VM that becomes a reader read at once, and a reader that gets its
// first peers soon.
func (f *Follower) handleRoleChanged(now time.Time, e RoleChanged) {
	firstPeers := len(f.peers) == 0 && len(e.Peers) > 0
	f.peers, f.position, f.second = e.Peers, e.Position, e.Second
	switch {
	case f.awaitsPeers(now):
		// Who reads is not settled while VMs that start together learn of each other.
	case !f.unavailableSince.IsZero() && e.Reader:
		f.nextReadAt = daisywake.Sooner(f.nextReadAt, now.Add(maxRetryDelay))
	case !f.unavailableSince.IsZero():
		if f.reader && f.retriesSeldom() {
			f.nextReadAt = now.Add(f.standbyRetryDelay())
		}
	case e.Reader && !f.reader:
		f.nextReadAt = time.Time{}
	case e.Reader && firstPeers:
		f.nextReadAt = daisywake.Sooner(f.nextReadAt, now.Add(firstPeersDelay))
	}
	f.reader = e.Reader
}

// readAt returns when to read the store next.
func (f *Follower) readAt() time.Time {
	if f.reader || f.readUpTo == 0 || !f.unavailableSince.IsZero() {
		return f.nextReadAt
	}
	return f.ownReadAt()
}

// ownReadAt returns when a VM that is no reader reads the store because nobody has shown that
// its rows are current.
func (f *Follower) ownReadAt() time.Time {
	return later(f.currentAsOf.Add(f.patience()), f.answeredAt.Add(minOwnReadInterval))
}

// patience returns the age of the rows at which this VM asks the store itself.
func (f *Follower) patience() time.Duration {
	others := len(f.peers) - readerCount
	if others <= 0 {
		return minPatience
	}
	turn := min(max(f.position-readerCount, 0), others)
	return minPatience + (maxPatience-minPatience)*time.Duration(turn)/time.Duration(others)
}

// readWait returns how long the store may hold a request of this VM.
func (f *Follower) readWait(now time.Time) time.Duration {
	switch {
	case !f.reader, !f.unavailableSince.IsZero():
		return 0
	case f.second, len(f.peers) == 0:
		return longWait
	}
	return min(max(f.currentAsOf.Add(confirmInterval).Sub(now), 0), confirmInterval)
}

// storeAnswered schedules the next read after a reply of the store and ends an outage. A
// late reply starts the grace period too, because the store may have been unavailable
// meanwhile.
func (f *Follower) storeAnswered(now time.Time, late bool) {
	f.retryDelay = minRetryDelay
	f.answeredAt = now
	f.nextReadAt = now.Add(readerInterval)
	if f.second {
		f.nextReadAt = now.Add(secondReaderInterval)
	}
	if late || !f.unavailableSince.IsZero() {
		f.graceUntil = now.Add(recoveryGrace)
	}
	if !f.unavailableSince.IsZero() {
		f.emit(StoreRecovered{Outage: now.Sub(f.unavailableSince)})
		f.unavailableSince = time.Time{}
	}
}

func (f *Follower) storeFailed(now time.Time) {
	f.nextReadAt = now.Add(f.retryDelay)
	f.retryDelay = min(2*f.retryDelay, maxRetryDelay)
	if !f.reader && f.retriesSeldom() {
		f.nextReadAt = now.Add(f.standbyRetryDelay())
	}
	if f.unavailableSince.IsZero() {
		f.unavailableSince = now
		f.emit(StoreLost{})
	}
}

// retriesSeldom reports whether this VM leaves it to others to notice that the store replies
// again, unless it is a reader.
func (f *Follower) retriesSeldom() bool { return f.complete && f.position >= maxRetryingVMs }

// standbyRetryDelay spreads the retries of the VMs that retry seldom.
func (f *Follower) standbyRetryDelay() time.Duration {
	return max(maxRetryDelay, time.Duration(len(f.peers)+1+f.position)*standbyRetryInterval)
}
