package daisycontroller

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyplan"
	"daisyyoke/io/daisyplatform"
	"daisyyoke/io/daisysnapshot"
)

// Confirm makes a plan the confirmed configuration, and returns when it is in force on
// this VM or when ctx ends. For a plan that is already confirmed it returns the plan
// unchanged. It fails with daisyerror.Stale when another plan was confirmed first, with
// daisyerror.Ended for a plan that was discarded or has expired, with
// daisyerror.Unavailable when nothing was changed, and with daisyerror.Unknown when the
// plan may have been confirmed: calling Confirm again determines the result.
func (c *Plan) Confirm(ctx context.Context, id daisyplan.ID, operator string) (daisyplan.Plan, error) {
	ctx, end, err := c.startOperation(ctx)
	if err != nil {
		return daisyplan.Plan{}, err
	}
	defer end()
	var p daisyplan.Plan
	err = retryRowChanged(ctx, func() error {
		var err error
		p, err = c.confirm(ctx, id, operator)
		return err
	})
	return p, err
}

func (c *Plan) confirm(ctx context.Context, id daisyplan.ID, operator string) (daisyplan.Plan, error) {
	row, err := c.findRow(ctx, id)
	if err != nil {
		return daisyplan.Plan{}, err
	}
	head, err := c.newestHead(ctx)
	if err != nil {
		return daisyplan.Plan{}, err
	}
	state, err := c.planState(ctx, row.record, head)
	if err != nil {
		return daisyplan.Plan{}, err
	}
	switch s := state.(type) {
	case daisyplan.Confirmed:
		if _, ok := row.record.State.(daisyplan.Confirming); ok {
			return c.completeConfirmation(ctx, row, operator)
		}
		return c.buildPlan(ctx, row.record, s)
	case daisyplan.Open, daisyplan.Confirming:
		return c.completeConfirmation(ctx, row, operator)
	case daisyplan.Superseded:
		return daisyplan.Plan{}, staleError(id, row.record.Base, s.Revision, s.By)
	case daisyplan.Discarded:
		return daisyplan.Plan{}, daisyerror.Ended.New("plan %s was discarded by %s", id, s.By)
	case daisyplan.Expired:
		return daisyplan.Plan{}, daisyerror.Ended.New("plan %s expired at %s; make a new one", id, row.record.Expires.Format(time.RFC3339))
	}
	return daisyplan.Plan{}, daisyerror.Internal.New("plan %s in an unknown state", id)
}

func staleError(id daisyplan.ID, base, revision daisyconfig.Revision, by string) error {
	return daisyerror.Stale.New(
		"plan %s was made from revision %d, but revision %d, confirmed by %s, came first; look at it with config view and make a new plan",
		id, base, revision, by)
}

// completeConfirmation runs all steps of the confirmation of an open plan. Each step is
// idempotent, and only the write of the head row makes the plan take effect.
func (c *Plan) completeConfirmation(ctx context.Context, row planRow, operator string) (daisyplan.Plan, error) {
	p, err := c.buildPlan(ctx, row.record, row.record.State)
	if err != nil {
		return daisyplan.Plan{}, err
	}
	if _, ok := row.record.State.(daisyplan.Open); ok {
		row.record.State = daisyplan.Confirming{By: operator, At: now()}
		if err := c.writeRow(ctx, row); err != nil {
			return daisyplan.Plan{}, err
		}
	}
	s, err := c.putSnapshot(ctx, p, operator)
	if err != nil {
		return daisyplan.Plan{}, err
	}
	if s, err = c.swapHead(ctx, s); err != nil {
		return daisyplan.Plan{}, err
	}
	if err := c.options.Config.Adopt(ctx, s); err != nil {
		c.options.Logger.Warn("confirmed configuration is not in force on this VM yet", "plan", p.ID, "revision", s.Revision, "error", err)
	}
	c.options.Logger.Info("plan confirmed", "plan", p.ID, "revision", s.Revision, "hash", s.Hash, "by", s.ConfirmedBy)
	p.State = daisyplan.Confirmed{Revision: s.Revision, By: s.ConfirmedBy, At: s.ConfirmedAt}
	c.recordConfirmed(p.Record)
	return p, nil
}

// putSnapshot stores the snapshot that results from the plan in the object store.
func (c *Plan) putSnapshot(ctx context.Context, p daisyplan.Plan, operator string) (*daisyconfig.Snapshot, error) {
	s := &daisyconfig.Snapshot{
		Revision:    p.Base + 1,
		Previous:    p.BaseHash,
		PlanID:      string(p.ID),
		ConfirmedBy: operator,
		ConfirmedAt: now().UTC().Round(0),
		Intent:      p.Intent,
	}
	data, hash, err := daisysnapshot.Encode(s)
	if err != nil {
		return nil, err
	}
	s.Hash = hash
	return s, putObject(ctx, c.options.Platform, snapshotPrefix+string(hash), data)
}

