package daisyload_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisyconnection"
	"daisyyoke/io/daisyload"
	"daisyyoke/io/daisystand"
)

var now = time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC)

var cases = []struct {
	name   string
	values []string
	want   daisyendpoint.Report
	ok     bool
}{
	{name: "all", values: []string{"in-flight=2, slots=3, draining=?1"}, want: daisyendpoint.Report{At: now, InFlight: 2, Slots: 3, Draining: true, RateLimit: daisyendpoint.Unlimited{}}, ok: true},
	{name: "two header fields", values: []string{"in-flight=0", "slots=3"}, want: daisyendpoint.Report{At: now, Slots: 3, RateLimit: daisyendpoint.Unlimited{}}, ok: true},
	{name: "bare flag", values: []string{"in-flight=0, slots=3, draining"}, want: daisyendpoint.Report{At: now, Slots: 3, Draining: true, RateLimit: daisyendpoint.Unlimited{}}, ok: true},
	{name: "unknown member", values: []string{"in-flight=0, slots=3, heat=4;x=1"}, want: daisyendpoint.Report{At: now, Slots: 3, RateLimit: daisyendpoint.Unlimited{}}, ok: true},
	{name: "last duplicate wins", values: []string{"in-flight=0, slots=3, in-flight=1"}, want: daisyendpoint.Report{At: now, InFlight: 1, Slots: 3, RateLimit: daisyendpoint.Unlimited{}}, ok: true},
	{name: "rate limit", values: []string{"in-flight=0, slots=3, rate-limit=2.5"}, want: daisyendpoint.Report{At: now, Slots: 3, RateLimit: daisyendpoint.Limited{Interval: 400 * time.Millisecond}}, ok: true},
	{name: "whole rate limit", values: []string{"in-flight=0, slots=3, rate-limit=4"}, want: daisyendpoint.Report{At: now, Slots: 3, RateLimit: daisyendpoint.Limited{Interval: 250 * time.Millisecond}}, ok: true},
	{name: "negative rate limit", values: []string{"in-flight=0, slots=3, rate-limit=-1"}},
	{name: "rate limit as string", values: []string{`in-flight=0, slots=3, rate-limit="1"`}},
	{name: "empty", values: []string{""}},
	{name: "no slots", values: []string{"in-flight=2"}},
	{name: "zero slots", values: []string{"in-flight=2, slots=0"}},
	{name: "negative", values: []string{"in-flight=-1, slots=3"}},
	{name: "huge", values: []string{"in-flight=999999999999, slots=3"}},
	{name: "decimal", values: []string{"in-flight=1.5, slots=3"}},
	{name: "string", values: []string{`in-flight="1", slots=3`}},
	{name: "list", values: []string{"in-flight=(1 2), slots=3"}},
	{name: "flag as number", values: []string{"in-flight=1, slots=3, draining=1"}},
	{name: "truncated", values: []string{"in-flight=1, slots="}},
	{name: "upper case", values: []string{"In-Flight=1, slots=3"}},
}

func TestParse(t *testing.T) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := daisyload.Parse(now, c.values)
			assert.Equal(t, err == nil, c.ok, "%v", err)
			assert.Equal(t, got, c.want)
			assert.Assert(t, err == nil || errorx.IsOfType(err, daisyerror.InvalidRequest))
			parser := daisyload.NewParser()
			// The second pass reads a valid value from the cache.
			for i := range 2 {
				later := now.Add(time.Duration(i) * time.Second)
				parsed, err := parser.Parse(later, c.values)
				assert.Equal(t, err == nil, c.ok)
				if c.ok {
					want := c.want
					want.At = later
					assert.Equal(t, parsed, want)
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, c := range cases {
		f.Add(c.values[0])
	}
	f.Fuzz(func(t *testing.T, value string) {
		got, err := daisyload.Parse(now, []string{value})
		if err != nil {
			assert.Equal(t, got, daisyendpoint.Report{})
			return
		}
		assert.Assert(t, got.InFlight >= 0 && got.Slots >= 1)
	})
}

func TestProbe(t *testing.T) {
	for _, protocol := range []daisyservice.Protocol{daisyservice.HTTP1, daisyservice.HTTP2} {
		endpoint := daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: 3})
		endpoint.SetFaults(daisystand.Faults{Draining: true})
		server := daisystand.NewEndpointServer(httptest.NewUnstartedServer(nil).Listener, endpoint)
		defer server.Close()
		pool := daisyconnection.NewPool(daisyconnection.DefaultLimits())
		defer pool.Close()
		service := daisyservice.Service{ID: daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"}, Protocol: protocol}
		for range 2 {
			report, _, err := daisyload.NewProber(pool).Probe(context.Background(), service, server.Address())
			assert.NilError(t, err)
			assert.Equal(t, report.Slots, 3)
			assert.Assert(t, report.Draining)
		}
		_, _, err := daisyload.NewProber(pool).Probe(context.Background(), service, netip.MustParseAddrPort("127.0.0.1:1"))
		assert.Assert(t, errorx.IsOfType(err, daisyerror.Unavailable), "%v", err)
	}
}

func TestParseNotice(t *testing.T) {
	cases := []struct {
		name   string
		status int
		header http.Header
		want   daisyendpoint.Notice
	}{
		{"nothing", 200, http.Header{"Daisy-Load": {"in-flight=0, slots=3"}}, nil},
		{"leaving", 200, http.Header{"Daisy-Load": {"in-flight=0, slots=3, leaving=?1"}}, daisyendpoint.Leaving{}},
		{"leaving alone", 200, http.Header{"Daisy-Load": {"leaving"}}, daisyendpoint.Leaving{}},
		{"not leaving", 200, http.Header{"Daisy-Load": {"in-flight=0, slots=3, leaving=?0"}}, nil},
		{"leaving as a number", 200, http.Header{"Daisy-Load": {"in-flight=0, slots=3, leaving=1"}}, nil},
		{"leaving and a pause", 503, http.Header{"Daisy-Load": {"leaving=?1"}, "Retry-After": {"2"}}, daisyendpoint.Leaving{}},
		{"pause", 503, http.Header{"Retry-After": {"2"}}, daisyendpoint.Pausing{For: 2 * time.Second, Asked: 2 * time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, daisyload.ParseNotice(now, c.status, c.header), c.want)
		})
	}
}
