package daisycaller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"daisyyoke/io/daisycaller"
)

// startPipeline starts a pipeline with a handler and returns it with a connection to it.
func startPipeline(t *testing.T, handler http.HandlerFunc, change func(*daisycaller.Limits)) (*daisycaller.Pipeline, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limits := daisycaller.DefaultLimits()
	if change != nil {
		change(&limits)
	}
	p := daisycaller.NewPipeline(daisycaller.PipelineOptions{Listener: listener, Handler: handler, Limits: limits})
	t.Cleanup(p.Close)
	return p, dialPipeline(t, p)
}

func dialPipeline(t *testing.T, p *daisycaller.Pipeline) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Address().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	assert.NilError(t, err)
}

// read reads a response and returns its status, its body and whether it closes the
// connection.
func read(t *testing.T, r *bufio.Reader) (status int, body string, closes bool) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(data), response.Close
}

const requestA, requestB = "GET /a HTTP/1.1\nHost: h\n\n", "GET /b HTTP/1.1\nHost: h\n\n"

// The handler of the first of two pipelined requests waits for the handler of the second:
// the requests have to be handled concurrently and answered in order.
func TestPipelinedRequestsAreConcurrentAndAnsweredInOrder(t *testing.T) {
	second := make(chan struct{})
	_, c := startPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/a" {
			<-second
		} else {
			close(second)
		}
		fmt.Fprint(w, r.URL.Path)
	}, nil)
	write(t, c, requestA+requestB)
	r := bufio.NewReader(c)
	for _, want := range []string{"/a", "/b"} {
		status, body, closes := read(t, r)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, want)
		assert.Assert(t, !closes)
	}
}

// The requests of a caller that disconnects have to be canceled, although the end of the
// connection comes after a pipelined request.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	canceled := make(chan struct{}, 2)
	_, c := startPipeline(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		canceled <- struct{}{}
		panic(http.ErrAbortHandler)
	}, nil)
	write(t, c, requestA+requestB)
	assert.NilError(t, c.Close())
	<-canceled
	<-canceled
}

func TestRequestBodiesWithLengthAndChunked(t *testing.T) {
	_, c := startPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, is.Nil(err))
		fmt.Fprintf(w, "%d:%s", r.ContentLength, body)
	}, nil)
	r := bufio.NewReader(c)
	write(t, c, "POST / HTTP/1.1\nHost: h\nContent-Length: 3\n\nabc")
	_, body, _ := read(t, r)
	assert.Equal(t, body, "3:abc")
	write(t, c, "POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n2\nab\n1\nc\n0\n\n")
	_, body, _ = read(t, r)
	assert.Equal(t, body, "3:abc")
	long := strings.Repeat("x", 200<<10)
	write(t, c, fmt.Sprintf("POST / HTTP/1.1\nHost: h\nContent-Length: %d\n\n%s", len(long), long))
	_, body, _ = read(t, r)
	assert.Equal(t, body, fmt.Sprintf("%d:%s", len(long), long))
	write(t, c, requestA)
	_, body, _ = read(t, r)
	assert.Equal(t, body, "0:")
}

func TestResponseFraming(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		body    string
		length  int64
	}{
		{"short", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ab") }, "ab", 2},
		{"empty", func(http.ResponseWriter, *http.Request) {}, "", 0},
		{"of a stated length", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "2")
			fmt.Fprint(w, "ab")
		}, "ab", 2},
		{"flushed", func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "a")
			_ = http.NewResponseController(w).Flush()
			fmt.Fprint(w, "b")
		}, "ab", -1},
		{"long", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, strings.Repeat("x", 1<<20)) }, strings.Repeat("x", 1<<20), -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, conn := startPipeline(t, c.handler, nil)
			r := bufio.NewReader(conn)
			for range 2 {
				write(t, conn, requestA)
				response, err := http.ReadResponse(r, nil)
				assert.NilError(t, err)
				assert.Equal(t, response.ContentLength, c.length)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), c.body)
			}
		})
	}
}

