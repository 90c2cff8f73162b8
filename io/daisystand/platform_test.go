package daisystand_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/io/daisystand"
)

func send(t *testing.T, method, target, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, target, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("If-None-Match", "*")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, strings.TrimSpace(string(text))
}

func TestPlatformFaultsChangeAtRunTime(t *testing.T) {
	server := httptest.NewServer(daisystand.NewPlatform(1))
	defer server.Close()
	faults := server.URL + "/.well-known/daisystand/faults"
	cases := []struct {
		faults string
		status int
		// current is the faults document that GET returns afterwards.
		current string
		// putStatus is the status of a write of a new row; 0 means an aborted connection.
		putStatus int
	}{
		{faults: `{}`, status: http.StatusNoContent, current: `{}`, putStatus: http.StatusNoContent},
		{faults: `{"lost-replies":1}`, status: http.StatusNoContent, current: `{"lost-replies":1}`, putStatus: 0},
		{faults: `{"broken":true}`, status: http.StatusBadRequest, current: `{"lost-replies":1}`, putStatus: 0},
		{
			faults:    `{"down":true,"slow":"1ms","lagging":"1s","lagging-vms":"2s","throttled":1000}`,
			status:    http.StatusNoContent,
			current:   `{"down":true,"slow":"1ms","lagging":"1s","lagging-vms":"2s","throttled":1000}`,
			putStatus: http.StatusServiceUnavailable,
		},
		{faults: `{"slow":"2h"}`, status: http.StatusBadRequest, current: `{"down":true,"slow":"1ms","lagging":"1s","lagging-vms":"2s","throttled":1000}`, putStatus: http.StatusServiceUnavailable},
		{faults: `{"slow":"1ms"}`, status: http.StatusNoContent, current: `{"slow":"1ms"}`, putStatus: http.StatusNoContent},
		{faults: `{"lost-replies":2}`, status: http.StatusBadRequest, current: `{"slow":"1ms"}`, putStatus: http.StatusNoContent},
	}
	for i, c := range cases {
		status, _ := send(t, http.MethodPost, faults, c.faults)
		assert.Equal(t, status, c.status, c.faults)
		_, current := send(t, http.MethodGet, faults, "")
		assert.Equal(t, current, c.current)
		putStatus, _ := send(t, http.MethodPut, fmt.Sprintf("%s/v1/row?key=row-%d", server.URL, i), "x")
		assert.Equal(t, putStatus, c.putStatus, c.faults)
	}
}

func TestPlatformCommand(t *testing.T) {
	cases := []struct {
		arguments []string
		code      int
	}{
		{arguments: []string{"platform", "--listen", "nowhere"}, code: 2},
		{arguments: []string{"platform", "--seed", "x"}, code: 2},
		{arguments: []string{"platform", "--listen", "127.0.0.1:0"}, code: 0},
	}
	for _, c := range cases {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		var out bytes.Buffer
		assert.Equal(t, daisystand.Execute(ctx, c.arguments, &out, &out), c.code, out.String())
	}
}
