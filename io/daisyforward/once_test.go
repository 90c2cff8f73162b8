package daisyforward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
)

// breakingEndpoint responds to requests for /warm, so that the connection is kept alive, and
// breaks off any other request.
type breakingEndpoint struct {
	// writeLast writes the last bytes before the connection is closed.
	writeLast func(c net.Conn)
	arrived   *atomic.Int32
}

func startBreakingEndpoint(t *testing.T, arrived *atomic.Int32, writeLast func(net.Conn)) netip.AddrPort {
	t.Helper()
	b := &breakingEndpoint{writeLast: writeLast, arrived: arrived}
	return startRawEndpoint(t, func(_ *rawEndpoint, c net.Conn) { b.serve(c) })
}

func (b *breakingEndpoint) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path != "/warm" {
			b.arrived.Add(1)
			b.writeLast(c)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// TestBrokenRequestIsSentOnce counts at the sockets of two endpoints how often one
// request arrives if the endpoint breaks off the connection. It guards against a
// request that is sent again, by the VM or by net/http, after it may have run.
func TestBrokenRequestIsSentOnce(t *testing.T) {
	endpointFailed := result{status: 502, run: "unknown", problem: true}
	truncated := result{status: 200, truncated: true}
	header := "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n"
	cases := []struct {
		name, last string
		want       result
		// alternative is the result if the header was forwarded before the endpoint broke off.
		alternative result
	}{
		{name: "nothing", want: endpointFailed},
		{name: "half a status line", last: "HTTP/1.1 2", want: endpointFailed},
		{name: "half a header", last: header, want: endpointFailed},
		{name: "no HTTP", last: "220 ready\r\n\r\n", want: endpointFailed},
		{name: "a header", last: header + "\r\n", want: endpointFailed, alternative: truncated},
		{name: "half a body", last: header + "\r\nhalf", want: truncated},
		{name: "half a chunk", last: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", want: truncated},
		{name: "no last chunk", last: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", want: truncated},
		{name: "not-run in another status", last: "HTTP/1.1 500 Oops\r\nDaisy-Run: not-run\r\nContent-Length: 0\r\n\r\n", want: result{status: 500, run: "not-run"}},
		{name: "protocols switched", last: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", want: endpointFailed},
	}
	for _, c := range cases {
		for _, body := range []string{"", "order"} {
			for _, key := range []string{"", "key-1"} {
				t.Run(strings.Join([]string{c.name, body, key}, "/"), func(t *testing.T) {
					var arrived atomic.Int32
					writeLast := func(conn net.Conn) { _, _ = io.WriteString(conn, c.last) }
					v := startVM(t, newSettings(startBreakingEndpoint(t, &arrived, writeLast), startBreakingEndpoint(t, &arrived, writeLast)))
					transport := v.client(t, daisyservice.HTTP1)
					for range 4 {
						warm := newCall(t, http.MethodPost, nil)
						warm.URL.Path = "/warm"
						assert.Equal(t, roundTrip(t, transport, warm), served)
					}
					r := newCall(t, http.MethodPost, strings.NewReader(body))
					if key != "" {
						r.Header.Set("Idempotency-Key", key)
					}
					// A new connection, so that net/http does not resend on behalf of this test's caller.
					got := roundTrip(t, v.client(t, daisyservice.HTTP1), r)
					assert.Assert(t, got == c.want || c.alternative != result{} && got == c.alternative, "%+v", got)
					assert.Equal(t, arrived.Load(), int32(1))
				})
			}
		}
	}
}
