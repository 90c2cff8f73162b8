package daisycontroller_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisypath"
	"daisyyoke/io/daisycontroller"
)

func TestIndexIsThatOfTheConfigurationInForce(t *testing.T) {
	c := daisycontroller.NewIndex()
	defer c.Close()
	assert.Assert(t, c.Current() == nil)
	c.Apply(&daisyconfig.Snapshot{Revision: 7, Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{{
		Routes: []daisypath.Route{{Name: "r", Host: "h", Prefix: "/a/"}},
	}}}})
	<-c.Arrived()
	route, ok := c.Current().FindRoute("h", "/a/b")
	assert.Assert(t, ok)
	assert.Equal(t, route.Revision, uint64(7))
}
