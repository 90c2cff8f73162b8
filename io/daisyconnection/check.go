package daisyconnection

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"

	"daisyyoke/core/daisyendpoint"
)

// Check opens a connection to an endpoint and closes it again, to find out whether a process
// listens there. It sends nothing.
func (p *Pool) Check(ctx context.Context, endpoint netip.AddrPort) daisyendpoint.Reachability {
	ctx, cancel := withTimeout(ctx, p.limits.DialTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", endpoint.String())
	switch {
	case err == nil:
		_ = c.Close()
		return daisyendpoint.Accepting{}
	case errors.Is(err, syscall.ECONNREFUSED):
		return daisyendpoint.Refusing{}
	}
	return daisyendpoint.Silent{}
}
