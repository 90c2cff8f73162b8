package daisyforward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisycaller"
	"daisyyoke/io/daisystand"
)

// recorder is an endpoint that notes what it ran.
type recorder struct {
	mu   sync.Mutex
	seen []string
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, request.Method+" "+request.URL.Path+" "+string(body))
	_, _ = io.WriteString(w, "done")
}

func (r *recorder) list() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.seen, ", ")
}

// TestNoRequestIsSmuggled sends what two readers could frame in two ways. The
// endpoint sees the requests that the first reader sees, or none.
func TestNoRequestIsSmuggled(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: lookups.vigia-lar\r\n\r\n"
	const last = "GET /last HTTP/1.1\r\nHost: lookups.vigia-lar\r\nConnection: close\r\n\r\n"
	head := func(lines ...string) string {
		return "POST /a HTTP/1.1\r\nHost: lookups.vigia-lar\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
	}
	cases := []struct{ name, text, seen string }{
		{"plain", head("Content-Length: 2") + "ok" + last, "POST /a ok, GET /last "},
		{"same length twice", head("Content-Length: 2", "Content-Length: 2") + "ok" + last, "POST /a ok, GET /last "},
		{"two lengths", head("Content-Length: 2", "Content-Length: 60") + "ok" + hidden, ""},
		{"listed lengths", head("Content-Length: 2, 60") + "ok" + hidden, ""},
		{"signed length", head("Content-Length: +2") + "ok" + hidden, ""},
		{"negative length", head("Content-Length: -2") + "ok" + hidden, ""},
		{"hexadecimal length", head("Content-Length: 0x2") + "ok" + hidden, ""},
		{"length too large", head("Content-Length: 99999999999999999999") + "ok" + hidden, ""},
		{"length and chunks", head("Content-Length: 60", "Transfer-Encoding: chunked") + "2\r\nok\r\n0\r\n\r\n" + last, "POST /a ok, GET /last "},
		{"unknown coding", head("Transfer-Encoding: xchunked") + "2\r\nok\r\n0\r\n\r\n" + hidden, ""},
		{"two codings", head("Transfer-Encoding: chunked", "Transfer-Encoding: identity") + "2\r\nok\r\n0\r\n\r\n" + hidden, ""},
		{"listed codings", head("Transfer-Encoding: gzip, chunked") + "2\r\nok\r\n0\r\n\r\n" + hidden, ""},
		{"space before colon", head("Transfer-Encoding : chunked", "Content-Length: 2") + "ok" + hidden, ""},
		{"tab in coding", head("Transfer-Encoding: \vchunked") + "2\r\nok\r\n0\r\n\r\n" + hidden, ""},
		{"bare CR in value", head("X: a\rContent-Length: 60", "Content-Length: 2") + "ok" + hidden, ""},
		{"NUL in value", head("X: a\x00b", "Content-Length: 2") + "ok" + hidden, ""},
		{"chunk size too large", head("Transfer-Encoding: chunked") + "fffffffffffffffff\r\nok\r\n0\r\n\r\n" + hidden, ""},
		{"chunk size signed", head("Transfer-Encoding: chunked") + "+2\r\nok\r\n0\r\n\r\n" + hidden, ""},
		{"request after a bad chunk", head("Transfer-Encoding: chunked") + "+2\r\n" + hidden, ""},
		{"request after a good and a bad chunk", head("Transfer-Encoding: chunked") + "2\r\nok\r\n+2\r\n" + hidden, ""},
		{"chunk longer than its size", head("Transfer-Encoding: chunked") + "2\r\nokok\r\n0\r\n\r\n" + hidden, ""},
		{"options of the server", "OPTIONS * HTTP/1.1\r\nHost: lookups.vigia-lar\r\n\r\n" + last, "OPTIONS * , GET /last "},
		{"absolute target", "GET http://lookups.vigia-lar/a HTTP/1.1\r\nHost: orders.vigia-lar\r\n\r\n" + last, "GET /a , GET /last "},
		{"no host", "GET /a HTTP/1.1\r\n\r\n" + hidden, ""},
		{"two hosts", "GET /a HTTP/1.1\r\nHost: lookups.vigia-lar\r\nHost: orders.vigia-lar\r\n\r\n" + hidden, ""},
		{"bad method", "G(T /a HTTP/1.1\r\nHost: lookups.vigia-lar\r\n\r\n" + hidden, ""},
		{"bad version", "GET /a HTTP/9.9\r\nHost: lookups.vigia-lar\r\n\r\n" + hidden, ""},
		{"space in target", "GET /a /hidden HTTP/1.1\r\nHost: lookups.vigia-lar\r\n\r\n" + hidden, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			endpoint := &recorder{}
			v := startVM(t, newSettings(startEndpoint(t, endpoint)))
			answers := v.exchange(t, c.text)
			assert.Equal(t, endpoint.list(), c.seen)
			if c.seen == "" {
				first := strings.SplitN(answers, "\r\n", 2)[0]
				refused := strings.HasPrefix(first, "HTTP/1.1 4") || strings.HasPrefix(first, "HTTP/1.1 5")
				assert.Assert(t, refused, first)
			}
		})
	}
}

