package daisyfeed

import (
	"cmp"
	"slices"
	"time"

	"daisyyoke/core/daisyvm"
	"daisyyoke/core/daisywake"
)

const (
	// firstRetry and lastRetry bound the time between two reads of a store that
	// does not answer. Every call has a price, also a refused one.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
	// returnGrace is how long rows that vanished while the store was away are kept
	// after its return: whoever wrote them writes them again within 2 s, as the
	// users' platform promises.
	returnGrace = 2200 * time.Millisecond
	// feedLead is how long this VM's own feed may lag behind a peer's before the peer is asked.
	feedLead = 150 * time.Millisecond
	// askAgain is when a peer that was asked may be asked anew.
	askAgain = 300 * time.Millisecond
	// readGap is the time between two reads of a reader, so that changes which come
	// close together take one call.
	readGap = 100 * time.Millisecond
	// turnEvery is the time between two reads of turnTakers, who take turns beside the
	// readers: a store that is silent to both readers is noticed by these only after
	// their wait for changes, and a change has to be everywhere within 2 s.
	turnEvery = time.Second
	// turnTakers is the most VMs that take turns: so many that a store which is silent
	// to a third of the VMs seldom is to several in a row, and that the last read of
	// each is within the history that the store keeps.
	turnTakers = 6
	// standbyEvery is the time between two reads of the other VMs.
	standbyEvery = 2 * time.Minute
	// firstWait is how long a VM that has just read all rows waits for word of who
	// reads for its peers before it reads on: links to them open within that time.
	firstWait = time.Second
	// mostTombstones bounds the removals that are remembered for peers.
	mostTombstones = 1024
)

// Follower follows one topic. It is a state machine without I/O, and not safe for concurrent use.
type Follower struct {
	rows map[string]Row
	// tombstones are the latest removals, the oldest first; changes up to forgotten
	// cannot be told from them.
	tombstones []Row
	forgotten  Version
	// asOf is how far the store was read; whole says that all rows were read once.
	asOf  Version
	whole bool
	// last is the latest change that is known from anybody.
	last Version

	// reader says that this VM reads for its peers.
	reader bool
	peers  []daisyvm.Name
	// place is that of this VM among all, for its turns.
	place int

	reading bool
	retryAt time.Time
	retry   time.Duration
	// awaySince is when the store stopped to answer; zero while it answers.
	awaySince time.Time
	// graceUntil is the end of returnGrace after the last return.
	graceUntil time.Time
	// held are rows that vanished in the grace, kept until it ends.
	held map[string]Row

	// ahead is the peer that knows a later change, and since when one does.
	ahead      daisyvm.Name
	aheadLast  Version
	aheadSince time.Time
	asked      time.Time

	decisions []Decision
}

// NewFollower gives a follower that knows nothing and wants to read all rows.
func NewFollower() *Follower {
	return &Follower{rows: make(map[string]Row), held: make(map[string]Row), retry: firstRetry, reader: true}
}

