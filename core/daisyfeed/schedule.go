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
// first peers soon, and moves a VM that is no longer a reader to the rotation.
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
	case !e.Reader && f.reader && f.complete:
		f.nextReadAt = f.nextOwnRead(now)
	}
	f.reader = e.Reader
}

// nextOwnRead returns when a VM that is not a reader reads the store next.
func (f *Follower) nextOwnRead(now time.Time) time.Time {
	rotation := max(1, min(maxRotation, len(f.peers)+1-readerCount))
	position := max(0, f.position-readerCount)
	if position >= rotation {
		return now.Add(standbyInterval)
	}
	round := time.Duration(rotation) * rotationInterval
	delay := time.Duration(position)*rotationInterval - f.turnClock(now)%round
	if delay <= 0 {
		delay += round
	}
	return now.Add(delay)
}

// turnClock returns the time by which VMs take turns: that of the store, since their own
// clocks differ and may be set, or that of this VM as long as the store has not said its own.
func (f *Follower) turnClock(now time.Time) time.Duration {
	if f.storeClockAt.IsZero() {
		return time.Duration(now.UnixNano())
	}
	return f.storeTime(now)
}

// storeAnswered schedules the next read after a reply of the store and ends an outage. A
// late reply starts the grace period too, because the store may have been unavailable
// meanwhile.
func (f *Follower) storeAnswered(now time.Time, late bool) {
	f.retryDelay = minRetryDelay
	switch {
	case !f.reader:
		f.nextReadAt = f.nextOwnRead(now)
	case f.second:
		f.nextReadAt = now.Add(secondReaderInterval)
	default:
		f.nextReadAt = now.Add(readerInterval)
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
	return minStandbyRetryDelay + minStandbyRetryDelay*time.Duration(f.position)/time.Duration(len(f.peers)+1)
}
