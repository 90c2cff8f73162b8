package daisyconfig

import (
	"math/rand/v2"
	"time"
)

const (
	// RestInterval is the mean time between two reads of the head row.
	RestInterval = 3 * time.Second
	// jitterShare is the share by which a wait is shortened or lengthened at random.
	jitterShare = 0.25
	// firstRetry is the wait after the first failed read.
	firstRetry = 100 * time.Millisecond
	// maxRetry bounds the wait after failed reads while a configuration is in force.
	maxRetry = 16 * time.Second
	// maxRetryWaiting bounds it while there is none.
	maxRetryWaiting = 2 * time.Second
	// peerGrace is how long a starting VM waits for a peer before it reads the object store.
	peerGrace = 200 * time.Millisecond
	// askTimeout is how long a peer has to answer with a snapshot.
	askTimeout = 300 * time.Millisecond
	// readTimeout is when a read that was never answered is given up.
	readTimeout = 30 * time.Second
	// fetchPause is the wait after all sources of a snapshot have failed for the
	// first time; it doubles up to maxRetry.
	fetchPause = 500 * time.Millisecond
	// maxDoublings bounds how often a wait doubles.
	maxDoublings = 10
	// peerMemory is how long a silent peer counts as a source.
	peerMemory = 10 * time.Second
	// originFanout bounds the peers to which the confirming VM sends the snapshot.
	originFanout = 8
	// relayFanout bounds the peers to which a VM passes on a snapshot that is new to
	// it, where there are more than the confirming VM reaches itself.
	relayFanout = 2
)

// Follower decides which confirmed configuration a VM has in force. It is a state
// machine: events and the time go in, decisions come out. The revision in force
// never goes down, whatever the order of the events. It is not safe for concurrent use.
type Follower struct {
	random  *rand.Rand
	started time.Time
	inForce *Snapshot
	// stored is the newest head that the table has shown.
	stored  Head
	missing bool
	peers   map[Peer]*peerHead
	// order keeps the peers in the order they were first heard, for repeatable choices.
	order   []Peer
	reading bool
	// nextRead is when the head row is read next, or when a read in progress is given up.
	nextRead time.Time
	failures int
	fetch    *fetch
	// reported is the hash of the conflict that was reported last.
	reported Hash
}

type peerHead struct {
	revision Revision
	hash     Hash
	heard    time.Time
}

// fetch is the search for one snapshot.
type fetch struct {
	revision Revision
	hash     Hash
	tried    map[Peer]bool
	// askUntil is when the peer that was asked last is given up.
	askUntil time.Time
	// reading says that the object store is being read, until readUntil at most.
	reading     bool
	readUntil   time.Time
	storeFailed bool
	// resting says that all sources have failed; they are tried again at restUntil.
	resting   bool
	restUntil time.Time
	rounds    int
	// deadline is when the next step is due if nothing happens before.
	deadline time.Time
}

// NewFollower gives a follower that has nothing in force. All its random choices come from random.
func NewFollower(now time.Time, random *rand.Rand) *Follower {
	return &Follower{random: random, started: now, nextRead: now, peers: make(map[Peer]*peerHead)}
}

// InForce gives the snapshot in force, or nil.
func (f *Follower) InForce() *Snapshot { return f.inForce }

// Waiting says why nothing is in force; it is nil when something is.
func (f *Follower) Waiting() Waiting {
	switch {
	case f.inForce != nil:
		return nil
	case f.fetch != nil:
		return Fetching{Revision: f.fetch.revision}
	case f.missing:
		return NothingConfirmed{}
	}
	return NoSource{}
}

// NextWake gives when TimePassed has to be handled next.
func (f *Follower) NextWake() time.Time {
	wake := f.nextRead
	if f.fetch != nil && f.fetch.deadline.Before(wake) {
		wake = f.fetch.deadline
	}
	return wake
}

// Handle takes an event that happened at now and gives what has to be done.
func (f *Follower) Handle(now time.Time, event Event) []Decision {
	var decisions []Decision
	switch e := event.(type) {
	case HeadAnnounced:
		decisions = f.hear(now, e)
	case HeadRead:
		decisions = f.readHead(now, e.Head)
	case HeadMissing:
		f.missing = true
		f.endRead(now)
	case HeadFailed:
		f.failRead(now)
	case SnapshotOffered:
		decisions = f.offer(now, e)
	case SnapshotRead:
		decisions = f.take(e.Snapshot)
	case SnapshotFailed:
		f.failFetch(e.Hash)
	case SnapshotAsked:
		return f.give(e.From)
	case SnapshotConfirmed:
		f.stored = newer(f.stored, e.Snapshot.Head())
		decisions = f.confirm(now, e.Snapshot)
	case TimePassed:
	}
	return append(decisions, f.advance(now)...)
}

