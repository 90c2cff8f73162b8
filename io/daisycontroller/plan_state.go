package daisycontroller

import (
	"context"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyplan"
)

// newestHead returns the newest head that the platform or this VM knows.
func (c *Plan) newestHead(ctx context.Context) (daisyconfig.Head, error) {
	var head daisyconfig.Head
	err := retryUnavailable(ctx, func() error {
		row, err := getHead(ctx, c.options.Platform)
		head = row.head
		return err
	})
	if s := c.options.Config.InForce(); s != nil && s.Revision > head.Revision {
		head = s.Head()
	}
	return head, err
}

// planState determines the state of a plan from its record and from the revision that
// was confirmed after its base. The record may lag; the chain of snapshots does not.
func (c *Plan) planState(ctx context.Context, record daisyplan.Record, head daisyconfig.Head) (daisyplan.State, error) {
	successor := daisyplan.Successor{Head: head}
	switch record.State.(type) {
	case daisyplan.Confirmed, daisyplan.Discarded, daisyplan.Expired, daisyplan.Superseded:
		return record.State, nil
	case daisyplan.Open, daisyplan.Confirming:
	}
	if head.Revision > record.Base {
		var err error
		if successor.Next, err = c.options.Config.chain.ancestor(ctx, head, record.Base+1); err != nil {
			return nil, err
		}
	}
	return daisyplan.CurrentState(record, successor, now()), nil
}