// early is an endpoint at the level of the socket that answers each request
// without reading its body.
type early struct {
	answer string
	mu     sync.Mutex
	seen   []string
}

func (e *early) start(t *testing.T) netip.AddrPort {
	t.Helper()
	l := listen(t)
	var ended sync.WaitGroup
	ended.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			ended.Go(func() {
				defer c.Close()
				e.serve(c)
			})
		}
	})
	t.Cleanup(ended.Wait)
	t.Cleanup(func() { _ = l.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

func (e *early) serve(c net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	e.mu.Lock()
	e.seen = append(e.seen, request.URL.Path)
	e.mu.Unlock()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+e.answer)
	_ = c.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

func (e *early) paths() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.seen)
}

// TestBodyIsNeverTakenForARequest has an endpoint answer before the caller has
// sent the body, which looks like a request.
func TestBodyIsNeverTakenForARequest(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: lookups.vigia-lar\r\n\r\n"
	const last = "GET /last HTTP/1.1\r\nHost: lookups.vigia-lar\r\nConnection: close\r\n\r\n"
	cases := []struct{ name, head, before, after string }{
		{"whole with the request", fmt.Sprintf("Content-Length: %d", len(hidden)), hidden + last, ""},
		{"whole in a chunk", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n%s", len(hidden), hidden, last), ""},
		{"after the answer", fmt.Sprintf("Content-Length: %d", len(hidden)), "", hidden + last},
		{"half before and half after", fmt.Sprintf("Content-Length: %d", 2+len(hidden)), "ok", hidden + last},
		{"longer than what is read after the answer", "Content-Length: 1000000", "", hidden + last},
		{"no chunk after the answer", "Transfer-Encoding: chunked", "", hidden + last},
		{"after a bad chunk", "Transfer-Encoding: chunked", "+2\r\n" + hidden + last, ""},
		{"after a good and a bad chunk", "Transfer-Encoding: chunked", "2\r\nok\r\n+2\r\n" + hidden + last, ""},
	}
	for _, answer := range []string{"Content-Length: 5\r\n\r\nearly", "Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n"} {
		for _, c := range cases {
			t.Run(c.name+"/"+answer[:8], func(t *testing.T) {
				endpoint := &early{answer: answer}
				v := startVM(t, newSettings(endpoint.start(t)))
				conn, err := net.Dial("tcp", v.server.Address().String())
				assert.NilError(t, err)
				defer conn.Close()
				_, err = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: lookups.vigia-lar\r\n"+c.head+"\r\n\r\n"+c.before)
				assert.NilError(t, err)
				reader := bufio.NewReader(conn)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				_, _ = io.ReadAll(response.Body)
				_, _ = io.WriteString(conn, c.after)
				_, _ = io.Copy(io.Discard, reader)
				assert.Assert(t, !slices.Contains(endpoint.paths(), "/hidden"), "%v", endpoint.paths())
			})
		}
	}
}

// exchange sends text over a new connection and gives all that comes back until the VM closes it.
func (v *vm) exchange(t *testing.T, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", v.server.Address().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	answers, err := io.ReadAll(c)
	if err != nil {
		t.Logf("the connection ended with %v", err)
	}
	return string(answers)
}

func TestHeaderLimits(t *testing.T) {
	s := newSettings(startEndpoint(t, &recorder{}))
	s.callers.HeaderBytes = 8 << 10
	v := startVM(t, s)
	text := "GET / HTTP/1.1\r\nHost: lookups.vigia-lar\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"
	assert.Assert(t, strings.HasPrefix(v.exchange(t, text), "HTTP/1.1 431 "))
}

func TestSlowHeaderIsCutOff(t *testing.T) {
	s := newSettings(startEndpoint(t, &recorder{}))
	s.callers.Header = 20 * time.Millisecond
	v := startVM(t, s)
	assert.Equal(t, v.exchange(t, "GET / HTTP/1.1\r\nHost: lookups"), "")
}

func TestIdleConnectionIsClosed(t *testing.T) {
	s := newSettings(startEndpoint(t, &recorder{}))
	s.callers.Idle = 20 * time.Millisecond
	v := startVM(t, s)
	got := v.exchange(t, "GET / HTTP/1.1\r\nHost: lookups.vigia-lar\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 200 "), got)
}

