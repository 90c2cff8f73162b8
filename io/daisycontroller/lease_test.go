package daisycontroller_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyplatform"
)

// pausableTable is a table whose operations block while it is paused.
type pausableTable struct {
	daisyplatform.Table
	paused chan struct{}
}

func (p *pausableTable) wait() {
	if p.paused != nil {
		<-p.paused
	}
}

func (p *pausableTable) GetRow(ctx context.Context, key string) daisyplatform.Answer {
	p.wait()
	return p.Table.GetRow(ctx, key)
}

func (p *pausableTable) SwapRow(ctx context.Context, key string, expected daisyplatform.Version, value []byte) daisyplatform.Answer {
	p.wait()
	return p.Table.SwapRow(ctx, key, expected, value)
}

func newLease(name daisyvm.Name, table daisyplatform.Table) *daisycontroller.Lease {
	return daisycontroller.NewLease(daisycontroller.LeaseOptions{Self: daisyvm.VM{Name: name, Incarnation: 1}, Platform: table})
}

func TestLeaseIsHeldByOneVMAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		table := daisyplatform.NewEmbedded()
		a, b := newLease("vm-1", table), newLease("vm-2", table)
		defer a.Close()
		defer b.Close()
		held, err := a.Acquire(ctx, "planned-stop")
		assert.NilError(t, err)
		_, err = a.Acquire(ctx, "planned-stop")
		assert.Assert(t, errorx.IsOfType(err, daisyerror.InvalidRequest), "%v", err)
		timeoutCtx, cancel := context.WithTimeout(ctx, time.Minute)
		defer cancel()
		_, err = b.Acquire(timeoutCtx, "planned-stop")
		assert.Assert(t, errorx.IsOfType(err, daisyerror.Unavailable), "%v", err)
		before := held.Token()
		assert.NilError(t, held.Write(ctx, "stopping"))
		assert.Assert(t, held.Token() > before)
		assert.NilError(t, held.Release(ctx))
		next, err := b.Acquire(ctx, "planned-stop")
		assert.NilError(t, err)
		assert.Assert(t, next.Token() > held.Token())
		assert.NilError(t, next.Release(ctx))
	})
}

func TestWriteFailsAfterPausedHolderLosesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		table := daisyplatform.NewEmbedded()
		pausable := &pausableTable{Table: table}
		a, b := newLease("vm-1", pausable), newLease("vm-2", table)
		defer a.Close()
		defer b.Close()
		held, err := a.Acquire(ctx, "planned-stop")
		assert.NilError(t, err)
		pausable.paused = make(chan struct{})
		lateWrite := make(chan error)
		go func() { lateWrite <- held.Write(ctx, "late") }()
		next, err := b.Acquire(ctx, "planned-stop")
		assert.NilError(t, err)
		assert.NilError(t, next.Write(ctx, "mine"))
		close(pausable.paused)
		assert.Assert(t, errorx.IsOfType(<-lateWrite, daisyerror.Stale))
		<-held.Lost()
		row := table.GetRow(ctx, "lease/planned-stop").(daisyplatform.RowRead).Row
		assert.Assert(t, string(row.Value) != "" && !containsText(row.Value, "late") && containsText(row.Value, "mine"))
		assert.NilError(t, next.Release(ctx))
	})
}

func containsText(value []byte, text string) bool { return strings.Contains(string(value), text) }
