package daisycontroller

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyplan"
	"daisyyoke/io/daisyplatform"
	"daisyyoke/io/daisysnapshot"
)

// maxReadLag is the maximum time by which reads of the table may lag.
const maxReadLag = time.Minute

// errRowChanged is the type of errors for a row that no longer has the expected version.
var errRowChanged = daisyerror.Stale.NewSubtype("row-changed")

// retryRowChanged retries an operation while it fails because the row was changed
// concurrently, or appears so because reads lag. It fails with daisyerror.Unavailable
// when ctx ends.
func retryRowChanged(ctx context.Context, operation func() error) error {
	err := retryWhile(ctx, errRowChanged, operation)
	if errorx.IsOfType(err, errRowChanged) {
		return daisyerror.Unavailable.Wrap(err, "given up for now")
	}
	return err
}

// findRow returns the newest known row of a plan.
func (c *Plan) findRow(ctx context.Context, id daisyplan.ID) (planRow, error) {
	var row planRow
	err := retryUnavailable(ctx, func() error {
		var err error
		row, err = c.getRow(ctx, id)
		return err
	})
	return row, err
}

func (c *Plan) getRow(ctx context.Context, id daisyplan.ID) (planRow, error) {
	operation := "read plan " + string(id)
	if !validPlanID(id) {
		return planRow{}, daisyerror.NotFound.New("no plan %s", id)
	}
	switch a := c.options.Platform.GetRow(ctx, planPrefix+string(id)).(type) {
	case daisyplatform.RowRead:
		return c.newestRow(id, a.Row, a.Era)
	case daisyplatform.NotFound:
		if row, ok := c.writtenRow(id); ok {
			return row.expecting(0, a.Era), nil
		}
		if createdRecently(id, now()) {
			return planRow{}, daisyerror.Unavailable.New("the platform does not show plan %s yet, or there is none", id)
		}
		return planRow{}, daisyerror.NotFound.New("no plan %s", id)
	case daisyplatform.Unavailable:
		return planRow{}, unavailableError(a.Err, operation)
	default:
		return planRow{}, unexpectedError(a, operation)
	}
}

// validPlanID reports whether an id is of valid length and consists only of digits,
// lower-case letters and hyphens, so that no other characters get into the table's keys.
func validPlanID(id daisyplan.ID) bool {
	rest := strings.Trim(string(id), "0123456789abcdefghijklmnopqrstuvwxyz-")
	return id != "" && len(id) <= daisyplatform.MaxNameLength/2 && rest == ""
}

// createdRecently reports whether the time in a plan's id is so recent that a lagging
// read may not show the plan yet.
func createdRecently(id daisyplan.ID, at time.Time) bool {
	if len(id) < len(planTimeLayout) {
		return false
	}
	created, err := time.Parse(planTimeLayout, string(id[:len(planTimeLayout)]))
	return err == nil && at.Sub(created).Abs() < maxReadLag
}

func (c *Plan) newestRow(id daisyplan.ID, row daisyplatform.Row, era daisyplatform.Era) (planRow, error) {
	if w, ok := c.writtenRow(id); ok && w.version > row.Version {
		return w.expecting(row.Version, era), nil
	}
	record, err := daisysnapshot.DecodePlanRecord(row.Value)
	return planRow{record: record, version: row.Version}, err
}

// expecting returns a row that this VM wrote, for a write over the version that was read.
// The platform has an older version than the written one if the read lags, or if the
// platform was restored from a backup since; then the next write replaces that one.
func (r planRow) expecting(read daisyplatform.Version, era daisyplatform.Era) planRow {
	if era > r.version.Era() {
		r.version = read
	}
	return r
}

func (c *Plan) writtenRow(id daisyplan.ID) (planRow, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	row, ok := c.writtenRows[id]
	return row, ok
}

// cacheRow caches a written row until its plan expires.
func (c *Plan) cacheRow(row planRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := now()
	for id, w := range c.writtenRows {
		if !at.Before(w.record.Expires) {
			delete(c.writtenRows, id)
		}
	}
	c.writtenRows[row.record.ID] = row
}

// writeRow writes a plan's row if the stored row still has the version of the given one.
// After a lost reply it reads the row back to find out whether the write took effect.
// It fails with errRowChanged when the row has another version.
func (c *Plan) writeRow(ctx context.Context, row planRow) error {
	value, err := daisysnapshot.EncodePlanRecord(row.record)
	if err != nil {
		return err
	}
	key := planPrefix + string(row.record.ID)
	operation := "write plan " + string(row.record.ID)
	replyLost := false
	return retryUnavailable(ctx, func() error {
		if replyLost {
			if settled, err := c.readBack(ctx, row, value); settled {
				return err
			}
		}
		switch a := c.options.Platform.SwapRow(ctx, key, row.version, value).(type) {
		case daisyplatform.RowWritten:
			c.cacheRow(planRow{record: row.record, version: a.Version})
			return nil
		case daisyplatform.Conflict:
			if replyLost {
				return daisyerror.Unavailable.New("%s: reads lag behind the write", operation)
			}
			return errRowChanged.New("plan %s was changed by somebody else", row.record.ID)
		case daisyplatform.Unknown:
			replyLost = true
			return unavailableError(a.Err, operation)
		case daisyplatform.Unavailable:
			return unavailableError(a.Err, operation)
		default:
			return unexpectedError(a, operation)
		}
	})
}

