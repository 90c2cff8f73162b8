package daisycontroller

import (
	"context"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyplan"
)

// maxLinks bounds the links of the chain of snapshots that are kept in memory;
// more than a day's changes fit.
const maxLinks = 4096

// link is what is kept of a confirmed snapshot: its head and the hash of the one before.
type link struct {
	head     daisyconfig.Head
	previous daisyconfig.Hash
}

// head gives the newest head that the platform or this VM knows of.
func (c *Plan) head(ctx context.Context) (daisyconfig.Head, error) {
	var head daisyconfig.Head
	err := persist(ctx, func() error {
		row, err := getHead(ctx, c.options.Platform)
		head = row.head
		return err
	})
	if s := c.options.Config.InForce(); s != nil && s.Revision > head.Revision {
		head = s.Head()
	}
	return head, err
}

// judge gives the state of a plan from its record and from what was confirmed
// after its base. The record may lag, the chain of snapshots does not.
func (c *Plan) judge(ctx context.Context, record daisyplan.Record, head daisyconfig.Head) (daisyplan.State, error) {
	successor := daisyplan.Successor{Head: head}
	switch record.State.(type) {
	case daisyplan.Confirmed, daisyplan.Discarded, daisyplan.Expired, daisyplan.Superseded:
		return record.State, nil
	case daisyplan.Open, daisyplan.Confirming:
	}
	if head.Revision > record.Base {
		var err error
		if successor.Next, err = c.ancestor(ctx, head, record.Base+1); err != nil {
			return nil, err
		}
	}
	return daisyplan.Judge(record, successor, now()), nil
}

// ancestor goes back along the chain of snapshots to the head of a revision.
func (c *Plan) ancestor(ctx context.Context, head daisyconfig.Head, revision daisyconfig.Revision) (daisyconfig.Head, error) {
	for head.Revision > revision {
		l, ok := c.knownLink(head.Hash)
		if !ok {
			var err error
			if l, err = c.readLink(ctx, head.Hash); err != nil {
				return daisyconfig.Head{}, err
			}
		}
		previous, ok := c.knownLink(l.previous)
		if !ok {
			var err error
			if previous, err = c.readLink(ctx, l.previous); err != nil {
				return daisyconfig.Head{}, err
			}
		}
		head = previous.head
	}
	if head.Revision != revision {
		return daisyconfig.Head{}, daisyerror.Internal.New("the chain of snapshots has no revision %d", revision)
	}
	return head, nil
}

func (c *Plan) knownLink(hash daisyconfig.Hash) (link, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.links[hash]
	return l, ok
}

func (c *Plan) readLink(ctx context.Context, hash daisyconfig.Hash) (link, error) {
	var l link
	err := persist(ctx, func() error {
		s, err := fetchSnapshot(ctx, c.options.Platform, hash)
		if err == nil {
			l = link{head: s.Head(), previous: s.Previous}
		}
		return err
	})
	if err != nil {
		return link{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.links) >= maxLinks {
		clear(c.links)
	}
	c.links[hash] = l
	return l, nil
}
