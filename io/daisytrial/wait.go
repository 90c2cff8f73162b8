package daisytrial

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"daisyyoke/core/daisyerror"
)

// pollInterval is the time between two requests of WaitFor.
const pollInterval = 50 * time.Millisecond

// WaitFor polls a path of an address until the response is 200. It fails with
// daisyerror.Unavailable if the context ends first.
func WaitFor(ctx context.Context, client *http.Client, address netip.AddrPort, path string) error {
	for {
		response, err := client.Get("http://" + address.String() + path)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !Sleep(ctx, pollInterval) {
			return daisyerror.Unavailable.New("%s did not answer %s with 200", address, path)
		}
	}
}

// Sleep waits for d or until the context ends. It reports whether d passed first.
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
