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

// recorder is an endpoint that records the requests that it ran.
type recorder struct {
	mu       sync.Mutex
	requests []string
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request.Method+" "+request.URL.Path+" "+string(body))
	_, _ = io.WriteString(w, "done")
}

// list returns the recorded requests.
func (r *recorder) list() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Join(r.requests, ", ")
}

// TestRequestSmuggling sends requests that two HTTP parsers could frame differently.
// The endpoint must get exactly the requests that the VM's parser recognizes, or none.
func TestRequestSmuggling(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: lookups.vigia-lar\r\n\r\n"
	const last = "GET /last HTTP/1.1\r\nHost: lookups.vigia-lar\r\nConnection: close\r\n\r\n"
	head := func(lines ...string) string {
		return "POST /a HTTP/1.1\r\nHost: lookups.vigia-lar\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
	}
	cases := []struct{ name, text, want string }{
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
			responses := v.sendRaw(t, c.text)
			assert.Equal(t, endpoint.list(), c.want)
			if c.want == "" {
				first := strings.SplitN(responses, "\r\n", 2)[0]
				refused := strings.HasPrefix(first, "HTTP/1.1 4") || strings.HasPrefix(first, "HTTP/1.1 5")
				assert.Assert(t, refused, first)
			}
		})
	}
}

// earlyEndpoint is an endpoint on a raw socket that responds to each request without
// reading its body.
type earlyEndpoint struct {
	response  string
	mu        sync.Mutex
	requested []string
}

func (e *earlyEndpoint) start(t *testing.T) netip.AddrPort {
	t.Helper()
	l := listen(t)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				e.serve(c)
			})
		}
	})
	t.Cleanup(wg.Wait)
	t.Cleanup(func() { _ = l.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

func (e *earlyEndpoint) serve(c net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	e.mu.Lock()
	e.requested = append(e.requested, request.URL.Path)
	e.mu.Unlock()
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+e.response)
	_ = c.(*net.TCPConn).CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// paths returns the paths of the requests that arrived.
func (e *earlyEndpoint) paths() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.requested)
}

