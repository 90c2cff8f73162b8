package daisycredit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// Guards against a check for a pause that comes late by as much as the wall clock was set
// back: its time has to keep the reading of the steady clock, which Round(0) removes.
func TestPauseCheckKeepsTheSteadyClock(t *testing.T) {
	now := time.Now()
	b := NewBorrower(daisyvm.VM{Name: "vm-1"}, daisyservice.Service{}, InAdvance{})
	b.fallback, b.lastCheck = false, now
	wake := b.NextWake()
	assert.Assert(t, wake.After(now) && !wake.After(now.Add(pauseCheckInterval)), "%v", wake.Sub(now))
	assert.Assert(t, wake.String() != wake.Round(0).String(), "%v", wake)
}
