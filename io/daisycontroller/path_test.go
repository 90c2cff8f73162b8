package daisycontroller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisypath"
	"daisyyoke/io/daisycontroller"
)

func TestRouteHasRevisionOfConfiguration(t *testing.T) {
	c := daisycontroller.NewPath()
	defer c.Close()
	assert.Assert(t, !c.Configured())
	_, ok := c.FindRoute("h", "/a/")
	assert.Assert(t, !ok)
	c.Apply(&daisyconfig.Snapshot{Revision: 7, Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{{
		Routes: []daisypath.Route{{Name: "r", Host: "h", Prefix: "/a/"}},
	}}}})
	route, ok := c.FindRoute("h", "/a/b")
	assert.Assert(t, ok && c.Configured())
	assert.Equal(t, route.Revision, uint64(7))
}

func TestElapsedIsDifferenceToLongestTimeout(t *testing.T) {
	c := daisycontroller.NewPath()
	r := daisypath.Route{Name: "r"}
	assert.Equal(t, c.Elapsed(r, 1500*time.Millisecond), time.Duration(0))
	assert.Equal(t, c.Elapsed(r, 400*time.Millisecond), 1100*time.Millisecond)
	assert.Equal(t, c.Elapsed(r, 2*time.Second), time.Duration(0))
	assert.Equal(t, c.Elapsed(daisypath.Route{Name: "other"}, time.Second), time.Duration(0))
	assert.Equal(t, c.Elapsed(r, 0), time.Duration(0), "a caller without a timeout has no known waiting time")
}
