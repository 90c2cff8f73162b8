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
	f.aim(now)
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
func (f *Follower) aim(now time.Time) {
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
	f.fetch = &fetch{revision: best.Revision, hash: best.Hash, tried: make(map[Peer]bool), deadline: now}
}

func (f *Follower) wants(head Head) bool {
	if f.inForce == nil || head.Revision > f.inForce.Revision {
		return true
	}
	// Only the table can replace a snapshot by another with the same revision.
	return f.conflicts(head.Revision, head.Hash) && f.stored.Hash == head.Hash
}

// step asks the next source: peers that announced the snapshot first, then the object store.
func (f *Follower) step(now time.Time) []Decision {
	if f.fetch == nil || now.Before(f.fetch.deadline) && !f.fetch.waitingForPeer {
		return nil
	}
	if f.fetch.fromStore {
		f.fetch.fromStore = false
		f.fetch.storeFailed = true
	}
	if p, ok := f.source(); ok {
		f.fetch.tried[p] = true
		f.fetch.waitingForPeer = false
		f.fetch.deadline = now.Add(askTimeout)
		return []Decision{AskPeer{To: p, Hash: f.fetch.hash}}
	}
	if f.inForce == nil && now.Sub(f.started) < peerGrace {
		f.fetch.waitingForPeer = true
		f.fetch.deadline = f.started.Add(peerGrace)
		return nil
	}
	f.fetch.waitingForPeer = false
	if !f.fetch.storeFailed {
		f.fetch.fromStore = true
		f.fetch.deadline = now.Add(readTimeout)
		return []Decision{ReadSnapshot{Hash: f.fetch.hash}}
	}
	f.fetch.tried = make(map[Peer]bool)
	f.fetch.storeFailed = false
	f.fetch.deadline = now.Add(f.jitter(fetchPause))
	return nil
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

func (f *Follower) failFetch(now time.Time, hash Hash) {
	if f.fetch == nil || f.fetch.hash != hash || !f.fetch.fromStore {
		return
	}
	f.fetch.deadline = now
}