// Guards against a status that no caller can read, or that turns into a success because it
// looks as if none was set: such a response must not be sent.
func TestInvalidStatusIsNotSent(t *testing.T) {
	for _, status := range []int{-200, 0, 1, 99, 1000} {
		_, c := startPipeline(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "body")
		}, nil)
		write(t, c, "GET /a HTTP/1.1\nHost: h\nConnection: close\n\n")
		sent, err := io.ReadAll(c)
		assert.NilError(t, err)
		assert.Check(t, len(sent) == 0, "status %d: %q", status, sent)
	}
}

// Guards against a trailer that breaks the line it is in, or that callers cannot read.
func TestInvalidTrailersAreNotSent(t *testing.T) {
	_, c := startPipeline(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "body")
		_ = http.NewResponseController(w).Flush()
		for _, name := range []string{"Odd Name", "Odd ", "Odd\r\nOther"} {
			w.Header()[http.TrailerPrefix+name] = []string{"a"}
		}
		w.Header()[http.TrailerPrefix+"Sum"] = []string{"1\r\n2"}
	}, nil)
	write(t, c, requestA)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.DeepEqual(t, response.Trailer, http.Header{"Sum": {"1  2"}})
}

func TestAbortedResponseIsTruncated(t *testing.T) {
	_, c := startPipeline(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}, nil)
	write(t, c, requestA)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestMalformedAndOverLimitRequestsAreRejected(t *testing.T) {
	cases := []struct {
		name, request string
		status        int
	}{
		{"malformed", "no request\n\n", http.StatusBadRequest},
		{"header too large", "GET / HTTP/1.1\nHost: h\nX: " + strings.Repeat("x", 16<<10) + "\n\n", http.StatusRequestHeaderFieldsTooLarge},
		{"body too large", "POST / HTTP/1.1\nHost: h\nContent-Length: 2000\n\n", http.StatusRequestEntityTooLarge},
		{"header too slow", "GET / HTTP/1.1\nHost", http.StatusRequestTimeout},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			_, c := startPipeline(t, func(http.ResponseWriter, *http.Request) { t.Error("handled") }, func(l *daisycaller.Limits) {
				l.MaxHeaderBytes = 4 << 10
				l.MaxBodyBytes = 1000
				l.HeaderTimeout = 200 * time.Millisecond
			})
			write(t, c, k.request)
			status, _, closes := read(t, bufio.NewReader(c))
			assert.Equal(t, status, k.status)
			assert.Assert(t, closes)
		})
	}
}

// During a planned stop each response closes its connection, requests in flight are
// answered, and idle connections are closed.
func TestPlannedStopClosesConnectionsAfterTheirNextResponse(t *testing.T) {
	release := make(chan struct{})
	p, c := startPipeline(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		fmt.Fprint(w, "served")
	}, nil)
	write(t, c, requestA)
	idle := dialPipeline(t, p)
	p.SetLeaving(true)
	stopped := make(chan error, 1)
	time.AfterFunc(100*time.Millisecond, func() { stopped <- p.Shutdown(context.Background()) })
	time.AfterFunc(300*time.Millisecond, func() { close(release) })
	status, body, closes := read(t, bufio.NewReader(c))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "served")
	assert.Assert(t, closes)
	assert.NilError(t, <-stopped)
	_, err := idle.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// pipeListener is a listener for in-memory connections, so that a test can run with
// virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed context.Context
	close  context.CancelFunc
}

func newPipeListener() pipeListener {
	l := pipeListener{conns: make(chan net.Conn, 1)}
	l.closed, l.close = context.WithCancel(context.Background())
	return l
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed.Done():
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error {
	l.close()
	return nil
}

func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A request that has arrived in part when Shutdown stops accepting requests is served,
// since its caller cannot know whether it was executed.
func TestShutdownServesPartiallyReadRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		p := newPathPipeline(listener)
		c, serverSide := net.Pipe()
		listener.conns <- serverSide
		write(t, c, "GET /a HT")
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- p.Shutdown(t.Context()) }()
		synctest.Wait()
		write(t, c, "TP/1.1\nHost: h\n\n")
		_, body, closes := read(t, bufio.NewReader(c))
		assert.Equal(t, body, "/a")
		assert.Assert(t, closes)
		assert.NilError(t, <-stopped)
	})
}

