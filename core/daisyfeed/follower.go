package daisyfeed

import (
	"cmp"
	"slices"
	"time"

	"daisyyoke/core/daisyvm"
	"daisyyoke/core/daisywake"
)

const (
	// minRetryDelay and maxRetryDelay bound the time between two reads of a store that
	// does not reply. Every call has a price, even a refused one.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// maxRetryingVMs is how many VMs, the first in the order of the readers, go on reading a
	// store that does not reply at that pace. It may reply to some VMs only, so the others
	// retry too, the less often the more VMs there are: the time between two retries of a VM
	// is standbyRetryInterval for each VM there is, up to twice that for the last ones.
	maxRetryingVMs       = 8
	standbyRetryInterval = 45 * time.Millisecond
	// recoveryGrace is how long rows removed during an outage of the store are kept after
	// it. Their writers write them again within 2 s, as the users' platform guarantees.
	recoveryGrace = 2200 * time.Millisecond
	// peerRequestDelay is how long this VM may lag behind a peer before it asks the peer
	// for the changes.
	peerRequestDelay = 150 * time.Millisecond
	// peerRequestInterval is the time before a peer gets another request.
	peerRequestInterval = 300 * time.Millisecond
	// readerInterval is the time between two reads of the first reader, so that changes in
	// quick succession take one call. The other reader gets them from the first one, and
	// reads each secondReaderInterval in case the first one gets no replies.
	readerInterval       = 100 * time.Millisecond
	secondReaderInterval = 500 * time.Millisecond
	// firstPeersDelay is how long after it has got its first peers a reader reads on. VMs
	// that start together learn within that time that others are the readers.
	firstPeersDelay = 250 * time.Millisecond
	// confirmInterval is the age at which the first reader confirms that the rows are
	// current.
	confirmInterval = 800 * time.Millisecond
	// minPatience and maxPatience bound the age of the rows at which a VM that is no reader
	// asks the store itself. A change has to be known to all VMs within 2 s, however many
	// of them the store does not reply to, and the reply and its way to the others take time
	// too. The VMs differ in patience so that the first reply spares the others the question.
	minPatience = time.Second
	maxPatience = 1500 * time.Millisecond
	// minOwnReadInterval is the time between two such questions, even if the reply did not
	// show the rows to be current.
	minOwnReadInterval = 500 * time.Millisecond
	// longWait is how long the store may hold the requests of VMs that need not confirm
	// anything to others. It limits the time until a dead connection is noticed.
	longWait = 2500 * time.Millisecond
	// delayAfterFirstRead is how long a VM without peers waits after its first full read before
	// it reads on. Links to peers open within that time, and they show who the readers are.
	delayAfterFirstRead = time.Second
	// maxTombstones limits the removals remembered for peers.
	maxTombstones = 1024
)

