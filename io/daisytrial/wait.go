package daisytrial

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"daisyyoke/core/daisyerror"
)

// askAgain is the time between two questions for readiness.
const askAgain = 50 * time.Millisecond

// WaitFor waits until an address answers a path with 200. It fails with
// daisyerror.Unavailable when the context ends first.
func WaitFor(ctx context.Context, client *http.Client, address netip.AddrPort, path string) error {
	for {
		response, err := client.Get("http://" + address.String() + path)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !Sleep(ctx, askAgain) {
			return daisyerror.Unavailable.New("%s does not answer %s", address, path)
		}
	}
}

// Sleep waits, and says whether the time passed before the context ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