func TestConnectionsAreBounded(t *testing.T) {
	s := newSettings(startEndpoint(t, &recorder{}))
	s.callers = daisycaller.DefaultLimits()
	s.callers.Connections = 1
	v := startVM(t, s)
	first, err := net.Dial("tcp", v.server.Address().String())
	assert.NilError(t, err)
	_, err = io.WriteString(first, "GET / HTTP/1.1\r\nHost: lookups.vigia-lar\r\n\r\n")
	assert.NilError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(first), nil)
	assert.NilError(t, err)
	second := make(chan string)
	go func() {
		second <- v.exchange(t, "GET / HTTP/1.1\r\nHost: lookups.vigia-lar\r\nConnection: close\r\n\r\n")
	}()
	select {
	case <-second:
		t.Fatal("a second connection was served")
	case <-time.After(20 * time.Millisecond):
	}
	assert.NilError(t, first.Close())
	assert.Assert(t, strings.HasPrefix(<-second, "HTTP/1.1 200 "))
}

func TestStalledBodyOfACaller(t *testing.T) {
	bothWays(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		cut := make(chan struct{})
		s := newSettings(startEndpoint(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			if err != nil {
				close(cut)
			}
			panic(http.ErrAbortHandler)
		})))
		s.protocol = protocol
		s.limits.Stall = 50 * time.Millisecond
		v := startVM(t, s)
		reader, writer := io.Pipe()
		defer writer.Close()
		go func() { _, _ = io.WriteString(writer, "half") }()
		got := ask(t, v.client(t, caller), newCall(t, http.MethodPost, reader))
		assert.Equal(t, got, answer{status: 408, run: "unknown", problem: true})
		<-cut
		waitFor(t, func() bool { return v.inFlight() == 0 })
	})
}

func TestStalledAnswerOfAnEndpoint(t *testing.T) {
	bothWays(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		canceled := make(chan struct{})
		s := newSettings(startEndpoint(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			close(canceled)
		})))
		s.protocol = protocol
		s.limits.Stall = 50 * time.Millisecond
		v := startVM(t, s)
		assert.Equal(t, ask(t, v.client(t, caller), newCall(t, http.MethodPost, nil)), answer{status: 200, cut: true})
		<-canceled
		waitFor(t, func() bool { return v.inFlight() == 0 })
	})
}

func TestCallerThatReadsNothing(t *testing.T) {
	bothWays(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		s := newSettings(startEndpoint(t, daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: 1, AnswerSize: 16 << 20})))
		s.protocol = protocol
		s.limits.Stall = 50 * time.Millisecond
		v := startVM(t, s)
		response, err := v.client(t, caller).RoundTrip(newCall(t, http.MethodPost, nil))
		assert.NilError(t, err)
		waitFor(t, func() bool { return v.inFlight() == 0 })
		_, err = io.ReadAll(response.Body)
		assert.Assert(t, err != nil)
	})
}
