package daisyconfig

import (
	"math/rand/v2"
	"time"
)

const (
	// HeadPollInterval is the mean interval between reads of the head row.
	HeadPollInterval = 3 * time.Second
	// jitterFraction is the largest fraction by which a delay is shortened or
	// lengthened at random.
	jitterFraction = 0.25
	// initialRetryDelay is the delay after the first failed read of the head row.
	initialRetryDelay = 100 * time.Millisecond
	// maxRetryDelay is the maximum delay, before jitter, after all sources of a snapshot
	// have failed, and after a failed read of the head row while a configuration is in force.
	maxRetryDelay = 16 * time.Second
	// maxRetryDelayUnconfigured is the maximum delay after reads of the head row
	// while no configuration is in force.
	maxRetryDelayUnconfigured = 2 * time.Second
	// peerGracePeriod is how long a starting VM waits for announcements of peers
	// before it reads the object store.
	peerGracePeriod = 200 * time.Millisecond
	// peerRequestTimeout is how long the Follower waits for a snapshot from a peer
	// before it tries the next source.
	peerRequestTimeout = 300 * time.Millisecond
	// readTimeout is the time after which an unanswered read of the platform counts as failed.
	readTimeout = 30 * time.Second
	// initialFetchBackoff is the delay after all sources of a snapshot have failed
	// for the first time. It doubles on each further failure, up to maxRetryDelay.
	initialFetchBackoff = 500 * time.Millisecond
	// maxDoublings limits how often a delay is doubled, so that the shift does not overflow.
	maxDoublings = 10
	// peerTTL is how long a peer counts as a source after its last announcement.
	peerTTL = 10 * time.Second
	// originFanout is the maximum number of peers to which the VM that confirmed a
	// snapshot sends it.
	originFanout = 8
	// relayFanout is the maximum number of peers to which a VM forwards a snapshot
	// that is new to it. VMs forward only if there are more than originFanout peers,
	// because the VM that confirmed the snapshot then does not reach all of them.
	relayFanout = 2
)

// Follower decides which confirmed configuration a VM has in force. It is a state
// machine that takes events and the current time and returns decisions. The
// revision in force never decreases, regardless of the order of events. A Follower
// is not safe for concurrent use.
type Follower struct {
	random  *rand.Rand
	started time.Time
	inForce *Snapshot
	// tableHead is the newest head read from the table.
	tableHead   Head
	headMissing bool
	peers       map[Peer]*peerHead
	// peerOrder lists the peers in the order of their first announcement, which
	// makes random choices reproducible.
	peerOrder   []Peer
	readingHead bool
	// nextHeadRead is the time of the next read of the head row, or the time at
	// which a read in progress counts as failed.
	nextHeadRead     time.Time
	headReadFailures int
	// era is the latest era of the platform that a read has shown.
	era   Era
	fetch *fetch
	// reportedConflict is the hash of the other snapshot in the last reported conflict.
	reportedConflict Hash
}

// peerHead is the last announcement of a peer.
type peerHead struct {
	revision Revision
	hash     Hash
	lastSeen time.Time
}

// fetch is the state of fetching one snapshot.
type fetch struct {
	revision Revision
	hash     Hash
	// requested contains the peers that had a request in this round.
	requested map[Peer]bool
	// requestDeadline is when the last request to a peer times out.
	requestDeadline time.Time
	// readingStore reports whether the object store is being read. The read times
	// out at readDeadline.
	readingStore bool
	readDeadline time.Time
	storeFailed  bool
	// backingOff reports whether all sources have failed. They are tried again at
	// backoffUntil.
	backingOff   bool
	backoffUntil time.Time
	failedRounds int
	// nextStep is when the next step is due if no event occurs before.
	nextStep time.Time
}

// NewFollower returns a Follower that has no configuration in force. It takes all
// its random choices from random.
func NewFollower(now time.Time, random *rand.Rand) *Follower {
	return &Follower{random: random, started: now, nextHeadRead: now, peers: make(map[Peer]*peerHead)}
}