// swapHead replaces the head row of the previous revision. It returns the snapshot
// that the plan was confirmed as, which may have been written by another VM.
func (c *Plan) swapHead(ctx context.Context, s *daisyconfig.Snapshot) (*daisyconfig.Snapshot, error) {
	value, err := daisysnapshot.EncodeHead(s.Head())
	if err != nil {
		return nil, err
	}
	w := &headWrite{plan: c, snapshot: s, value: value}
	err = retryUnavailable(ctx, func() error { return w.attempt(ctx) })
	if err == nil {
		return w.snapshot, nil
	}
	if w.replyLost && errorx.IsOfType(err, daisyerror.Unavailable) {
		return nil, daisyerror.Unknown.Wrap(err, "plan %s may be confirmed; confirm it again to find out", s.PlanID)
	}
	return nil, err
}

// headWrite is the write of the head row for a snapshot, with all its attempts.
type headWrite struct {
	plan     *Plan
	snapshot *daisyconfig.Snapshot
	value    []byte
	// replyLost is set when the reply to an earlier write was lost.
	replyLost bool
}

// attempt reads the head row and replaces it if it refers to the base of the plan. It
// fails with daisyerror.Unavailable when the caller should retry.
func (w *headWrite) attempt(ctx context.Context) error {
	platform := w.plan.options.Platform
	row, err := getHead(ctx, platform)
	if err != nil {
		return err
	}
	base := w.snapshot.Revision - 1
	if row.head.Revision > base {
		return w.resolveConflict(ctx, row.head)
	}
	if row.head.Revision < base {
		return daisyerror.Unavailable.New("the head row shows revision %d, less than %d: the read lags", row.head.Revision, base)
	}
	switch a := platform.SwapRow(ctx, headKey, row.version, w.value).(type) {
	case daisyplatform.RowWritten:
		return nil
	case daisyplatform.Conflict:
		return daisyerror.Unavailable.New("the head row has changed, and reads lag")
	case daisyplatform.Unknown:
		w.replyLost = true
		return unavailableError(a.Err, "write the head row")
	case daisyplatform.Unavailable:
		return unavailableError(a.Err, "write the head row")
	default:
		return unexpectedError(a, "write the head row")
	}
}

// resolveConflict determines which plan was confirmed after the base.
func (w *headWrite) resolveConflict(ctx context.Context, head daisyconfig.Head) error {
	next, err := w.plan.options.Config.chain.ancestor(ctx, head, w.snapshot.Revision)
	if err != nil {
		return err
	}
	if next.PlanID == w.snapshot.PlanID {
		return w.useConfirmedSnapshot(ctx, next)
	}
	return staleError(daisyplan.ID(w.snapshot.PlanID), w.snapshot.Revision-1, next.Revision, next.ConfirmedBy)
}

// useConfirmedSnapshot sets the snapshot to the one that the plan was confirmed as.
func (w *headWrite) useConfirmedSnapshot(ctx context.Context, head daisyconfig.Head) error {
	if head.Hash == w.snapshot.Hash {
		return nil
	}
	s, err := fetchSnapshot(ctx, w.plan.options.Platform, head.Hash)
	if err == nil {
		w.snapshot = s
	}
	return err
}

// recordConfirmed writes the confirmed state to the plan's row in the background, so
// that List does not have to read the chain of snapshots for it. The plan stays
// confirmed if this fails.
func (c *Plan) recordConfirmed(record daisyplan.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, platformTimeout)
		defer cancel()
		row, err := c.findRow(ctx, record.ID)
		if err == nil {
			row.record.State = record.State
			err = c.writeRow(ctx, row)
		}
		if err != nil {
			c.options.Logger.Warn("failed to record plan as confirmed", "plan", record.ID, "error", err)
		}
	})
}

// ConfirmFirst confirms an intent as revision 1, unless a configuration is already confirmed.
func (c *Plan) ConfirmFirst(ctx context.Context, intent daisyconfig.Intent, operator string) error {
	s, err := c.newestSnapshot(ctx)
	if err != nil || s != nil {
		return err
	}
	p, err := c.Create(ctx, intent, operator)
	if err != nil {
		return err
	}
	_, err = c.Confirm(ctx, p.ID, operator)
	if errorx.IsOfType(err, daisyerror.Stale) {
		return nil
	}
	return err
}
