package daisycontroller

import (
	"context"
	"sync"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyplatform"
)

// maxChainEntries limits the entries of the chain that are cached in memory. It is
// larger than the number of changes expected in a day.
const maxChainEntries = 4096

// snapshotChain reads the chain of confirmed snapshots, in which each snapshot refers
// to its predecessor by hash. The chain is append-only, so entries are cached once read.
type snapshotChain struct {
	objects daisyplatform.ObjectStore

	mu      sync.Mutex
	entries map[daisyconfig.Hash]chainEntry
}

// chainEntry is the cached part of a snapshot: its head and the hash of its predecessor.
type chainEntry struct {
	head     daisyconfig.Head
	previous daisyconfig.Hash
}

func newSnapshotChain(objects daisyplatform.ObjectStore) *snapshotChain {
	return &snapshotChain{objects: objects, entries: make(map[daisyconfig.Hash]chainEntry)}
}

func (c *snapshotChain) add(s *daisyconfig.Snapshot) chainEntry {
	e := chainEntry{head: s.Head(), previous: s.Previous}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) >= maxChainEntries {
		clear(c.entries)
	}
	c.entries[s.Hash] = e
	return e
}

// entry returns the entry of a snapshot. It fails with daisyerror.Unavailable when ctx
// ends before the object store has returned the snapshot.
func (c *snapshotChain) entry(ctx context.Context, hash daisyconfig.Hash) (chainEntry, error) {
	c.mu.Lock()
	e, ok := c.entries[hash]
	c.mu.Unlock()
	if ok {
		return e, nil
	}
	err := retryUnavailable(ctx, func() error {
		s, err := fetchSnapshot(ctx, c.objects, hash)
		if err == nil {
			e = c.add(s)
		}
		return err
	})
	return e, err
}

// ancestor follows the chain back from head and returns the head of the given revision.
func (c *snapshotChain) ancestor(ctx context.Context, head daisyconfig.Head, revision daisyconfig.Revision) (daisyconfig.Head, error) {
	for head.Revision > revision {
		e, err := c.entry(ctx, head.Hash)
		if err != nil {
			return daisyconfig.Head{}, err
		}
		if e, err = c.entry(ctx, e.previous); err != nil {
			return daisyconfig.Head{}, err
		}
		head = e.head
	}
	if head.Revision != revision {
		return daisyconfig.Head{}, daisyerror.Internal.New("the chain of snapshots has no revision %d", revision)
	}
	return head, nil
}

// history returns at most limit heads, newest first, starting at the given one.
func (c *snapshotChain) history(ctx context.Context, head daisyconfig.Head, limit int) ([]daisyconfig.Head, error) {
	var heads []daisyconfig.Head
	for hash := head.Hash; hash != "" && len(heads) < limit; {
		e, err := c.entry(ctx, hash)
		if err != nil {
			return heads, err
		}
		heads = append(heads, e.head)
		hash = e.previous
	}
	return heads, nil
}