// A request that its caller has sent on a kept connection before Shutdown closes it is
// served, since its caller cannot know whether it was executed.
func TestShutdownServesRequestOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		p := newPathPipeline(listener)
		c, serverSide := net.Pipe()
		listener.conns <- serverSide
		r := bufio.NewReader(c)
		write(t, c, requestA)
		_, body, _ := read(t, r)
		assert.Equal(t, body, "/a")
		stopped := make(chan error, 1)
		go func() { stopped <- p.Shutdown(t.Context()) }()
		time.Sleep(16 * time.Millisecond)
		write(t, c, requestB)
		_, body, closes := read(t, r)
		assert.Equal(t, body, "/b")
		assert.Assert(t, closes)
		assert.NilError(t, <-stopped)
	})
}

// The body of a request that is read while Shutdown waits may take longer than the wait for
// pending requests.
func TestShutdownWaitsForStreamedBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const half = 80 << 10
		listener := newPipeListener()
		p := daisycaller.NewPipeline(daisycaller.PipelineOptions{
			Listener: listener,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				n, err := io.Copy(io.Discard, r.Body)
				fmt.Fprint(w, n, err)
			}),
			Limits: daisycaller.DefaultLimits(),
		})
		c, serverSide := net.Pipe()
		listener.conns <- serverSide
		write(t, c, fmt.Sprintf("POST / HTTP/1.1\nHost: h\nContent-Length: %d\n\n%s", 2*half, strings.Repeat("x", half)))
		stopped := make(chan error, 1)
		go func() { stopped <- p.Shutdown(t.Context()) }()
		time.Sleep(time.Second)
		write(t, c, strings.Repeat("x", half))
		_, body, closes := read(t, bufio.NewReader(c))
		assert.Equal(t, body, fmt.Sprint(2*half, nil))
		assert.Assert(t, closes)
		assert.NilError(t, <-stopped)
	})
}

func newPathPipeline(listener net.Listener) *daisycaller.Pipeline {
	return daisycaller.NewPipeline(daisycaller.PipelineOptions{
		Listener: listener,
		Handler:  http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.URL.Path) }),
		Limits:   daisycaller.DefaultLimits(),
	})
}

// backlogListener is the listener of a busy process: it accepts nothing until a deadline is
// set, and then what is in its backlog.
type backlogListener struct {
	pipeListener
	deadline chan time.Time
}

func (l backlogListener) SetDeadline(t time.Time) error {
	l.deadline <- t
	close(l.deadline)
	return nil
}

func (l backlogListener) Accept() (net.Conn, error) {
	select {
	case <-l.deadline:
	case <-l.closed.Done():
		return nil, net.ErrClosed
	}
	select {
	case c := <-l.conns:
		return c, nil
	default:
		return nil, os.ErrDeadlineExceeded
	}
}

// A connection that is established but not accepted yet when Shutdown begins is accepted,
// and its request is served.
func TestShutdownAcceptsPendingConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := backlogListener{pipeListener: newPipeListener(), deadline: make(chan time.Time)}
		c, serverSide := net.Pipe()
		defer func() { _ = c.Close() }()
		listener.conns <- serverSide
		p := newPathPipeline(listener)
		stopped := make(chan error, 1)
		go func() { stopped <- p.Shutdown(t.Context()) }()
		_ = c.SetDeadline(time.Now().Add(time.Second))
		write(t, c, requestA)
		_, body, closes := read(t, bufio.NewReader(c))
		assert.Equal(t, body, "/a")
		assert.Assert(t, closes)
		assert.NilError(t, <-stopped)
	})
}

// Guards against a bug in the handling of one request that ends the requests of all other
// callers with the process.
func TestPanicAbortsOnlyItsConnection(t *testing.T) {
	release := make(chan struct{})
	p, c := startPipeline(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/a" {
			panic("a bug")
		}
		<-release
		fmt.Fprint(w, r.URL.Path)
	}, nil)
	other := dialPipeline(t, p)
	write(t, other, requestB)
	write(t, c, requestA)
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	close(release)
	status, body, _ := read(t, bufio.NewReader(other))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "/b")
}