// InForce returns the snapshot in force, or nil.
func (f *Follower) InForce() *Snapshot { return f.inForce }

// WaitReason returns the reason why no configuration is in force, or nil if one is.
func (f *Follower) WaitReason() WaitReason {
	switch {
	case f.inForce != nil:
		return nil
	case f.fetch != nil:
		return Fetching{Revision: f.fetch.revision}
	case f.headMissing:
		return NothingConfirmed{}
	}
	return NoSource{}
}

// NextWake returns the time at which the Follower has to handle TimePassed next.
func (f *Follower) NextWake() time.Time {
	wake := f.nextHeadRead
	if f.fetch != nil && f.fetch.nextStep.Before(wake) {
		wake = f.fetch.nextStep
	}
	return wake
}

// Handle processes an event that occurred at now and returns the decisions to carry out.
func (f *Follower) Handle(now time.Time, event Event) []Decision {
	var decisions []Decision
	switch e := event.(type) {
	case HeadAnnounced:
		decisions = f.handleAnnouncement(now, e)
	case HeadRead:
		decisions = append(f.handleHead(now, e.Head), f.restoreHead(e.Head.Revision, e.Era)...)
	case HeadMissing:
		f.headMissing = true
		f.completeHeadRead(now)
		decisions = f.restoreHead(0, e.Era)
	case HeadReadFailed:
		f.failHeadRead(now)
	case SnapshotReceived:
		decisions = f.handleSnapshot(now, e)
	case SnapshotRead:
		decisions = f.apply(e.Snapshot)
	case SnapshotReadFailed:
		f.failStoreRead(e.Hash)
	case SnapshotRequested:
		return f.sendInForce(e.From)
	case SnapshotConfirmed:
		f.tableHead = newerHead(f.tableHead, e.Snapshot.Head())
		decisions = f.handleConfirmed(now, e.Snapshot)
	case TimePassed:
	}
	return append(decisions, f.advance(now)...)
}

func newerHead(a, b Head) Head {
	if b.Revision > a.Revision {
		return b
	}
	return a
}

func (f *Follower) handleAnnouncement(now time.Time, event HeadAnnounced) []Decision {
	p := f.peers[event.From]
	if p == nil {
		p = &peerHead{}
		f.peers[event.From] = p
		f.peerOrder = append(f.peerOrder, event.From)
	}
	p.lastSeen = now
	if event.Revision < p.revision {
		// The message arrived out of order, or the VM has restarted without a configuration.
		p.revision, p.hash = event.Revision, event.Hash
		return nil
	}
	p.revision, p.hash = event.Revision, event.Hash
	if !f.conflicts(event.Revision, event.Hash) {
		return nil
	}
	if f.tableHead.Revision < event.Revision && !f.readingHead {
		f.nextHeadRead = now
	}
	return f.reportConflict(event.Hash)
}

func (f *Follower) conflicts(revision Revision, hash Hash) bool {
	return f.inForce != nil && f.inForce.Revision == revision && f.inForce.Hash != hash
}

// reportConflict returns a ReportConflict, unless the last one was for the same hash.
func (f *Follower) reportConflict(other Hash) []Decision {
	if f.reportedConflict == other {
		return nil
	}
	f.reportedConflict = other
	return []Decision{ReportConflict{Revision: f.inForce.Revision, InForce: f.inForce.Hash, Other: other}}
}

func (f *Follower) handleHead(now time.Time, head Head) []Decision {
	f.headMissing = false
	f.completeHeadRead(now)
	f.tableHead = newerHead(f.tableHead, head)
	if f.conflicts(head.Revision, head.Hash) {
		return f.reportConflict(head.Hash)
	}
	return nil
}