func newer(a, b Head) Head {
	if b.Revision > a.Revision {
		return b
	}
	return a
}

func (f *Follower) hear(now time.Time, event HeadAnnounced) []Decision {
	p := f.peers[event.From]
	if p == nil {
		p = &peerHead{}
		f.peers[event.From] = p
		f.order = append(f.order, event.From)
	}
	p.heard = now
	if event.Revision < p.revision {
		// The message was overtaken, or the VM has started again with nothing.
		p.revision, p.hash = event.Revision, event.Hash
		return nil
	}
	p.revision, p.hash = event.Revision, event.Hash
	if !f.conflicts(event.Revision, event.Hash) {
		return nil
	}
	if f.stored.Revision < event.Revision && !f.reading {
		f.nextRead = now
	}
	return f.conflict(event.Hash)
}

func (f *Follower) conflicts(revision Revision, hash Hash) bool {
	return f.inForce != nil && f.inForce.Revision == revision && f.inForce.Hash != hash
}

// conflict reports a conflict once.
func (f *Follower) conflict(other Hash) []Decision {
	if f.reported == other {
		return nil
	}
	f.reported = other
	return []Decision{ReportConflict{Revision: f.inForce.Revision, InForce: f.inForce.Hash, Other: other}}
}

func (f *Follower) readHead(now time.Time, head Head) []Decision {
	f.missing = false
	f.endRead(now)
	f.stored = newer(f.stored, head)
	if f.conflicts(head.Revision, head.Hash) {
		return f.conflict(head.Hash)
	}
	return nil
}

func (f *Follower) endRead(now time.Time) {
	f.reading = false
	f.failures = 0
	rest := RestInterval
	if f.inForce == nil {
		rest = maxRetryWaiting
	}
	f.nextRead = now.Add(f.jitter(rest))
}

func (f *Follower) failRead(now time.Time) {
	f.reading = false
	limit := maxRetry
	if f.inForce == nil {
		limit = maxRetryWaiting
	}
	wait := min(firstRetry<<min(f.failures, maxDoublings), limit)
	f.failures++
	f.nextRead = now.Add(f.jitter(wait))
}

func (f *Follower) jitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + jitterShare*(2*f.random.Float64()-1)))
}

func (f *Follower) offer(now time.Time, event SnapshotOffered) []Decision {
	isNew := f.inForce == nil || event.Snapshot.Revision > f.inForce.Revision
	decisions := f.take(event.Snapshot)
	if isNew && len(f.order) > originFanout {
		decisions = append(decisions, f.spread(now, relayFanout, event.From)...)
	}
	return decisions
}

func (f *Follower) confirm(now time.Time, snapshot *Snapshot) []Decision {
	isNew := f.inForce == nil || snapshot.Revision > f.inForce.Revision
	decisions := f.take(snapshot)
	if isNew {
		decisions = append(decisions, f.spread(now, originFanout, "")...)
	}
	return decisions
}

// take puts a snapshot in force if it is newer, or if the platform's table says
// that it is the right one of two with the same revision.
func (f *Follower) take(snapshot *Snapshot) []Decision {
	if f.fetch != nil && f.fetch.hash == snapshot.Hash {
		f.fetch = nil
	}
	var decisions []Decision
	if f.inForce != nil {
		if snapshot.Revision < f.inForce.Revision || snapshot.Hash == f.inForce.Hash {
			return nil
		}
		if snapshot.Revision == f.inForce.Revision {
			decisions = f.conflict(snapshot.Hash)
			if f.stored.Revision != snapshot.Revision || f.stored.Hash != snapshot.Hash {
				return decisions
			}
		}
	}
	f.inForce = snapshot
	f.missing = false
	if f.fetch != nil && f.fetch.revision <= snapshot.Revision {
		f.fetch = nil
	}
	return append(decisions, PutInForce{Snapshot: snapshot})
}

// spread sends the snapshot in force to peers that are not known to have it, chosen at random.
func (f *Follower) spread(now time.Time, limit int, except Peer) []Decision {
	var behind []Peer
	for _, p := range f.order {
		h := f.peers[p]
		if p != except && f.live(now, h) && h.revision < f.inForce.Revision {
			behind = append(behind, p)
		}
	}
	f.random.Shuffle(len(behind), func(i, j int) { behind[i], behind[j] = behind[j], behind[i] })
	var decisions []Decision
	for _, p := range behind[:min(limit, len(behind))] {
		decisions = append(decisions, GivePeer{To: p, Snapshot: f.inForce})
	}
	return decisions
}

func (f *Follower) live(now time.Time, p *peerHead) bool { return now.Sub(p.heard) < peerMemory }

func (f *Follower) give(to Peer) []Decision {
	if f.inForce == nil {
		return nil
	}
	return []Decision{GivePeer{To: to, Snapshot: f.inForce}}
}