// Rows gives the rows in the order of their keys, those that are held among them.
func (f *Follower) Rows() []Row {
	rows := make([]Row, 0, len(f.rows)+len(f.held))
	for _, r := range f.rows {
		rows = append(rows, r)
	}
	for k, r := range f.held {
		if _, ok := f.rows[k]; !ok {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows
}

// Last gives the latest change that is known.
func (f *Follower) Last() Version { return f.last }

// Away reports whether the store does not answer this VM.
func (f *Follower) Away() bool { return !f.awaySince.IsZero() }

// Whole reports whether all rows were read once, from the store or from a peer.
func (f *Follower) Whole() bool { return f.whole }

// Handle takes an event that happened at now and gives what has to be done, in
// order. The decisions are valid until the next call.
func (f *Follower) Handle(now time.Time, event Event) []Decision {
	f.decisions = f.decisions[:0]
	switch e := event.(type) {
	case RowsRead:
		f.reading = false
		f.answered(now, false)
		if !f.whole && len(f.peers) == 0 {
			f.retryAt = now.Add(firstWait)
		}
		f.takeWhole(now, e.Rows, e.AsOf, f.inGrace(now))
		f.asOf = e.AsOf
	case RowsChanged:
		f.reading = false
		f.answered(now, e.Late)
		f.takeRead(now, e)
	case HistoryLost:
		f.reading = false
		f.answered(now, false)
		f.asOf = 0
	case ReadFailed:
		f.reading = false
		f.failed(now)
	case DutyChanged:
		f.changeDuty(now, e)
	case PeerKnows:
		f.hear(now, e)
	case PeerAsked:
		f.give(now, e)
	case PeerGave:
		f.takeGiven(now, e)
	case TimePassed:
	}
	f.pass(now)
	return f.decisions
}

// NextWake gives when TimePassed has to be handled next; the zero time means never.
func (f *Follower) NextWake() time.Time {
	var wake time.Time
	if !f.reading {
		wake = f.retryAt
	}
	if len(f.held) > 0 {
		wake = daisywake.Sooner(wake, f.graceUntil)
	}
	if f.ahead != "" && f.aheadLast > f.last {
		wake = daisywake.Sooner(wake, f.askAt())
	}
	return wake
}

func (f *Follower) emit(d Decision) { f.decisions = append(f.decisions, d) }

// pass does what has come due.
func (f *Follower) pass(now time.Time) {
	if len(f.held) > 0 && !now.Before(f.graceUntil) {
		clear(f.held)
		f.emit(Publish{})
	}
	if f.ahead != "" && f.aheadLast > f.last && !now.Before(f.askAt()) {
		f.asked = now
		f.emit(AskPeer{To: f.ahead, After: f.after()})
	}
	if f.reading || now.Before(f.retryAt) {
		return
	}
	f.reading = true
	if f.asOf == 0 {
		f.emit(ReadRows{})
		return
	}
	f.emit(AwaitChanges{After: f.asOf, Now: !f.reader})
}

// changeDuty lets a VM that becomes a reader read at once, and one that no longer is
// one leave it to its peers.
func (f *Follower) changeDuty(now time.Time, e DutyChanged) {
	met := len(f.peers) == 0 && len(e.Peers) > 0
	f.peers, f.place = e.Peers, e.Place
	switch {
	case !f.awaySince.IsZero():
	case e.Reader && (!f.reader || met):
		f.retryAt = time.Time{}
	case !e.Reader && f.reader && f.whole:
		f.retryAt = f.nextTurn(now)
	}
	f.reader = e.Reader
}

// nextTurn gives when a VM that others read for reads by itself.
func (f *Follower) nextTurn(now time.Time) time.Time {
	takers := max(1, min(turnTakers, len(f.peers)+1-readerCount))
	place := max(0, f.place-readerCount)
	if place >= takers {
		return now.Add(standbyEvery)
	}
	round := time.Duration(takers) * turnEvery
	turn := now.Truncate(round).Add(time.Duration(place) * turnEvery)
	if !turn.After(now) {
		turn = turn.Add(round)
	}
	return turn
}

// takeRead takes changes from the store and passes them on, also when it is not this
// VM's to read for its peers: who reads for them has missed what is news to it.
func (f *Follower) takeRead(now time.Time, e RowsChanged) {
	after := max(f.asOf, f.last)
	news := f.takeChanges(now, e.Rows, f.inGrace(now))
	f.asOf = max(f.asOf, e.AsOf)
	if !news {
		return
	}
	rows := slices.DeleteFunc(slices.Clone(e.Rows), func(r Row) bool { return r.Version <= after })
	c := Changes{Rows: rows, After: after, Last: f.last, Grace: f.graceLeft(now)}
	for _, p := range f.peers {
		f.emit(GivePeer{To: p, Changes: c})
	}
}

func (f *Follower) graceLeft(now time.Time) time.Duration { return max(f.graceUntil.Sub(now), 0) }

// after gives what a peer is asked to tell the changes after: nothing is known
// before all rows were read once.
func (f *Follower) after() Version {
	if !f.whole {
		return 0
	}
	return f.last
}

// askAt gives when the peer that is ahead is asked: soon while the store is away,
// and else when this VM's own feed should have brought the change.
func (f *Follower) askAt() time.Time {
	at := f.aheadSince
	if f.awaySince.IsZero() {
		at = at.Add(feedLead)
	}
	if again := f.asked.Add(askAgain); !f.asked.IsZero() && again.After(at) {
		return again
	}
	return at
}

func (f *Follower) answered(now time.Time, late bool) {
	f.retry = firstRetry
	f.retryAt = now.Add(readGap)
	if !f.reader {
		f.retryAt = f.nextTurn(now)
	}
	if late || !f.awaySince.IsZero() {
		f.graceUntil = now.Add(returnGrace)
	}
	if !f.awaySince.IsZero() {
		f.emit(SourceRegained{Away: now.Sub(f.awaySince)})
		f.awaySince = time.Time{}
	}
}

func (f *Follower) failed(now time.Time) {
	f.retryAt = now.Add(f.retry)
	f.retry = min(2*f.retry, lastRetry)
	if f.awaySince.IsZero() {
		f.awaySince = now
		f.emit(SourceLost{})
	}
}

func (f *Follower) hear(now time.Time, e PeerKnows) {
	if e.Last <= f.last {
		return
	}
	if f.ahead == "" || f.aheadLast <= f.last {
		f.aheadSince = now
	}
	if e.Last >= f.aheadLast || f.aheadLast <= f.last {
		f.ahead, f.aheadLast = e.From, e.Last
	}
}

// give answers with the changes that the peer lacks, or with all rows when the
// removals among them are not all remembered.
func (f *Follower) give(now time.Time, e PeerAsked) {
	if !f.whole {
		return
	}
	c := Changes{After: e.After, Last: f.last, Whole: e.After == 0 || e.After < f.forgotten, Grace: f.graceLeft(now)}
	for _, r := range f.rows {
		if c.Whole || r.Version > e.After {
			c.Rows = append(c.Rows, r)
		}
	}
	if !c.Whole {
		for _, r := range f.tombstones {
			if r.Version > e.After {
				c.Rows = append(c.Rows, r)
			}
		}
	}
	slices.SortFunc(c.Rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	f.emit(GivePeer{To: e.From, Changes: c})
}

// inGrace reports whether a row that vanishes from the store may come back.
func (f *Follower) inGrace(now time.Time) bool { return now.Before(f.graceUntil) }

// takeGiven takes changes that continue what is known; after a gap it asks for more.
// Whether a row that vanished may come back is what the giver knows, whose store answers.
func (f *Follower) takeGiven(now time.Time, e PeerGave) {
	c := e.Changes
	if c.Grace > 0 {
		f.graceUntil = later(f.graceUntil, now.Add(min(c.Grace, returnGrace)))
	}
	switch {
	case c.Whole:
		f.takeWhole(now, c.Rows, c.Last, c.Grace > 0)
	case f.whole && c.After <= f.last:
		f.takeChanges(now, c.Rows, c.Grace > 0)
		f.last = max(f.last, c.Last)
	default:
		f.hear(now, PeerKnows{From: e.From, Last: c.Last})
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// takeWhole takes all rows as of a version. What is missing among them was removed by
// then, and is kept for a while when hold says so.
func (f *Follower) takeWhole(now time.Time, rows []Row, asOf Version, hold bool) {
	present := make(map[string]bool, len(rows))
	changed := !f.whole
	for _, r := range rows {
		present[r.Key] = true
		changed = f.take(now, r, hold) || changed
	}
	for k, r := range f.rows {
		if !present[k] && r.Version <= asOf {
			changed = f.take(now, Row{Key: k, Version: asOf, Removed: true}, hold) || changed
		}
	}
	f.forgotten = max(f.forgotten, asOf)
	f.whole = true
	if changed {
		f.emit(Publish{})
	}
}

// takeChanges reports whether there was a later change among them than was known.
func (f *Follower) takeChanges(now time.Time, rows []Row, hold bool) (news bool) {
	before := f.last
	changed := false
	for _, r := range rows {
		changed = f.take(now, r, hold) || changed
	}
	if changed {
		f.emit(Publish{})
	}
	return f.last > before
}

// take puts one change in place, unless a later one of the row is known. A row that
// vanishes is kept until the grace ends when hold says so.
func (f *Follower) take(now time.Time, row Row, hold bool) bool {
	old, known := f.rows[row.Key]
	if known && old.Version >= row.Version || f.removedSince(row) {
		return false
	}
	f.last = max(f.last, row.Version)
	if !row.Removed {
		f.rows[row.Key] = row
		delete(f.held, row.Key)
		return true
	}
	f.tombstones = append(f.tombstones, Row{Key: row.Key, Version: row.Version, Removed: true})
	if extra := len(f.tombstones) - mostTombstones; extra > 0 {
		f.forgotten = max(f.forgotten, f.tombstones[extra-1].Version)
		f.tombstones = slices.Delete(f.tombstones, 0, extra)
	}
	if !known {
		return false
	}
	delete(f.rows, row.Key)
	if hold {
		f.held[row.Key] = old
		if f.graceUntil.Before(now) {
			f.graceUntil = now.Add(returnGrace)
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