// restoreHead writes what is in force again if the platform was restored from a backup and
// its table has an older head. A read that merely lags does no harm, because the write is
// then refused.
func (f *Follower) restoreHead(read Revision, era Era) []Decision {
	f.era = max(f.era, era)
	if f.era == 0 || era < f.era || f.inForce == nil || read >= f.inForce.Revision {
		return nil
	}
	return []Decision{RestoreHead{Snapshot: f.inForce}}
}

func (f *Follower) completeHeadRead(now time.Time) {
	f.readingHead = false
	f.headReadFailures = 0
	delay := HeadPollInterval
	if f.inForce == nil {
		delay = maxRetryDelayUnconfigured
	}
	f.nextHeadRead = now.Add(f.jitter(delay))
}

func (f *Follower) failHeadRead(now time.Time) {
	f.readingHead = false
	limit := maxRetryDelay
	if f.inForce == nil {
		limit = maxRetryDelayUnconfigured
	}
	delay := min(initialRetryDelay<<min(f.headReadFailures, maxDoublings), limit)
	f.headReadFailures++
	f.nextHeadRead = now.Add(f.jitter(delay))
}

func (f *Follower) jitter(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (1 + jitterFraction*(2*f.random.Float64()-1)))
}

func (f *Follower) handleSnapshot(now time.Time, event SnapshotReceived) []Decision {
	isNew := f.inForce == nil || event.Snapshot.Revision > f.inForce.Revision
	decisions := f.apply(event.Snapshot)
	if isNew && len(f.peerOrder) > originFanout {
		decisions = append(decisions, f.sendToPeers(now, relayFanout, event.From)...)
	}
	return decisions
}

func (f *Follower) handleConfirmed(now time.Time, snapshot *Snapshot) []Decision {
	isNew := f.inForce == nil || snapshot.Revision > f.inForce.Revision
	decisions := f.apply(snapshot)
	if isNew {
		decisions = append(decisions, f.sendToPeers(now, originFanout, "")...)
	}
	return decisions
}

// apply puts a snapshot in force if it is newer than the one in force, or if it has
// the same revision and the platform's table names it.
func (f *Follower) apply(snapshot *Snapshot) []Decision {
	if f.fetch != nil && f.fetch.hash == snapshot.Hash {
		f.fetch = nil
	}
	var decisions []Decision
	if f.inForce != nil {
		if snapshot.Revision < f.inForce.Revision || snapshot.Hash == f.inForce.Hash {
			return nil
		}
		if snapshot.Revision == f.inForce.Revision {
			decisions = f.reportConflict(snapshot.Hash)
			if f.tableHead.Revision != snapshot.Revision || f.tableHead.Hash != snapshot.Hash {
				return decisions
			}
		}
	}
	f.inForce = snapshot
	f.headMissing = false
	if f.fetch != nil && f.fetch.revision <= snapshot.Revision {
		f.fetch = nil
	}
	return append(decisions, PutInForce{Snapshot: snapshot})
}

// sendToPeers sends the snapshot in force to at most limit live peers that are not
// known to have it, chosen at random.
func (f *Follower) sendToPeers(now time.Time, limit int, except Peer) []Decision {
	var outdated []Peer
	for _, p := range f.peerOrder {
		h := f.peers[p]
		if p != except && f.isLive(now, h) && h.revision < f.inForce.Revision {
			outdated = append(outdated, p)
		}
	}
	f.random.Shuffle(len(outdated), func(i, j int) { outdated[i], outdated[j] = outdated[j], outdated[i] })
	var decisions []Decision
	for _, p := range outdated[:min(limit, len(outdated))] {
		decisions = append(decisions, SendSnapshot{To: p, Snapshot: f.inForce})
	}
	return decisions
}

func (f *Follower) isLive(now time.Time, p *peerHead) bool { return now.Sub(p.lastSeen) < peerTTL }

func (f *Follower) sendInForce(to Peer) []Decision {
	if f.inForce == nil {
		return nil
	}
	return []Decision{SendSnapshot{To: to, Snapshot: f.inForce}}
}
