package daisyconnection

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyendpoint"
)

// Guards against an endpoint that is taken for crashed although a process listens there, or
// because the way to it is cut.
func TestCheckTellsCrashesFromOtherFailures(t *testing.T) {
	pool := NewPool(DefaultLimits())
	t.Cleanup(pool.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	assert.Equal(t, pool.Check(t.Context(), address), daisyendpoint.Reachability(daisyendpoint.Accepting{}))
	assert.NilError(t, listener.Close())
	assert.Equal(t, pool.Check(t.Context(), address), daisyendpoint.Reachability(daisyendpoint.Refusing{}))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Equal(t, pool.Check(ended, address), daisyendpoint.Reachability(daisyendpoint.Silent{}))
}
