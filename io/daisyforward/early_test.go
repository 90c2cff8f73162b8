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

const earlyBody = 4096

// exchangeEarly sends a request whose body comes in two parts, the second after the
// answer, and a second request after it. It gives the statuses, the second one
// 0 when the first answer announced the end of the connection.
func exchangeEarly(t *testing.T, address string, first int) (int, int) {
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
	write("POST /early HTTP/1.1\r\nHost: lookups.vigia-lar\r\nContent-Length: 4096\r\n\r\n" + strings.Repeat("x", first))
	if first < earlyBody {
		// The server may want the whole body before it answers.
		go func() { _, _ = conn.Write([]byte(strings.Repeat("x", earlyBody-first))) }()
	}
	one := read()
	if one.Close {
		return one.StatusCode, 0
	}
	write("GET /next HTTP/1.1\r\nHost: lookups.vigia-lar\r\n\r\n")
	return one.StatusCode, read().StatusCode
}

func TestConnectionIsUsableOrAnnouncedClosedAfterAnAnswerThatCameBeforeTheBodyWasRead(t *testing.T) {
	sheds := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/early" {
			return
		}
		w.Header().Set("Daisy-Run", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	answers := func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	cases := []struct {
		name string
		// handler is nil for an endpoint that nothing listens at.
		handler http.HandlerFunc
		first   int
		status  int
	}{
		{"refused, whole body sent", nil, earlyBody, http.StatusServiceUnavailable},
		{"refused, half of the body sent", nil, earlyBody / 2, http.StatusServiceUnavailable},
		{"refused, no body sent", nil, 0, http.StatusServiceUnavailable},
		{"shed, whole body sent", sheds, earlyBody, http.StatusServiceUnavailable},
		{"shed, half of the body sent", sheds, earlyBody / 2, http.StatusServiceUnavailable},
		{"shed, no body sent", sheds, 0, http.StatusServiceUnavailable},
		{"answered, whole body sent", answers, earlyBody, http.StatusOK},
		{"answered, half of the body sent", answers, earlyBody / 2, http.StatusOK},
		{"answered, no body sent", answers, 0, http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoint := unusedAddress(t)
			second := http.StatusServiceUnavailable
			if c.handler != nil {
				endpoint = startEndpoint(t, c.handler)
				second = http.StatusOK
			}
			vm := startVM(t, newSettings(endpoint))
			for range 20 {
				one, two := exchangeEarly(t, vm.server.Address().String(), c.first)
				assert.Equal(t, one, c.status)
				assert.Assert(t, two == 0 || two == second, "second answer %d", two)
			}
		})
	}
}