// Follower replicates one topic. It is a state machine without I/O, and is not safe for
// concurrent use.
type Follower struct {
	rows map[string]Row
	// tombstones holds the latest removals, oldest first. Removals up to prunedUpTo may
	// be missing from it.
	tombstones []Row
	prunedUpTo Version
	// readUpTo is the version up to which the store was read; 0 makes the next read a full
	// one. complete reports whether all rows were received once.
	readUpTo Version
	complete bool
	// last is the latest known change from any source.
	last Version
	// era is the era of all versions, and eraComplete reports whether all rows were
	// received in it.
	era         Era
	eraComplete bool
	held        heldState
	// heldKnown reports whether this VM knows what was in force before this era.
	heldKnown bool
	// inForceElsewhere is the latest value that is in force at a peer; see Outdated.
	inForceElsewhere Written
	// settled is the result of Settled, and eraCompleteAt when all rows of the era were received.
	settled       bool
	eraCompleteAt time.Time

	// reader reports whether this VM reads for its peers, and second whether another reader
	// comes first.
	reader, second bool
	peers          []daisyvm.Name
	// position is the index of this VM among all, which determines its patience.
	position int

	// storeClock is what the store's clock showed at storeClockAt, at least.
	storeClock   time.Duration
	storeClockAt time.Time
	// bookmark is the point up to which all changes are known, from the store or a peer, and
	// currentAsOf the time of that point by the clock of this VM.
	bookmark    Bookmark
	currentAsOf time.Time

	readInFlight bool
	// readOutdated reports whether an era has begun since the read in flight was requested, so
	// that its version was one of an earlier era.
	readOutdated bool
	// nextReadAt is when to read next, except for a VM whose reads depend on the age of its
	// rows; see ownReadAt.
	nextReadAt time.Time
	// readStartedAt is when the last read began, and answeredAt when the store last replied.
	readStartedAt, answeredAt time.Time
	// awaitPeersUntil is until when the first read is left to peers; see AwaitPeers.
	awaitPeersUntil time.Time
	retryDelay      time.Duration
	// unavailableSince is when the store stopped replying; zero while it replies.
	unavailableSince time.Time
	// graceUntil is the end of the grace period after the last outage.
	graceUntil time.Time
	// retained holds removed rows that are kept until the grace period ends.
	retained map[string]Row

	// aheadPeer is the peer that knows the latest change, and aheadSince when a peer first
	// knew a later one than this VM.
	aheadPeer    daisyvm.Name
	aheadEra     Era
	aheadVersion Version
	aheadSince   time.Time
	requestedAt  time.Time

	decisions []Decision
}

// NewFollower returns a follower that has no rows and reads all of them first.
func NewFollower() *Follower {
	return &Follower{
		rows:       make(map[string]Row),
		retained:   make(map[string]Row),
		held:       heldState{rows: make(map[string]Row)},
		retryDelay: minRetryDelay,
		reader:     true,
	}
}

// NewConfirmedFollower returns a follower of rows that operators confirmed: what the store
// loses when it is restored holds until they have written it again.
func NewConfirmedFollower() *Follower {
	f := NewFollower()
	f.held.forever = true
	return f
}

// AwaitPeers lets a follower without rows wait for those of a peer until the given time, and
// read the store itself only then. When all VMs start at once, each would read the same rows
// otherwise, and every call has a price.
func (f *Follower) AwaitPeers(until time.Time) { f.awaitPeersUntil, f.nextReadAt = until, until }

// awaitsPeers reports whether the first read is still left to peers.
func (f *Follower) awaitsPeers(now time.Time) bool {
	return !f.complete && f.readUpTo == 0 && now.Before(f.awaitPeersUntil)
}

