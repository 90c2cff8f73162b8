package daisycaller_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisycaller"
)

func startServer(t *testing.T, handler http.HandlerFunc) (*daisycaller.Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := daisycaller.NewServer(daisycaller.Options{Listener: l, Handler: handler, Limits: daisycaller.DefaultLimits()})
	t.Cleanup(s.Close)
	return s, "http://" + s.Address().String()
}

func newTransport(t *testing.T, http2 bool) *http.Transport {
	t.Helper()
	var protocols http.Protocols
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	transport := &http.Transport{Protocols: &protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

func post(t *testing.T, transport *http.Transport, url string) (*http.Response, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, nil)
	assert.NilError(t, err)
	response, err := transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return response, err
}

func TestPlannedStopCompletesRequestsInFlight(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		arrived, finish := make(chan struct{}, 9), make(chan struct{})
		s, url := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				arrived <- struct{}{}
				<-finish
			}
			_, _ = io.WriteString(w, "whole")
		})
		transport := newTransport(t, http2)
		_, err := post(t, transport, url)
		assert.NilError(t, err)

		slow := make(chan error)
		go func() {
			_, err := post(t, transport, url+"/slow")
			slow <- err
		}()
		<-arrived
		s.SetLeaving(true)
		// Callers that still use the VM's address from an earlier answer are served on
		// existing and new connections, and an HTTP/1.1 response closes its connection.
		response, err := post(t, newTransport(t, http2), url)
		assert.NilError(t, err)
		assert.Equal(t, response.Close, !http2)

		stopped := make(chan error)
		go func() { stopped <- s.Shutdown(context.Background()) }()
		select {
		case <-stopped:
			t.Fatal("stopped before the request in flight ended")
		case <-time.After(20 * time.Millisecond):
		}
		close(finish)
		assert.NilError(t, <-slow)
		assert.NilError(t, <-stopped)
		_, err = post(t, newTransport(t, http2), url)
		assert.Assert(t, err != nil)
	}
}

func TestShutdownTimeoutFailsAndAbortsRequests(t *testing.T) {
	arrived := make(chan struct{})
	s, url := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
	aborted := make(chan error)
	go func() {
		_, err := post(t, newTransport(t, false), url)
		aborted <- err
	}()
	<-arrived
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := s.Shutdown(ctx)
	assert.Assert(t, errorx.IsOfType(err, daisyerror.Unknown))
	assert.Assert(t, <-aborted != nil)
}
