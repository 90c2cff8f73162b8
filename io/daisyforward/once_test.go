package daisyforward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
)

// breaker is an endpoint at the level of the socket. It answers its first
// request, so that the connection is kept, and breaks off every later one.
type breaker struct {
	listener net.Listener
	// broken writes the last bytes before the connection is closed.
	broken  func(c net.Conn)
	arrived *atomic.Int32
	ended   sync.WaitGroup
}

func startBreaker(t *testing.T, arrived *atomic.Int32, broken func(net.Conn)) netip.AddrPort {
	t.Helper()
	b := &breaker{listener: listen(t), broken: broken, arrived: arrived}
	b.ended.Go(func() {
		for {
			c, err := b.listener.Accept()
			if err != nil {
				return
			}
			b.ended.Go(func() {
				defer c.Close()
				b.serve(c)
			})
		}
	})
	t.Cleanup(b.ended.Wait)
	t.Cleanup(func() { _ = b.listener.Close() })
	return netip.MustParseAddrPort(b.listener.Addr().String())
}

func (b *breaker) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path != "/warm" {
			b.arrived.Add(1)
			b.broken(c)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// TestOrderIsSentOnceThroughTheWholeVM counts at the sockets of two endpoints
// what a caller's one request becomes.
func TestOrderIsSentOnceThroughTheWholeVM(t *testing.T) {
	broke := answer{status: 502, run: "unknown", problem: true}
	cut := answer{status: 200, cut: true}
	header := "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n"
	cases := []struct {
		name, last string
		want       answer
		// or is what a caller sees when the header was passed on before the endpoint broke off.
		or answer
	}{
		{name: "nothing", want: broke},
		{name: "half a status line", last: "HTTP/1.1 2", want: broke},
		{name: "half a header", last: header, want: broke},
		{name: "no HTTP", last: "220 ready\r\n\r\n", want: broke},
		{name: "a header", last: header + "\r\n", want: broke, or: cut},
		{name: "half a body", last: header + "\r\nhalf", want: cut},
		{name: "half a chunk", last: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", want: cut},
		{name: "no last chunk", last: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", want: cut},
		{name: "not-run in another status", last: "HTTP/1.1 500 Oops\r\nDaisy-Run: not-run\r\nContent-Length: 0\r\n\r\n", want: answer{status: 500, run: "not-run"}},
		{name: "protocols switched", last: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", want: broke},
	}
	for _, c := range cases {
		for _, body := range []string{"", "order"} {
			for _, key := range []string{"", "key-1"} {
				t.Run(strings.Join([]string{c.name, body, key}, "/"), func(t *testing.T) {
					var arrived atomic.Int32
					broken := func(conn net.Conn) { _, _ = io.WriteString(conn, c.last) }
					v := startVM(t, newSettings(startBreaker(t, &arrived, broken), startBreaker(t, &arrived, broken)))
					transport := v.client(t, daisyservice.HTTP1)
					for range 4 {
						warm := newCall(t, http.MethodPost, nil)
						warm.URL.Path = "/warm"
						assert.Equal(t, ask(t, transport, warm), served)
					}
					r := newCall(t, http.MethodPost, strings.NewReader(body))
					if key != "" {
						r.Header.Set("Idempotency-Key", key)
					}
					// A connection of its own: the library of this test must not send again either.
					got := ask(t, v.client(t, daisyservice.HTTP1), r)
					assert.Assert(t, got == c.want || c.or != answer{} && got == c.or, "%+v", got)
					assert.Equal(t, arrived.Load(), int32(1))
				})
			}
		}
	}
}
