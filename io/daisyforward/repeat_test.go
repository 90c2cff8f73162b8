package daisyforward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
)

// repeatingEndpoint is a faulty endpoint. It responds to the first request
// on each connection; when the next one arrives, it writes that response again and runs
// the request without responding to it.
type repeatingEndpoint struct {
	// refuses is set if the first response refuses the request.
	refuses bool
	// echoes is set if responses name the attempt that they belong to.
	echoes bool
	// ran counts the runs of each path, at all endpoints of a test.
	ran *runCounts
}

// runCounts counts the runs of requests by path.
type runCounts struct {
	mu    sync.Mutex
	paths map[string]int
}

func (r *runCounts) add(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paths[path]++
}

func (r *runCounts) of(path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paths[path]
}

func startRepeatingEndpoint(t *testing.T, refuses, echoes bool, ran *runCounts) netip.AddrPort {
	t.Helper()
	e := &repeatingEndpoint{refuses: refuses, echoes: echoes, ran: ran}
	return startRawEndpoint(t, func(_ *rawEndpoint, c net.Conn) { e.serve(c) })
}

func (e *repeatingEndpoint) serve(c net.Conn) {
	r := bufio.NewReader(c)
	first := ""
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if first == "" {
			first = e.respond(request)
			_, _ = io.WriteString(c, first)
			continue
		}
		e.ran.add(request.URL.Path)
		_, _ = io.WriteString(c, first)
	}
}

// respond runs or refuses a request and returns the response.
func (e *repeatingEndpoint) respond(request *http.Request) string {
	attempt := ""
	if e.echoes {
		attempt = "Daisy-Attempt: " + request.Header.Get("Daisy-Attempt") + "\r\n"
	}
	if e.refuses {
		return "HTTP/1.1 503 Service Unavailable\r\nDaisy-Run: not-run\r\n" + attempt + "Content-Length: 0\r\n\r\n"
	}
	e.ran.add(request.URL.Path)
	body := request.URL.Path
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
}

// TestRepeatedRefusalProvesNothing guards against an endpoint's earlier refusal that is
// taken for the response to a later request on the connection: the caller would be told
// that a request did not run which ran, or it would run at a second endpoint.
func TestRepeatedRefusalProvesNothing(t *testing.T) {
	for _, echoes := range []bool{false, true} {
		t.Run(fmt.Sprintf("echoes %t", echoes), func(t *testing.T) {
			ran := &runCounts{paths: make(map[string]int)}
			v := startVM(t, newSettings(startRepeatingEndpoint(t, true, echoes, ran), startRepeatingEndpoint(t, true, echoes, ran)))
			client := v.client(t, daisyservice.HTTP1)
			for i := range 8 {
				path := fmt.Sprintf("/order-%d", i)
				request := newCall(t, http.MethodPost, strings.NewReader("order"))
				request.URL.Path = path
				got := roundTrip(t, client, request)
				runs := ran.of(path)
				assert.Check(t, runs <= 1, "%s ran %d times", path, runs)
				assert.Check(t, got.run != "not-run" || runs == 0, "%s ran, and the caller was told %+v", path, got)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
}

// TestRepeatedAnswerReachesNoOtherCaller guards against the second copy of an answer that
// reaches the caller of the next request, at an endpoint whose answers name their attempt.
func TestRepeatedAnswerReachesNoOtherCaller(t *testing.T) {
	ran := &runCounts{paths: make(map[string]int)}
	v := startVM(t, newSettings(startRepeatingEndpoint(t, false, true, ran)))
	client := v.client(t, daisyservice.HTTP1)
	var repeated atomic.Int32
	for i := range 20 {
		request := newCall(t, http.MethodPost, strings.NewReader("order"))
		request.URL.Path = fmt.Sprintf("/order-%d", i)
		response, err := client.RoundTrip(request)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.Header.Get("Daisy-Attempt"), "", "the field concerns endpoint and VM only")
		if response.StatusCode == http.StatusOK {
			assert.Equal(t, string(body), request.URL.Path)
			continue
		}
		repeated.Add(1)
		assert.Equal(t, response.StatusCode, http.StatusBadGateway)
		assert.Equal(t, response.Header.Get("Daisy-Run"), "unknown")
		assert.Equal(t, ran.of(request.URL.Path), 1)
	}
	assert.Check(t, repeated.Load() > 0, "no connection was used twice")
}

// TestHeadThatStopsIsNoAnswer guards against an answer whose head breaks off and that
// reaches the caller as a complete one.
func TestHeadThatStopsIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nDaisy-Load: in-flight=0, slots=3\r\nContent-Length: 5\r\n\r\n"
	var arrived atomic.Int32
	for n := range len(head) {
		v := startVM(t, newSettings(startBreakingEndpoint(t, &arrived, func(c net.Conn) { _, _ = io.WriteString(c, head[:n]) })))
		got := roundTrip(t, v.client(t, daisyservice.HTTP1), newCall(t, http.MethodPost, strings.NewReader("order")))
		assert.Check(t, got.status == http.StatusBadGateway && got.run == "unknown", "after %d bytes of the head: %+v", n, got)
	}
}
