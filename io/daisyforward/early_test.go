package daisyforward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// earlyBodySize is the size of the request body, in bytes.
const earlyBodySize = 4096

// exchangeEarly sends a request whose body comes in two parts, the second of which
// can arrive after the response, and then a second request on the same connection. It
// returns both statuses; the second one is 0 if the first response announced that the
// connection will be closed.
func exchangeEarly(t *testing.T, address string, sentFirst int) (int, int) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	write := func(text string) {
		_, err := conn.Write([]byte(text))
		assert.NilError(t, err)
	}
	read := func() *http.Response {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		return response
	}
	write("POST /early HTTP/1.1\r\nHost: lookups.vigia-lar\r\nContent-Length: 4096\r\n\r\n" + strings.Repeat("x", sentFirst))
	if sentFirst < earlyBodySize {
		// The server may read the whole body before it responds.
		go func() { _, _ = conn.Write([]byte(strings.Repeat("x", earlyBodySize-sentFirst))) }()
	}
	response := read()
	if response.Close {
		return response.StatusCode, 0
	}
	write("GET /next HTTP/1.1\r\nHost: lookups.vigia-lar\r\n\r\n")
	return response.StatusCode, read().StatusCode
}

// TestConnectionAfterEarlyResponse checks that a connection either serves the next
// request or was announced as closed, if the response came before the VM had read the
// whole body. A connection that is closed without that announcement fails the
// caller's next request.
func TestConnectionAfterEarlyResponse(t *testing.T) {
	shed := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/early" {
			return
		}
		w.Header().Set("Daisy-Run", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	answerEarly := func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	cases := []struct {
		name string
		// handler is nil for an endpoint on which nothing listens.
		handler   http.HandlerFunc
		sentFirst int
		status    int
	}{
		{"refused, whole body sent", nil, earlyBodySize, http.StatusServiceUnavailable},
		{"refused, half of the body sent", nil, earlyBodySize / 2, http.StatusServiceUnavailable},
		{"refused, no body sent", nil, 0, http.StatusServiceUnavailable},
		{"shed, whole body sent", shed, earlyBodySize, http.StatusServiceUnavailable},
		{"shed, half of the body sent", shed, earlyBodySize / 2, http.StatusServiceUnavailable},
		{"shed, no body sent", shed, 0, http.StatusServiceUnavailable},
		{"answered, whole body sent", answerEarly, earlyBodySize, http.StatusOK},
		{"answered, half of the body sent", answerEarly, earlyBodySize / 2, http.StatusOK},
		{"answered, no body sent", answerEarly, 0, http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoint := unusedAddress(t)
			nextStatus := http.StatusServiceUnavailable
			if c.handler != nil {
				endpoint = startEndpoint(t, c.handler)
				nextStatus = http.StatusOK
			}
			vm := startVM(t, newSettings(endpoint))
			for range 20 {
				status, next := exchangeEarly(t, vm.server.Address().String(), c.sentFirst)
				assert.Equal(t, status, c.status)
				assert.Assert(t, next == 0 || next == nextStatus, "second response: %d", next)
			}
		})
	}
}
