package daisyforward_test

import (
	"io"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisystand"
)

// sendOnce sends a request and reads the whole response.
func sendOnce(t testing.TB, transport *http.Transport) {
	response, err := transport.RoundTrip(newCall(t, http.MethodGet, nil))
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.Copy(io.Discard, response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatal(response.Status, err)
	}
	_ = response.Body.Close()
}

func newBenchEndpoint(t testing.TB) netip.AddrPort {
	return startEndpoint(t, daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: 2}))
}

// newDirectTransport returns a caller's transport that connects to the endpoint
// without a VM in between.
func newDirectTransport(t testing.TB, endpoint netip.AddrPort) *http.Transport {
	v := startVM(t, newSettings(endpoint))
	transport := v.client(t, daisyservice.HTTP1)
	transport.DialContext = dialTo(endpoint)
	return transport
}

func BenchmarkCall(b *testing.B) {
	endpoint := newBenchEndpoint(b)
	for _, c := range []struct {
		name      string
		transport *http.Transport
	}{
		{"straight", newDirectTransport(b, endpoint)},
		{"through", startVM(b, newSettings(endpoint)).client(b, daisyservice.HTTP1)},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				sendOnce(b, c.transport)
			}
		})
	}
}

// TestAllocationsOfACall checks that a VM adds at most twice the allocations of a
// direct call: one part because it is a server and a client itself, and the same
// again for its own work.
func TestAllocationsOfACall(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector allocates by itself")
	}
	const runs = 300
	endpoint := newBenchEndpoint(t)
	direct, throughVM := newDirectTransport(t, endpoint), startVM(t, newSettings(endpoint)).client(t, daisyservice.HTTP1)
	base := testing.AllocsPerRun(runs, func() { sendOnce(t, direct) })
	total := testing.AllocsPerRun(runs, func() { sendOnce(t, throughVM) })
	t.Logf("allocations: %.0f in a direct call, %.0f through a VM", base, total)
	assert.Assert(t, total-base <= 2*base, "the VM added %.0f allocations to %.0f", total-base, base)
}