// Rows returns the rows that are in force, sorted by key, including removed rows within
// the grace period and those of the last era that hold.
func (f *Follower) Rows() []Row {
	rows := make([]Row, 0, len(f.rows)+len(f.retained)+len(f.held.rows))
	for _, r := range f.rows {
		if !f.held.covers(r) {
			rows = append(rows, r)
		}
	}
	for k, r := range f.held.rows {
		if current, ok := f.rows[k]; !r.Removed && (!ok || f.held.covers(current)) {
			rows = append(rows, r)
		}
	}
	for k, r := range f.retained {
		if _, ok := f.rows[k]; !ok {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}

// Last returns the latest known change.
func (f *Follower) Last() Version { return f.last }

// Era returns the latest known era.
func (f *Follower) Era() Era { return f.era }

// StoreUnavailable reports whether the store is not replying to this VM.
func (f *Follower) StoreUnavailable() bool { return !f.unavailableSince.IsZero() }

// CurrentAsOf returns the latest time at which the rows are known to have been those of the
// store; the zero time if there is none.
func (f *Follower) CurrentAsOf() time.Time { return f.currentAsOf }

// Bookmark returns the point up to which all changes are known; the zero value if there is
// none in this era.
func (f *Follower) Bookmark() Bookmark { return f.bookmark }

// Complete reports whether all rows were received once, from the store or from a peer.
func (f *Follower) Complete() bool { return f.complete }

// Handle processes an event that happened at now and returns what has to be done, in
// order. The returned slice is valid until the next call.
func (f *Follower) Handle(now time.Time, event Event) []Decision {
	f.decisions = f.decisions[:0]
	switch e := event.(type) {
	case RowsRead:
		f.readInFlight = false
		f.storeAnswered(now, false)
		if !f.complete && len(f.peers) == 0 {
			f.nextReadAt = now.Add(delayAfterFirstRead)
		}
		if f.admitsAnswer(now, e.Era, true) {
			f.applyAll(now, e.Rows, e.AsOf, f.inGrace(now))
			f.readUpTo = e.AsOf
			f.noteReplyClock(now, e.Clock)
			f.setBookmark(now, Bookmark{Version: e.AsOf, Clock: e.Clock})
		}
	case RowsChanged:
		f.readInFlight = false
		f.storeAnswered(now, e.Late)
		if f.admitsAnswer(now, e.Era, false) && !f.readOutdated {
			f.handleRowsChanged(now, e)
		}
	case HistoryLost:
		f.readInFlight = false
		f.storeAnswered(now, false)
		if f.admitsAnswer(now, e.Era, false) {
			f.readUpTo = 0
		}
		if !f.reader {
			f.nextReadAt = now
		}
	case ReadFailed:
		f.readInFlight = false
		f.storeFailed(now)
	case RoleChanged:
		f.handleRoleChanged(now, e)
	case PeerVersionKnown:
		f.handlePeerVersion(now, e)
	case ChangesRequested:
		f.answerPeer(now, e)
	case ChangesReceived:
		f.handlePeerChanges(now, e)
	case TimePassed:
	}
	f.runDue(now)
	return f.decisions
}

// NextWake returns when TimePassed has to be handled next; the zero time means never.
func (f *Follower) NextWake() time.Time {
	var wake time.Time
	if !f.readInFlight {
		wake = f.readAt()
	}
	if len(f.retained) > 0 {
		wake = daisywake.Sooner(wake, f.graceUntil)
	}
	wake = daisywake.Sooner(wake, f.heldWake())
	wake = daisywake.Sooner(wake, f.settledAt())
	if f.behind() {
		wake = daisywake.Sooner(wake, f.requestChangesAt())
	}
	return wake
}

func (f *Follower) emit(d Decision) { f.decisions = append(f.decisions, d) }

// runDue performs the actions that are due.
func (f *Follower) runDue(now time.Time) {
	if len(f.retained) > 0 && !now.Before(f.graceUntil) {
		clear(f.retained)
		f.emit(Publish{})
	}
	if f.expireHeld(now) {
		f.emit(Publish{})
	}
	if at := f.settledAt(); !at.IsZero() && !now.Before(at) {
		f.settled = true
	}
	if f.behind() && !now.Before(f.requestChangesAt()) {
		f.requestedAt = now
		f.emit(RequestChanges{To: f.aheadPeer, After: f.knownVersion(), Era: f.era})
	}
	if f.readInFlight || now.Before(f.readAt()) {
		return
	}
	f.readInFlight, f.readOutdated, f.readStartedAt = true, false, now
	if f.readUpTo == 0 {
		f.emit(ReadRows{})
		return
	}
	// All changes up to the last known one are known, whoever sent them.
	f.emit(AwaitChanges{After: max(f.readUpTo, f.last), Wait: f.readWait(now)})
}

// handleRowsChanged applies changes from the store and sends them to the peers, even if
// this VM is not a reader: changes that are new to it were missed by the readers.
func (f *Follower) handleRowsChanged(now time.Time, e RowsChanged) {
	after := max(f.readUpTo, f.last)
	advanced := f.applyChanges(now, e.Rows, f.inGrace(now))
	f.readUpTo = max(f.readUpTo, e.AsOf)
	f.noteReplyClock(now, e.Clock)
	f.setBookmark(now, Bookmark{Version: e.AsOf, Clock: e.Clock})
	c := Changes{After: f.last, Last: f.last, Era: f.era, Bookmark: f.bookmark}
	switch {
	case advanced:
		c.Rows = slices.DeleteFunc(slices.Clone(e.Rows), func(r Row) bool { return r.Version <= after })
		c.After, c.Grace = after, f.graceLeft(now)
	case f.second, e.Clock == 0:
		// Others confirm that the rows are current, or nobody can.
		return
	}
	for _, p := range f.peers {
		f.emit(SendChanges{To: p, Changes: c})
	}
}

func (f *Follower) graceLeft(now time.Time) time.Duration { return max(f.graceUntil.Sub(now), 0) }

// behind reports whether a peer knows a later change.
func (f *Follower) behind() bool {
	return f.aheadPeer != "" && f.precedes(f.aheadEra, f.aheadVersion)
}

// precedes reports whether a change of an era is later than all known ones.
func (f *Follower) precedes(era Era, version Version) bool {
	return era > f.era || era == f.era && version > f.last
}

// knownVersion returns the version after which a peer is asked for changes: 0 until all
// rows were received in this era.
func (f *Follower) knownVersion() Version {
	if !f.eraComplete {
		return 0
	}
	return f.last
}

// requestChangesAt returns when to request changes from the peer that is ahead: at once
// while the store is unavailable, and otherwise when this VM's own reads should have
// brought the change.
func (f *Follower) requestChangesAt() time.Time {
	at := f.aheadSince
	if f.unavailableSince.IsZero() {
		at = at.Add(peerRequestDelay)
	}
	if again := f.requestedAt.Add(peerRequestInterval); !f.requestedAt.IsZero() && again.After(at) {
		return again
	}
	return at
}

func (f *Follower) handlePeerVersion(now time.Time, e PeerVersionKnown) {
	f.noteInForce(e)
	f.requestHeld(now, e)
	if !f.precedes(e.Era, e.Last) {
		return
	}
	wasBehind := f.behind()
	if !wasBehind {
		f.aheadSince = now
	}
	if !wasBehind || e.Era > f.aheadEra || e.Era == f.aheadEra && e.Last >= f.aheadVersion {
		f.aheadPeer, f.aheadEra, f.aheadVersion = e.From, e.Era, e.Last
	}
}

// answerPeer sends the changes that the peer lacks, or all rows if some removals after
// its version may have been pruned.
func (f *Follower) answerPeer(now time.Time, e ChangesRequested) {
	if !f.eraComplete || e.Era > f.era {
		return
	}
	c := Changes{After: e.After, Last: f.last, Era: f.era, Grace: f.graceLeft(now), Bookmark: f.bookmark}
	c.Complete = e.Era < f.era || e.After == 0 || e.After < f.prunedUpTo
	if c.Complete {
		c.After, c.Held, c.HoldTime = 0, f.heldRows(), max(f.held.until.Sub(now), 0)
	}
	for _, r := range f.rows {
		if c.Complete || r.Version > e.After {
			c.Rows = append(c.Rows, r)
		}
	}
	if !c.Complete {
		for _, r := range f.tombstones {
			if r.Version > e.After {
				c.Rows = append(c.Rows, r)
			}
		}
	}
	slices.SortFunc(c.Rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	f.emit(SendChanges{To: e.From, Changes: c})
}

// inGrace reports whether the grace period lasts, in which a removed row is kept because
// its writer may still write it again.
func (f *Follower) inGrace(now time.Time) bool { return now.Before(f.graceUntil) }

// handlePeerChanges applies changes that leave no gap after the known ones, and otherwise
// arranges to ask for the missing ones. The sender decides whether removed rows are kept,
// since the store replies to it.
func (f *Follower) handlePeerChanges(now time.Time, e ChangesReceived) {
	c := e.Changes
	if c.Era < f.era {
		// The sender does not know yet that the store was restored.
		return
	}
	if c.Era > f.era && c.Complete {
		f.beginEra(c.Era)
	}
	if c.Grace > 0 {
		f.graceUntil = later(f.graceUntil, now.Add(min(c.Grace, recoveryGrace)))
	}
	switch {
	case c.Complete:
		awaited := f.awaitsPeers(now)
		f.receiveHeld(now, c)
		f.applyAll(now, c.Rows, c.Last, c.Grace > 0)
		if awaited {
			f.continueAfterPeer(now, c.Last)
		}
	case c.Era == f.era && f.eraComplete && c.After <= f.last:
		f.applyChanges(now, c.Rows, c.Grace > 0)
		f.last = max(f.last, c.Last)
	default:
		f.handlePeerVersion(now, PeerVersionKnown{From: e.From, Last: c.Last, Era: c.Era})
		return
	}
	f.adoptBookmark(now, c.Bookmark)
}

// continueAfterPeer schedules the next read after the rows came from a peer in place of the
// first read.
func (f *Follower) continueAfterPeer(now time.Time, asOf Version) {
	f.readUpTo = asOf
	f.nextReadAt = now.Add(delayAfterFirstRead)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// applyAll applies a full set of rows as of a version. Known rows that are missing from it
// were removed by then; they are kept for the grace period if retain is set.
func (f *Follower) applyAll(now time.Time, rows []Row, asOf Version, retain bool) {
	if f.eraComplete && asOf < f.last {
		// Later rows overtook the set on the way. It would bring back those removed since.
		return
	}
	present := make(map[string]bool, len(rows))
	changed := !f.eraComplete
	for _, r := range rows {
		present[r.Key] = true
		changed = f.apply(now, r, retain) || changed
	}
	for k, r := range f.rows {
		if !present[k] && r.Version <= asOf {
			changed = f.apply(now, Row{Key: k, Version: asOf, Removed: true}, retain) || changed
		}
	}
	f.prunedUpTo = max(f.prunedUpTo, asOf)
	f.complete = true
	f.completeEra(now)
	if changed {
		f.emit(Publish{})
	}
}

// applyChanges applies changes and reports whether one was later than any known before.
func (f *Follower) applyChanges(now time.Time, rows []Row, retain bool) (advanced bool) {
	before := f.last
	changed := false
	for _, r := range rows {
		if !f.removedByFullSet(r) {
			changed = f.apply(now, r, retain) || changed
		}
	}
	if changed {
		f.emit(Publish{})
	}
	return f.last > before
}

// removedByFullSet reports whether a row was removed before a full set of rows was received,
// or before its tombstone was pruned.
func (f *Follower) removedByFullSet(row Row) bool {
	_, known := f.rows[row.Key]
	return !known && !row.Removed && row.Version <= f.prunedUpTo
}

// apply applies one change unless a later one of the same row is known, and reports
// whether the result of Rows has changed. If retain is set, a removed row is kept until
// the grace period ends.
func (f *Follower) apply(now time.Time, row Row, retain bool) bool {
	row.Era = f.era
	old, known := f.rows[row.Key]
	if known && old.Version >= row.Version || f.removedSince(row) {
		return false
	}
	f.last = max(f.last, row.Version)
	f.held.release(row)
	if !row.Removed {
		f.rows[row.Key] = row
		delete(f.retained, row.Key)
		return true
	}
	f.tombstones = append(f.tombstones, Row{Key: row.Key, Version: row.Version, Removed: true, Era: f.era, Written: old.Written})
	if extra := len(f.tombstones) - maxTombstones; extra > 0 {
		f.prunedUpTo = max(f.prunedUpTo, f.tombstones[extra-1].Version)
		f.tombstones = slices.Delete(f.tombstones, 0, extra)
	}
	if !known {
		return false
	}
	delete(f.rows, row.Key)
	if retain {
		f.retained[row.Key] = old
		if f.graceUntil.Before(now) {
			f.graceUntil = now.Add(recoveryGrace)
		}
		return false
	}
	return true
}

func (f *Follower) removedSince(row Row) bool {
	for _, t := range f.tombstones {
		if t.Key == row.Key && t.Version >= row.Version {
			return true
		}
	}
	return false
}
