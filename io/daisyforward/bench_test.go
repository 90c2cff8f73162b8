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

func callOnce(t testing.TB, transport *http.Transport) {
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

// newStraight gives a caller's transport that goes to the endpoint without a VM.
func newStraight(t testing.TB, endpoint netip.AddrPort) *http.Transport {
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
		{"straight", newStraight(b, endpoint)},
		{"through", startVM(b, newSettings(endpoint)).client(b, daisyservice.HTTP1)},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				callOnce(b, c.transport)
			}
		})
	}
}

// TestAllocationsOfACall holds a VM to twice the allocations of a plain call: it
// is a server and a client, and may spend as much again on its own work.
func TestAllocationsOfACall(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector allocates by itself")
	}
	const runs = 300
	endpoint := newBenchEndpoint(t)
	straight, through := newStraight(t, endpoint), startVM(t, newSettings(endpoint)).client(t, daisyservice.HTTP1)
	plain := testing.AllocsPerRun(runs, func() { callOnce(t, straight) })
	whole := testing.AllocsPerRun(runs, func() { callOnce(t, through) })
	t.Logf("allocations: straight %.0f, through %.0f", plain, whole)
	assert.Assert(t, whole-plain <= 2*plain, "added %.0f to %.0f", whole-plain, plain)
}
