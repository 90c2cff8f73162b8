package daisycontroller

import (
	"context"
	"sync"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyplatform"
)

// maxLinks limits the entries of the chain that are cached in memory. It is
// larger than the number of changes expected in a day.
const maxLinks = 4096

// chain is the chain of confirmed snapshots, in which each snapshot refers to its
// predecessor by hash. The chain is append-only, so entries are cached once read.
type chain struct {
	objects daisyplatform.Objects

	mu    sync.Mutex
	links map[daisyconfig.Hash]link
}

// link is the cached part of a snapshot: its head and the hash of its predecessor.
type link struct {
	head     daisyconfig.Head
	previous daisyconfig.Hash
}

func newChain(objects daisyplatform.Objects) *chain {
	return &chain{objects: objects, links: make(map[daisyconfig.Hash]link)}
}

func (c *chain) add(s *daisyconfig.Snapshot) link {
	l := link{head: s.Head(), previous: s.Previous}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.links) >= maxLinks {
		clear(c.links)
	}
	c.links[s.Hash] = l
	return l
}

// link returns the entry of a snapshot. It fails with daisyerror.Unavailable when ctx
// ends before the object store has returned the snapshot.
func (c *chain) link(ctx context.Context, hash daisyconfig.Hash) (link, error) {
	c.mu.Lock()
	l, ok := c.links[hash]
	c.mu.Unlock()
	if ok {
		return l, nil
	}
	err := persist(ctx, func() error {
		s, err := fetchSnapshot(ctx, c.objects, hash)
		if err == nil {
			l = c.add(s)
		}
		return err
	})
	return l, err
}

// ancestor follows the chain back from head and returns the head of the given revision.
func (c *chain) ancestor(ctx context.Context, head daisyconfig.Head, revision daisyconfig.Revision) (daisyconfig.Head, error) {
	for head.Revision > revision {
		l, err := c.link(ctx, head.Hash)
		if err != nil {
			return daisyconfig.Head{}, err
		}
		if l, err = c.link(ctx, l.previous); err != nil {
			return daisyconfig.Head{}, err
		}
		head = l.head
	}
	if head.Revision != revision {
		return daisyconfig.Head{}, daisyerror.Internal.New("the chain of snapshots has no revision %d", revision)
	}
	return head, nil
}

// history returns at most limit heads, newest first, starting at the given one.
func (c *chain) history(ctx context.Context, head daisyconfig.Head, limit int) ([]daisyconfig.Head, error) {
	var heads []daisyconfig.Head
	for hash := head.Hash; hash != "" && len(heads) < limit; {
		l, err := c.link(ctx, hash)
		if err != nil {
			return heads, err
		}
		heads = append(heads, l.head)
		hash = l.previous
	}
	return heads, nil
}
