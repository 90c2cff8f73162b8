package daisystand_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/io/daisystand"
)

func TestEndpointFaults(t *testing.T) {
	cases := []struct {
		name, faults string
		status       int
		aborted      bool
		ran, shed    int
	}{
		{name: "no faults", faults: `{}`, status: http.StatusOK, ran: 1},
		{name: "slow", faults: `{"slow":2}`, status: http.StatusOK, ran: 1},
		{name: "fail fast", faults: `{"fail-fast":true}`, status: http.StatusInternalServerError},
		{name: "shed all", faults: `{"shed-all":true}`, status: http.StatusServiceUnavailable, shed: 1},
		{name: "draining", faults: `{"draining":true}`, status: http.StatusOK, ran: 1},
		{name: "break before header", faults: `{"break":"before-header"}`, aborted: true, ran: 1},
		{name: "break after header", faults: `{"break":"after-header"}`, status: http.StatusOK, aborted: true, ran: 1},
		{name: "break in body", faults: `{"break":"mid-body"}`, status: http.StatusOK, aborted: true, ran: 1},
	}
	// Each request has a new connection, because the transport retries some requests by itself on a kept-alive one.
	client := &http.Transport{DisableKeepAlives: true}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoint := daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: 2, ServiceTime: time.Millisecond})
			server := httptest.NewServer(endpoint)
			defer server.Close()
			faultsResponse, err := http.Post(server.URL+"/.well-known/daisystand/faults", "application/json", strings.NewReader(c.faults))
			assert.NilError(t, err)
			_ = faultsResponse.Body.Close()
			assert.Equal(t, faultsResponse.StatusCode, http.StatusNoContent)
			request, err := http.NewRequest(http.MethodPost, server.URL+"/visits", strings.NewReader("x"))
			assert.NilError(t, err)
			request.Header.Set("Idempotency-Key", "k")
			response, err := client.RoundTrip(request)
			if err == nil {
				assert.Equal(t, response.StatusCode, c.status)
				_, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
				assert.Assert(t, response.Header.Get("Daisy-Load") != "")
			}
			assert.Equal(t, err != nil, c.aborted)
			counts := endpoint.Ran()
			assert.Equal(t, counts.Total, c.ran)
			assert.Equal(t, counts.Keys["k"], c.ran)
			assert.Equal(t, counts.Shed, c.shed)
		})
	}
}

func TestEndpointRejectsInvalidFaults(t *testing.T) {
	for _, body := range []string{``, `{"unknown":1}`, `{"slow":-1}`, `{"break":"now"}`} {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/.well-known/daisystand/faults", strings.NewReader(body))
		daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: 1}).ServeHTTP(w, r)
		assert.Equal(t, w.Code, http.StatusBadRequest, body)
	}
}

func TestEndpointCommandRejectsInvalidFlags(t *testing.T) {
	cases := []struct{ flag, value string }{
		{"--listen", "localhost:80"},
		{"--slots", "0"},
		{"--queue", "-1"},
		{"--service-time", "-1s"},
		{"--service-time", "soon"},
		{"--answer-size", "-1"},
	}
	for _, c := range cases {
		var stderr strings.Builder
		code := daisystand.Execute(context.Background(), []string{"endpoint", c.flag, c.value}, io.Discard, &stderr)
		assert.Equal(t, code, 2, c.flag)
		assert.Assert(t, strings.Contains(stderr.String(), c.flag), stderr.String())
	}
}
