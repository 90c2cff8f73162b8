package daisyforward_test

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisystand"
)

var zone = daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: "lisboa-1"}

// result is what a caller observes of one request.
type result struct {
	status     int
	run        string
	retryAfter bool
	problem    bool
	truncated  bool
}

// roundTrip sends r and returns what the caller observes.
func roundTrip(t *testing.T, transport *http.Transport, r *http.Request) result {
	t.Helper()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return result{truncated: true}
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return result{
		status:     response.StatusCode,
		run:        response.Header.Get("Daisy-Run"),
		retryAfter: response.Header.Get("Retry-After") != "",
		problem:    response.Header.Get("Content-Type") == "application/problem+json",
		truncated:  err != nil,
	}
}

// faultCase is a fault that both endpoints of the service have, and the expected result.
type faultCase struct {
	name   string
	faults daisystand.Faults
	down   bool
	want   result
}

var served = result{status: http.StatusOK}

func TestContractOfAnswersByFault(t *testing.T) {
	cases := []faultCase{
		{name: "sound", want: served},
		{name: "fail fast", faults: daisystand.Faults{FailFast: true}, want: result{status: 500}},
		{name: "sheds", faults: daisystand.Faults{ShedAll: true}, want: result{status: 503, run: "not-run", retryAfter: true, problem: true}},
		{name: "down", down: true, want: result{status: 503, run: "not-run", retryAfter: true, problem: true}},
		{name: "breaks before the header", faults: daisystand.Faults{Break: daisystand.BreakBeforeHeader}, want: result{status: 502, run: "unknown", problem: true}},
		{name: "breaks after the header", faults: daisystand.Faults{Break: daisystand.BreakAfterHeader}, want: result{status: 200, truncated: true}},
		{name: "breaks in the body", faults: daisystand.Faults{Break: daisystand.BreakMidBody}, want: result{status: 200, truncated: true}},
		{name: "frozen", faults: daisystand.Faults{Freeze: true}, want: result{status: 504, run: "unknown", problem: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
				endpoints, addresses := c.start(t)
				s := newSettings(addresses...)
				s.protocol = protocol
				v := startVM(t, s)
				r := newCall(t, http.MethodPost, strings.NewReader("order"))
				r.Header.Set("Daisy-Timeout", "200ms")
				r.Header.Set("Idempotency-Key", "k")
				got := roundTrip(t, v.client(t, caller), r)
				assert.Equal(t, got, c.want)
				ran := endpoints[0].Ran().Keys["k"] + endpoints[1].Ran().Keys["k"]
				assert.Assert(t, ran <= 1)
				assert.Assert(t, got.run != "not-run" || ran == 0)
			})
		})
	}
}

// start returns the two endpoints of the service, which have the same fault.
func (f faultCase) start(t *testing.T) (endpoints []*daisystand.Endpoint, addresses []netip.AddrPort) {
	for range 2 {
		e := daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: 2, AnswerSize: 1000})
		e.SetFaults(f.faults)
		endpoints = append(endpoints, e)
		if f.down {
			addresses = append(addresses, unusedAddress(t))
			continue
		}
		addresses = append(addresses, startEndpoint(t, e))
	}
	return endpoints, addresses
}

