package daisyconfig

import "time"

// advance starts the actions that are due: a read of the head row, and the next
// step of a fetch.
func (f *Follower) advance(now time.Time) []Decision {
	f.prunePeers(now)
	var decisions []Decision
	if !now.Before(f.nextHeadRead) {
		if f.readingHead {
			f.failHeadRead(now)
		} else {
			f.readingHead = true
			f.nextHeadRead = now.Add(readTimeout)
			decisions = append(decisions, ReadHead{})
		}
	}
	f.selectFetch()
	return append(decisions, f.stepFetch(now)...)
}

func (f *Follower) prunePeers(now time.Time) {
	kept := f.peerOrder[:0]
	for _, p := range f.peerOrder {
		if f.isLive(now, f.peers[p]) {
			kept = append(kept, p)
			continue
		}
		delete(f.peers, p)
	}
	f.peerOrder = kept
}

// selectFetch sets the fetch to the newest known head that is not in force. Of
// heads with the same revision, the one in the platform's table takes precedence.
func (f *Follower) selectFetch() {
	newest := f.tableHead
	for _, p := range f.peerOrder {
		h := f.peers[p]
		if h.revision > newest.Revision {
			newest = Head{Revision: h.revision, Hash: h.hash}
		}
	}
	if newest.Revision == 0 || !f.shouldFetch(newest) {
		f.fetch = nil
		return
	}
	if f.fetch != nil && f.fetch.revision == newest.Revision && f.fetch.hash == newest.Hash {
		return
	}
	f.fetch = &fetch{revision: newest.Revision, hash: newest.Hash, requested: make(map[Peer]bool)}
}

func (f *Follower) shouldFetch(head Head) bool {
	if f.inForce == nil || head.Revision > f.inForce.Revision {
		return true
	}
	// Only the platform's table can replace a snapshot with another of the same revision.
	return f.conflicts(head.Revision, head.Hash) && f.tableHead.Hash == head.Hash
}

// stepFetch requests the snapshot from the next source: first from peers that have
// announced it, then from the object store. A peer that announces it while the
// store is being read also gets a request.
func (f *Follower) stepFetch(now time.Time) []Decision {
	t := f.fetch
	if t == nil {
		return nil
	}
	if t.readingStore && !now.Before(t.readDeadline) {
		f.failStoreRead(t.hash)
	}
	if t.backingOff && !now.Before(t.backoffUntil) {
		t.backingOff = false
		t.storeFailed = false
		t.requested = make(map[Peer]bool)
	}
	if now.Before(t.requestDeadline) {
		t.nextStep = t.requestDeadline
		return nil
	}
	if p, ok := f.pickSource(); ok {
		t.requested[p] = true
		t.requestDeadline = now.Add(peerRequestTimeout)
		t.nextStep = t.requestDeadline
		return []Decision{RequestSnapshot{To: p, Hash: t.hash}}
	}
	return f.stepStoreRead(now)
}

func (f *Follower) stepStoreRead(now time.Time) []Decision {
	t := f.fetch
	graceEnd := f.started.Add(peerGracePeriod)
	switch {
	case t.backingOff:
		t.nextStep = t.backoffUntil
		return nil
	case t.readingStore:
		t.nextStep = t.readDeadline
		return nil
	case f.inForce == nil && now.Before(graceEnd):
		t.nextStep = graceEnd
		return nil
	case t.storeFailed:
		t.backingOff = true
		t.backoffUntil = now.Add(f.jitter(min(initialFetchBackoff<<min(t.failedRounds, maxDoublings), maxRetryDelay)))
		t.failedRounds++
		t.nextStep = t.backoffUntil
		return nil
	}
	t.readingStore = true
	t.readDeadline = now.Add(readTimeout)
	t.nextStep = t.readDeadline
	return []Decision{ReadSnapshot{Hash: t.hash}}
}

// pickSource returns a random peer that has the snapshot, or a newer one, and has
// not had a request in this round.
func (f *Follower) pickSource() (Peer, bool) {
	var peers []Peer
	for _, p := range f.peerOrder {
		h := f.peers[p]
		hasSnapshot := h.revision > f.fetch.revision || h.revision == f.fetch.revision && h.hash == f.fetch.hash
		if hasSnapshot && !f.fetch.requested[p] {
			peers = append(peers, p)
		}
	}
	if len(peers) == 0 {
		return "", false
	}
	return peers[f.random.IntN(len(peers))], true
}

func (f *Follower) failStoreRead(hash Hash) {
	if f.fetch != nil && f.fetch.hash == hash && f.fetch.readingStore {
		f.fetch.readingStore = false
		f.fetch.storeFailed = true
	}
}
