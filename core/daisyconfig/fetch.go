package daisyconfig

import "time"

// advance starts what is due: a read of the head row, and the next step of a fetch.
func (f *Follower) advance(now time.Time) []Decision {
	f.prune(now)
	var decisions []Decision
	if !now.Before(f.nextRead) {
		if f.reading {
			f.failRead(now)
		} else {
			f.reading = true
			f.nextRead = now.Add(readTimeout)
			decisions = append(decisions, ReadHead{})
		}
	}
	f.aim()
	return append(decisions, f.step(now)...)
}

func (f *Follower) prune(now time.Time) {
	kept := f.order[:0]
	for _, p := range f.order {
		if f.live(now, f.peers[p]) {
			kept = append(kept, p)
			continue
		}
		delete(f.peers, p)
	}
	f.order = kept
}

// aim sets the fetch to the newest head that is known and not in force. Among
// heads with the same revision the one in the platform's table wins.
func (f *Follower) aim() {
	best := f.stored
	for _, p := range f.order {
		h := f.peers[p]
		if h.revision > best.Revision {
			best = Head{Revision: h.revision, Hash: h.hash}
		}
	}
	if best.Revision == 0 || !f.wants(best) {
		f.fetch = nil
		return
	}
	if f.fetch != nil && f.fetch.revision == best.Revision && f.fetch.hash == best.Hash {
		return
	}
	f.fetch = &fetch{revision: best.Revision, hash: best.Hash, tried: make(map[Peer]bool)}
}

func (f *Follower) wants(head Head) bool {
	if f.inForce == nil || head.Revision > f.inForce.Revision {
		return true
	}
	// Only the table can replace a snapshot by another with the same revision.
	return f.conflicts(head.Revision, head.Hash) && f.stored.Hash == head.Hash
}

// step asks the next source: peers that announced the snapshot first, then the
// object store. A peer that announces it while the store is being read is asked too.
func (f *Follower) step(now time.Time) []Decision {
	t := f.fetch
	if t == nil {
		return nil
	}
	if t.reading && !now.Before(t.readUntil) {
		f.failFetch(t.hash)
	}
	if t.resting && !now.Before(t.restUntil) {
		t.resting = false
		t.storeFailed = false
		t.tried = make(map[Peer]bool)
	}
	if now.Before(t.askUntil) {
		t.deadline = t.askUntil
		return nil
	}
	if p, ok := f.source(); ok {
		t.tried[p] = true
		t.askUntil = now.Add(askTimeout)
		t.deadline = t.askUntil
		return []Decision{AskPeer{To: p, Hash: t.hash}}
	}
	return f.stepStore(now)
}

func (f *Follower) stepStore(now time.Time) []Decision {
	t := f.fetch
	grace := f.started.Add(peerGrace)
	switch {
	case t.resting:
		t.deadline = t.restUntil
		return nil
	case t.reading:
		t.deadline = t.readUntil
		return nil
	case f.inForce == nil && now.Before(grace):
		t.deadline = grace
		return nil
	case t.storeFailed:
		t.resting = true
		t.restUntil = now.Add(f.jitter(min(fetchPause<<min(t.rounds, maxDoublings), maxRetry)))
		t.rounds++
		t.deadline = t.restUntil
		return nil
	}
	t.reading = true
	t.readUntil = now.Add(readTimeout)
	t.deadline = t.readUntil
	return []Decision{ReadSnapshot{Hash: t.hash}}
}

// source picks at random a peer that has the snapshot and was not asked yet.
func (f *Follower) source() (Peer, bool) {
	var peers []Peer
	for _, p := range f.order {
		h := f.peers[p]
		has := h.revision > f.fetch.revision || h.revision == f.fetch.revision && h.hash == f.fetch.hash
		if has && !f.fetch.tried[p] {
			peers = append(peers, p)
		}
	}
	if len(peers) == 0 {
		return "", false
	}
	return peers[f.random.IntN(len(peers))], true
}

func (f *Follower) failFetch(hash Hash) {
	if f.fetch != nil && f.fetch.hash == hash && f.fetch.reading {
		f.fetch.reading = false
		f.fetch.storeFailed = true
	}
}