func TestContractOfRefusals(t *testing.T) {
	refused := result{status: 400, run: "not-run", problem: true}
	cases := []struct {
		name string
		edit func(r *http.Request)
		want result
	}{
		{"host without fleet", func(r *http.Request) { r.Host = "lookups" }, refused},
		{"host with three labels", func(r *http.Request) { r.Host = "a.lookups.vigia-lar" }, refused},
		{"host as an address", func(r *http.Request) { r.Host = "127.0.0.1:80" }, refused},
		{"port after the host", func(r *http.Request) { r.Host = "lookups.vigia-lar:8080" }, served},
		{"host in capitals", func(r *http.Request) { r.Host = "Lookups.Vigia-Lar" }, served},
		{"unknown service", func(r *http.Request) { r.Host = "orders.vigia-lar" }, result{status: 404, run: "not-run", problem: true}},
		{"unknown fleet", func(r *http.Request) { r.Host = "lookups.elsewhere" }, result{status: 404, run: "not-run", problem: true}},
		{"known rank", func(r *http.Request) { r.Header.Set("Daisy-Rank", "urgent") }, served},
		{"unknown rank", func(r *http.Request) { r.Header.Set("Daisy-Rank", "bulk") }, refused},
		{"empty rank", func(r *http.Request) { r.Header.Set("Daisy-Rank", "") }, refused},
		{"two ranks", func(r *http.Request) { r.Header["Daisy-Rank"] = []string{"urgent", "urgent"} }, refused},
		{"timeout", func(r *http.Request) { r.Header.Set("Daisy-Timeout", "1m30s") }, served},
		{"timeout without unit", func(r *http.Request) { r.Header.Set("Daisy-Timeout", "250") }, refused},
		{"timeout of zero", func(r *http.Request) { r.Header.Set("Daisy-Timeout", "0s") }, refused},
		{"negative timeout", func(r *http.Request) { r.Header.Set("Daisy-Timeout", "-1s") }, refused},
		{"two timeouts", func(r *http.Request) { r.Header["Daisy-Timeout"] = []string{"1s", "2s"} }, refused},
		{"upgrade", func(r *http.Request) {
			r.Header.Set("Connection", "Upgrade")
			r.Header.Set("Upgrade", "websocket")
		}, result{status: 501, run: "not-run", problem: true}},
		{"offer of h2c", func(r *http.Request) {
			r.Header.Set("Connection", "Upgrade, HTTP2-Settings")
			r.Header.Set("Upgrade", "h2c")
		}, served},
	}
	v := startVM(t, newSettings(startEndpoint(t, daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: 2}))))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newCall(t, http.MethodGet, nil)
			c.edit(r)
			assert.Equal(t, roundTrip(t, v.client(t, daisyservice.HTTP1), r), c.want)
		})
	}
}

func TestContractOfCONNECT(t *testing.T) {
	v := startVM(t, newSettings(unusedAddress(t)))
	response, err := v.sendRawRequest(t, "CONNECT lookups.vigia-lar:80 HTTP/1.1\r\nHost: lookups.vigia-lar:80\r\n\r\n")
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusNotImplemented)
	assert.Equal(t, response.Header.Get("Daisy-Run"), "not-run")
}

func TestContractOfWaitingTooLong(t *testing.T) {
	endpoint := daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: 1})
	endpoint.SetFaults(daisystand.Faults{Freeze: true})
	s := newSettings(startEndpoint(t, endpoint))
	s.slots = 1
	v := startVM(t, s)
	first := make(chan result)
	go func() {
		r := newCall(t, http.MethodPost, nil)
		r.Header.Set("Daisy-Timeout", "30s")
		first <- roundTrip(t, v.client(t, daisyservice.HTTP1), r)
	}()
	waitFor(t, func() bool { return v.inFlight() == 1 })
	r := newCall(t, http.MethodPost, nil)
	r.Header.Set("Daisy-Timeout", "50ms")
	got := roundTrip(t, v.client(t, daisyservice.HTTP1), r)
	assert.Equal(t, got.run, "not-run")
	assert.Assert(t, got.status == 504 || got.status == 429, "%d", got.status)
	endpoint.SetFaults(daisystand.Faults{})
	assert.Equal(t, <-first, served)
}

func TestContractOfTooManyRequests(t *testing.T) {
	s := newSettings(startEndpoint(t, daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: 1})))
	s.maxRequests = 0
	got := roundTrip(t, startVM(t, s).client(t, daisyservice.HTTP1), newCall(t, http.MethodGet, nil))
	assert.Equal(t, got, result{status: 429, run: "not-run", retryAfter: true, problem: true})
}

func TestContractOfAddresses(t *testing.T) {
	v := startVM(t, newSettings(netip.MustParseAddrPort("127.0.0.1:1")))
	r := newCall(t, http.MethodGet, nil)
	r.URL.Path = "/.well-known/daisyyoke/addresses"
	r.Host = "127.0.0.1"
	response, err := v.client(t, daisyservice.HTTP1).RoundTrip(r)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get("Cache-Control"), "max-age=5")
	assert.Equal(t, strings.TrimSpace(string(body)),
		`{"addresses":[{"address":"127.0.0.1:8080","availability-zone":"vigia-lar/lisboa-1"}],"keep-for":"5s"}`)
	r.Method = http.MethodPost
	assert.Equal(t, roundTrip(t, v.client(t, daisyservice.HTTP1), r), result{status: 405, run: "not-run", problem: true})
}

// waitFor polls until another goroutine has reached a state. The time that this takes
// has no influence on the result of the test.
func waitFor(t *testing.T, reached func() bool) {
	t.Helper()
	for range 10_000 {
		if reached() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the state was not reached within 10,000 polls")
}
