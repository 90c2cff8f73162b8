package daisycaller_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/io/daisycaller"
)

// stoppable is a server of callers that can be stopped as planned.
type stoppable interface {
	SetLeaving(leaving bool)
	Shutdown(ctx context.Context) error
}

// handled records which requests a handler took, by their name.
type handled struct {
	mu    sync.Mutex
	names map[string]bool
}

func (h *handled) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	h.mu.Lock()
	h.names[string(body)] = true
	h.mu.Unlock()
	time.Sleep(2 * time.Millisecond)
	_, _ = w.Write(body)
}

func (h *handled) took(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.names[name]
}

// TestPlannedStopUnderLoadAnswersWhatItTook guards against requests that were accepted
// just before or during a planned stop and are cut off without an answer. Callers keep
// their connections and go on sending until these are closed.
func TestPlannedStopUnderLoadAnswersWhatItTook(t *testing.T) {
	servers := map[string]func(t *testing.T, handler http.Handler) (stoppable, string){
		"server": func(t *testing.T, handler http.Handler) (stoppable, string) {
			s, url := startServer(t, handler.ServeHTTP)
			return s, url
		},
		"pipeline": func(t *testing.T, handler http.Handler) (stoppable, string) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			p := daisycaller.NewPipeline(daisycaller.PipelineOptions{Listener: listener, Handler: handler, Limits: daisycaller.DefaultLimits()})
			t.Cleanup(p.Close)
			return p, "http://" + p.Address().String()
		},
	}
	for name, start := range servers {
		for _, http2 := range []bool{false, true} {
			if http2 && name == "pipeline" {
				continue
			}
			t.Run(fmt.Sprintf("%s, HTTP/2 %t", name, http2), func(t *testing.T) {
				h := &handled{names: make(map[string]bool)}
				s, url := start(t, h)
				stopUnderLoad(t, s, url, http2, h)
			})
		}
	}
}

func stopUnderLoad(t *testing.T, s stoppable, url string, http2 bool, h *handled) {
	const callers = 40
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			transport := newTransport(t, http2)
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				name := fmt.Sprintf("%d-%d", i, n)
				answered, err := sendNamed(t, transport, url, name)
				assert.Check(t, err == nil || answered || !h.took(name), "request %s was taken and cut: %v", name, err)
				if err != nil {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	s.SetLeaving(true)
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, s.Shutdown(context.Background()))
	close(done)
	running.Wait()
}

// sendNamed sends a request and reports whether its whole answer arrived.
func sendNamed(t *testing.T, transport *http.Transport, url, name string) (answered bool, err error) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(name))
	if err != nil {
		return false, err
	}
	// Without GetBody, net/http does not send the request a second time.
	r.GetBody = nil
	response, err := transport.RoundTrip(r)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body) == name, err
}
