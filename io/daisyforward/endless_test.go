package daisyforward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisystand"
)

// startEndless starts a server that is closed at the end of the test.
func startEndless(t *testing.T, endless daisystand.Endless) *daisystand.EndlessServer {
	t.Helper()
	e, err := daisystand.ListenEndless(endless)
	assert.NilError(t, err)
	t.Cleanup(e.Close)
	return e
}

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	// maxEndlessBytes is more than the limits of the test and what the buffers of two
	// sockets hold.
	maxEndlessBytes = 24 << 20
	// maxEndlessHeap is how much the heap may grow while many endless answers arrive.
	maxEndlessHeap = 32 << 20
)

// failed is what a caller is told of an answer whose header never ends, and cut of one
// that breaks off later.
var (
	failed = result{status: 502, run: "unknown", problem: true}
	cut    = result{status: 200, truncated: true}
)

// Guards against an endpoint that sends bytes without end in any part of an answer: the VM
// must stop to read, keep its memory, and tell the caller the truth.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	cases := []struct {
		name, prefix, filler string
		want                 result
	}{
		{"status line", "HTTP/1.1 200 ", "x", failed},
		{"no HTTP", "", "x", failed},
		{"header line", "HTTP/1.1 200 OK\r\nX-A: ", "x", failed},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n", failed},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", failed},
		{"continue responses", "", "HTTP/1.1 100 Continue\r\n\r\n", failed},
		{"chunk extension", chunkedHead + "5;", "x", cut},
		{"chunk extensions", chunkedHead, "1;" + strings.Repeat("x", 4000) + "\r\na\r\n", cut},
		{"chunk size", chunkedHead, "0", cut},
		{"chunks", chunkedHead, "5\r\nhello\r\n", cut},
		{"body without length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "hello", cut},
		{"trailer", chunkedHead + "0\r\nX-A: ", "x", cut},
		{"trailers", chunkedHead + "0\r\n", "X-A: b\r\n", cut},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			e := startEndless(t, daisystand.Endless{Prefix: k.prefix, Filler: k.filler})
			s := newSettings(e.Address())
			s.limits.MaxResponseBytes = 1 << 20
			v := startVM(t, s)
			before := heapInUse()
			for range 5 {
				assert.Equal(t, roundTrip(t, v.client(t, daisyservice.HTTP1), newCall(t, http.MethodPost, strings.NewReader("order"))), k.want)
			}
			waitFor(t, func() bool { return e.Broken() == 5 && v.inFlight() == 0 })
			assert.Check(t, e.Sent() < 5*maxEndlessBytes, "%d bytes were read", e.Sent())
			assert.Check(t, heapInUse()-before < maxEndlessHeap)
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}

// Guards against bytes after a complete answer that are taken for the next one.
func TestEndlessBytesAfterAnAnswer(t *testing.T) {
	e := startEndless(t, daisystand.Endless{Prefix: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Filler: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"})
	v := startVM(t, newSettings(e.Address()))
	client := v.client(t, daisyservice.HTTP1)
	for i := range int64(5) {
		response, err := client.RoundTrip(newCall(t, http.MethodPost, nil))
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
		waitFor(t, func() bool { return e.Broken() == i+1 })
	}
}

// Guards against an endpoint that sends a byte from time to time without end, so that no
// limit of bytes is reached.
func TestEndlesslySlowAnswersAreCutOff(t *testing.T) {
	cases := []struct {
		name, prefix, filler string
		want                 result
	}{
		{"header", "HTTP/1.1 200 OK\r\nX-A: ", "x", result{status: 504, run: "unknown", problem: true}},
		{"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n", failed},
		{"chunks", chunkedHead, "1\r\na\r\n", cut},
		{"trailer", chunkedHead + "0\r\nX-A: ", "x", cut},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			e := startEndless(t, daisystand.Endless{Prefix: k.prefix, Filler: k.filler, Pause: 10 * time.Millisecond})
			s := newSettings(e.Address())
			s.limits.MaxResponseTime = 300 * time.Millisecond
			v := startVM(t, s)
			call := newCall(t, http.MethodPost, strings.NewReader("order"))
			call.Header.Set("Daisy-Timeout", "2s")
			assert.Equal(t, roundTrip(t, v.client(t, daisyservice.HTTP1), call), k.want)
			waitFor(t, func() bool { return e.Broken() == 1 && v.inFlight() == 0 })
		})
	}
}

// Guards against an answer without end that begins while the body of its request is still
// coming in: it must not hold memory or its slot once the caller has left.
func TestEndlessAnswerBeforeTheWholeBody(t *testing.T) {
	e := startEndless(t, daisystand.Endless{Prefix: chunkedHead, Filler: "5\r\nhello\r\n", Early: true})
	s := newSettings(e.Address())
	s.limits.MaxResponseBytes = 1 << 20
	v := startVM(t, s)
	before := heapInUse()
	for range 5 {
		conn, err := net.Dial("tcp", v.server.Address().String())
		assert.NilError(t, err)
		_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: lookups.vigia-lar\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 100_000))
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, response.Body)
		assert.Assert(t, err != nil, "an answer without end must not look complete")
		assert.NilError(t, conn.Close())
	}
	waitFor(t, func() bool { return e.Broken() == 5 && v.inFlight() == 0 })
	assert.Check(t, heapInUse()-before < maxEndlessHeap)
}

// Guards against memory that grows with the number of answers whose header is just below
// the limit and never ends.
func TestManyLongHeadersNeverEnd(t *testing.T) {
	const requests = 1000
	long := strings.Repeat("X-A: "+strings.Repeat("b", 1000)+"\r\n", 60)
	e := startEndless(t, daisystand.Endless{Prefix: "HTTP/1.1 200 OK\r\n" + long + "X-B: ", Filler: "b", Pause: 20 * time.Millisecond})
	s := newSettings(e.Address())
	s.slots, s.maxRequests = requests, requests
	v := startVM(t, s)
	client := v.client(t, daisyservice.HTTP1)
	before := heapInUse()
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			call := newCall(t, http.MethodGet, nil)
			call.Header.Set("Daisy-Timeout", "1s")
			got := roundTrip(t, client, call)
			assert.Check(t, got.problem, "%+v", got)
		})
	}
	wg.Wait()
	waitFor(t, func() bool { return v.inFlight() == 0 })
	client.CloseIdleConnections()
	assert.Check(t, heapInUse()-before < maxEndlessHeap)
}

// Guards against an endpoint that goes on getting requests although its answers never end.
func TestEndpointWithEndlessAnswersIsLeftAlone(t *testing.T) {
	const requests = 200
	e := startEndless(t, daisystand.Endless{Prefix: "HTTP/1.1 200 OK\r\n", Filler: "X-A: b\r\n"})
	sound := startEndpoint(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	v := startVM(t, newSettings(e.Address(), sound, startEndpoint(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))))
	failures := 0
	for range requests {
		if got := roundTrip(t, v.client(t, daisyservice.HTTP1), newCall(t, http.MethodPost, strings.NewReader("order"))); got != (result{status: 200}) {
			assert.Equal(t, got, failed)
			failures++
		}
	}
	assert.Check(t, failures <= requests/10, "%d of %d requests failed", failures, requests)
}