// TestBodyIsNotParsedAsRequest guards against request smuggling through a body that
// looks like a request: the endpoint responds before the caller has sent the body, so
// that the VM could read the rest of it as the next request.
func TestBodyIsNotParsedAsRequest(t *testing.T) {
	const hidden = "GET /hidden HTTP/1.1\r\nHost: lookups.vigia-lar\r\n\r\n"
	const last = "GET /last HTTP/1.1\r\nHost: lookups.vigia-lar\r\nConnection: close\r\n\r\n"
	cases := []struct{ name, head, before, after string }{
		{"whole with the request", fmt.Sprintf("Content-Length: %d", len(hidden)), hidden + last, ""},
		{"whole in a chunk", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n%s", len(hidden), hidden, last), ""},
		{"after the response", fmt.Sprintf("Content-Length: %d", len(hidden)), "", hidden + last},
		{"half before and half after", fmt.Sprintf("Content-Length: %d", 2+len(hidden)), "ok", hidden + last},
		{"longer than what is read after the response", "Content-Length: 1000000", "", hidden + last},
		{"no chunk after the response", "Transfer-Encoding: chunked", "", hidden + last},
		{"after a bad chunk", "Transfer-Encoding: chunked", "+2\r\n" + hidden + last, ""},
		{"after a good and a bad chunk", "Transfer-Encoding: chunked", "2\r\nok\r\n+2\r\n" + hidden + last, ""},
	}
	for _, earlyResponse := range []string{"Content-Length: 5\r\n\r\nearly", "Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n"} {
		for _, c := range cases {
			t.Run(c.name+"/"+earlyResponse[:8], func(t *testing.T) {
				endpoint := &earlyEndpoint{response: earlyResponse}
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

// sendRaw sends text over a new connection and returns everything that the VM sends
// until it closes the connection.
func (v *vm) sendRaw(t *testing.T, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", v.server.Address().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	responses, err := io.ReadAll(c)
	if err != nil {
		t.Logf("the connection ended with %v", err)
	}
	return string(responses)
}

func TestHeaderLimits(t *testing.T) {
	s := newSettings(startEndpoint(t, &recorder{}))
	s.callers.MaxHeaderBytes = 8 << 10
	v := startVM(t, s)
	text := "GET / HTTP/1.1\r\nHost: lookups.vigia-lar\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"
	assert.Assert(t, strings.HasPrefix(v.sendRaw(t, text), "HTTP/1.1 431 "))
}

func TestSlowHeaderIsCutOff(t *testing.T) {
	s := newSettings(startEndpoint(t, &recorder{}))
	s.callers.HeaderTimeout = 20 * time.Millisecond
	v := startVM(t, s)
	assert.Equal(t, v.sendRaw(t, "GET / HTTP/1.1\r\nHost: lookups"), "")
}

func TestIdleConnectionIsClosed(t *testing.T) {
	s := newSettings(startEndpoint(t, &recorder{}))
	s.callers.IdleTimeout = 20 * time.Millisecond
	v := startVM(t, s)
	got := v.sendRaw(t, "GET / HTTP/1.1\r\nHost: lookups.vigia-lar\r\n\r\n")
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 200 "), got)
}

func TestConnectionsAreBounded(t *testing.T) {
	s := newSettings(startEndpoint(t, &recorder{}))
	s.callers = daisycaller.DefaultLimits()
	s.callers.MaxConnections = 1
	v := startVM(t, s)
	first, err := net.Dial("tcp", v.server.Address().String())
	assert.NilError(t, err)
	_, err = io.WriteString(first, "GET / HTTP/1.1\r\nHost: lookups.vigia-lar\r\n\r\n")
	assert.NilError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(first), nil)
	assert.NilError(t, err)
	second := make(chan string)
	go func() {
		second <- v.sendRaw(t, "GET / HTTP/1.1\r\nHost: lookups.vigia-lar\r\nConnection: close\r\n\r\n")
	}()
	select {
	case <-second:
		t.Fatal("a second connection was served")
	case <-time.After(20 * time.Millisecond):
	}
	assert.NilError(t, first.Close())
	assert.Assert(t, strings.HasPrefix(<-second, "HTTP/1.1 200 "))
}

func TestStalledRequestBody(t *testing.T) {
	forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		truncated := make(chan struct{})
		s := newSettings(startEndpoint(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			_, err := io.ReadAll(r.Body)
			if err != nil {
				close(truncated)
			}
			panic(http.ErrAbortHandler)
		})))
		s.protocol = protocol
		s.limits.StallTimeout = 50 * time.Millisecond
		v := startVM(t, s)
		reader, writer := io.Pipe()
		defer writer.Close()
		go func() { _, _ = io.WriteString(writer, "half") }()
		got := roundTrip(t, v.client(t, caller), newCall(t, http.MethodPost, reader))
		assert.Equal(t, got, result{status: 408, run: "unknown", problem: true})
		<-truncated
		waitFor(t, func() bool { return v.inFlight() == 0 })
	})
}

func TestStalledResponseBody(t *testing.T) {
	forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		canceled := make(chan struct{})
		s := newSettings(startEndpoint(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			close(canceled)
		})))
		s.protocol = protocol
		s.limits.StallTimeout = 50 * time.Millisecond
		v := startVM(t, s)
		assert.Equal(t, roundTrip(t, v.client(t, caller), newCall(t, http.MethodPost, nil)), result{status: 200, truncated: true})
		<-canceled
		waitFor(t, func() bool { return v.inFlight() == 0 })
	})
}

func TestCallerThatReadsNothing(t *testing.T) {
	forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		s := newSettings(startEndpoint(t, daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: 1, AnswerSize: 16 << 20})))
		s.protocol = protocol
		s.limits.StallTimeout = 50 * time.Millisecond
		v := startVM(t, s)
		response, err := v.client(t, caller).RoundTrip(newCall(t, http.MethodPost, nil))
		assert.NilError(t, err)
		waitFor(t, func() bool { return v.inFlight() == 0 })
		_, err = io.ReadAll(response.Body)
		assert.Assert(t, err != nil)
	})
}
