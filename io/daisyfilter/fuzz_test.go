package daisyfilter

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

func FuzzHost(f *testing.F) {
	for _, host := range []string{
		"lookups.vigia-lar", "lookups.vigia-lar:80", "Lookups.Vigia-Lar", "lookups", ".", "a.b.c", "", "[::1]:80",
		"127.0.0.1", "-a.b", "a-.b", "a.b:", "a.b:x", "a .b", "ä.b", "a.b.", "xn--a.b", "a..b", "\u212a.b", "a.b%00",
	} {
		f.Add(host)
	}
	f.Fuzz(func(t *testing.T, host string) {
		id, ok := parseHost(host)
		if !ok {
			assert.Equal(t, id, daisyservice.ID{})
			return
		}
		assert.Assert(t, daisyfleet.ValidName(id.Name) && daisyfleet.ValidName(string(id.Fleet)))
		reparsed, ok := parseHost(id.Name + "." + string(id.Fleet))
		assert.Assert(t, ok)
		assert.Equal(t, reparsed, id)
	})
}

func newFuzzCall() *Call {
	return &Call{
		HTTP:    &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: http.Header{}},
		Arrived: time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC),
		Service: daisyservice.Service{
			DefaultRank: 1,
			Ranks:       []daisyrank.Rank{{Name: "urgent", Target: time.Second}, {Name: "bulk", Target: time.Hour}},
		},
	}
}

func FuzzTimeout(f *testing.F) {
	for _, timeout := range []string{"250ms", "1m30s", "0", "0s", "-1s", "1", "", "1e9s", "9223372036854775807ns", "9999999h", ".5s", "1s ", "+1s"} {
		f.Add(timeout)
	}
	f.Fuzz(func(t *testing.T, timeout string) {
		call := newFuzzCall()
		call.HTTP.Header[TimeoutHeader] = []string{timeout}
		if _, ok := (Classify{}).apply(call).(Continue); ok {
			assert.Assert(t, call.Request.Deadline.After(call.Arrived))
		}
	})
}

func FuzzRank(f *testing.F) {
	for _, rank := range []string{"urgent", "bulk", "", "Urgent", "urgent ", "urgent, bulk", "\x00"} {
		f.Add(rank)
	}
	f.Fuzz(func(t *testing.T, rank string) {
		call := newFuzzCall()
		call.HTTP.Header[RankHeader] = []string{rank}
		_, ok := (Classify{}).apply(call).(Continue)
		assert.Equal(t, ok, rank == "urgent" || rank == "bulk")
		if ok {
			assert.Equal(t, string(call.Request.Rank), rank)
		}
	})
}

type countingForwarder struct{ calls int }

func (c *countingForwarder) Forward(http.ResponseWriter, *Call) { c.calls++ }

func TestAdmitAcceptsRequestAfterPreviousEnds(t *testing.T) {
	forwarder := &countingForwarder{}
	chain := NewChain(Options{Forwarder: forwarder, Filters: []Filter{NewAdmit(1)}})
	for range 3 {
		chain.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	}
	assert.Equal(t, forwarder.calls, 3)
}