// readBack determines whether a write whose reply was lost took effect. The result is
// not settled as long as reads show the version that the write was to replace.
func (c *Plan) readBack(ctx context.Context, row planRow, value []byte) (settled bool, err error) {
	a, ok := c.options.Platform.GetRow(ctx, planPrefix+string(row.record.ID)).(daisyplatform.RowRead)
	if !ok || a.Row.Version <= row.version {
		return false, nil
	}
	if !bytes.Equal(a.Row.Value, value) {
		return true, errRowChanged.New("plan %s was changed by somebody else", row.record.ID)
	}
	c.cacheRow(planRow{record: row.record, version: a.Row.Version})
	return true, nil
}

// List returns the plans created yesterday and today (UTC), newest first.
func (c *Plan) List(ctx context.Context) ([]daisyplan.Record, error) {
	ctx, end, err := c.startOperation(ctx)
	if err != nil {
		return nil, err
	}
	defer end()
	today := now().UTC()
	var records []daisyplan.Record
	for _, day := range []time.Time{today.Add(-daisyplan.Lifetime), today} {
		found, err := c.listDay(ctx, day)
		if err != nil {
			return nil, err
		}
		records = append(records, found...)
	}
	head, err := c.newestHead(ctx)
	if err != nil {
		return nil, err
	}
	for i := range records {
		if records[i].State, err = c.planState(ctx, records[i], head); err != nil {
			return nil, err
		}
	}
	slices.Reverse(records)
	return records, nil
}

func (c *Plan) listDay(ctx context.Context, day time.Time) ([]daisyplan.Record, error) {
	prefix := planPrefix + day.Format(planDateLayout) + "-"
	var rows []daisyplatform.Row
	err := retryUnavailable(ctx, func() error {
		switch a := c.options.Platform.ListRows(ctx, prefix).(type) {
		case daisyplatform.RowsListed:
			rows = a.Rows
			return nil
		case daisyplatform.Unavailable:
			return unavailableError(a.Err, "list plans")
		default:
			return unexpectedError(a, "list plans")
		}
	})
	if err != nil {
		return nil, err
	}
	return c.mergeWrittenRows(prefix, rows)
}

// mergeWrittenRows decodes the listed rows and adds rows that this VM wrote and a
// lagging list does not show yet.
func (c *Plan) mergeWrittenRows(prefix string, rows []daisyplatform.Row) ([]daisyplan.Record, error) {
	var records []daisyplan.Record
	listed := make(map[daisyplan.ID]bool)
	for _, r := range rows {
		id := daisyplan.ID(strings.TrimPrefix(r.Key, planPrefix))
		listed[id] = true
		row, err := c.newestRow(id, r, 0)
		if err != nil {
			return nil, err
		}
		records = append(records, row.record)
	}
	c.mu.Lock()
	for id, w := range c.writtenRows {
		if !listed[id] && strings.HasPrefix(planPrefix+string(id), prefix) {
			records = append(records, w.record)
		}
	}
	c.mu.Unlock()
	slices.SortFunc(records, func(a, b daisyplan.Record) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return records, nil
}

// Discard closes a plan so that it can no longer be confirmed. It fails with
// daisyerror.Ended for a plan whose confirmation has begun or is complete.
func (c *Plan) Discard(ctx context.Context, id daisyplan.ID, operator string) error {
	ctx, end, err := c.startOperation(ctx)
	if err != nil {
		return err
	}
	defer end()
	return retryRowChanged(ctx, func() error { return c.discard(ctx, id, operator) })
}

func (c *Plan) discard(ctx context.Context, id daisyplan.ID, operator string) error {
	row, err := c.findRow(ctx, id)
	if err != nil {
		return err
	}
	switch s := row.record.State.(type) {
	case daisyplan.Open:
		row.record.State = daisyplan.Discarded{By: operator, At: now()}
		return c.writeRow(ctx, row)
	case daisyplan.Discarded:
		return nil
	case daisyplan.Confirming:
		return daisyerror.Ended.New("plan %s is being confirmed by %s; confirm it again to learn the result", id, s.By)
	case daisyplan.Confirmed:
		return daisyerror.Ended.New("plan %s is confirmed as revision %d; to go back, make a new plan", id, s.Revision)
	case daisyplan.Expired, daisyplan.Superseded:
	}
	return nil
}
