package daisycontroller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisypath"
	"daisyyoke/io/daisycontroller"
)

func TestElapsedIsDifferenceToLongestTimeout(t *testing.T) {
	c := daisycontroller.NewTimeout()
	r := daisypath.Route{Name: "r"}
	assert.Equal(t, c.Elapsed(r, 1500*time.Millisecond), time.Duration(0))
	assert.Equal(t, c.Elapsed(r, 400*time.Millisecond), 1100*time.Millisecond)
	assert.Equal(t, c.Elapsed(r, 2*time.Second), time.Duration(0))
	assert.Equal(t, c.Elapsed(daisypath.Route{Name: "other"}, time.Second), time.Duration(0))
	assert.Equal(t, c.Elapsed(r, 0), time.Duration(0), "a caller without a timeout has no known waiting time")
}
