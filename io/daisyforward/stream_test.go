package daisyforward_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisyforward"
)

// startVMAndEndpoint starts a VM with one endpoint and returns a caller's transport to it.
func startVMAndEndpoint(t *testing.T, caller, protocol daisyservice.Protocol, handler http.HandlerFunc) *http.Transport {
	t.Helper()
	s := newSettings(startEndpoint(t, handler))
	s.protocol = protocol
	return startVM(t, s).client(t, caller)
}

func TestBodiesStreamBothWays(t *testing.T) {
	forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		transport := startVMAndEndpoint(t, caller, protocol, func(w http.ResponseWriter, r *http.Request) {
			control := http.NewResponseController(w)
			_ = control.EnableFullDuplex()
			_ = control.Flush()
			chunk := make([]byte, 100)
			for {
				n, err := r.Body.Read(chunk)
				_, _ = w.Write(bytes.ToUpper(chunk[:n]))
				_ = control.Flush()
				if err != nil {
					return
				}
			}
		})
		reader, writer := io.Pipe()
		response, err := transport.RoundTrip(newCall(t, http.MethodPost, reader))
		assert.NilError(t, err)
		for range 3 {
			_, err = io.WriteString(writer, "visit")
			assert.NilError(t, err)
			got := make([]byte, len("visit"))
			_, err = io.ReadFull(response.Body, got)
			assert.NilError(t, err)
			assert.Equal(t, string(got), "VISIT")
		}
		assert.NilError(t, writer.Close())
		rest, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(rest), 0)
	})
}

// patternReader returns the bytes of a large body.
type patternReader struct{ left, at int }

func (p *patternReader) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	n := min(len(b), p.left)
	for i := range n {
		b[i] = byte((p.at + i) * 31)
	}
	p.left -= n
	p.at += n
	return n, nil
}

func TestLargeBodiesArriveWhole(t *testing.T) {
	const size = 1 << 20
	forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		transport := startVMAndEndpoint(t, caller, protocol, func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			_, _ = io.Copy(w, r.Body)
		})
		for _, knownLength := range []bool{true, false} {
			r := newCall(t, http.MethodPut, &patternReader{left: size})
			if knownLength {
				r.ContentLength = size
			}
			response, err := transport.RoundTrip(r)
			assert.NilError(t, err)
			got, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			want, err := io.ReadAll(&patternReader{left: size})
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(got, want))
		}
	})
}

func TestTrailersBothWays(t *testing.T) {
	forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		transport := startVMAndEndpoint(t, caller, protocol, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("Trailer", "Announced")
			_, _ = w.Write(body)
			w.Header().Set("Announced", r.Trailer.Get("Sum")+" "+r.Header.Get("Te"))
			w.Header().Set(http.TrailerPrefix+"Unannounced", "yes")
		})
		r := newCall(t, http.MethodPost, io.MultiReader(strings.NewReader("closure")))
		r.Trailer = http.Header{"Sum": {"42"}}
		r.Header.Set("Te", "trailers")
		if caller == daisyservice.HTTP1 {
			r.Header.Set("Connection", "TE")
		}
		response, err := transport.RoundTrip(r)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "closure")
		assert.Equal(t, response.Trailer.Get("Announced"), "42 trailers")
		assert.Equal(t, response.Trailer.Get("Unannounced"), "yes")
	})
}

func TestHeaders(t *testing.T) {
	forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		requests := make(chan *http.Request, 1)
		transport := startVMAndEndpoint(t, caller, protocol, func(w http.ResponseWriter, r *http.Request) {
			requests <- r
			h := w.Header()
			h["Content-Type"] = nil
			h.Set("Via", "1.1 inner")
			h.Set("Keep-Alive", "timeout=5")
			h.Set("Proxy-Connection", "keep-alive")
			h.Set("Kept", "yes")
			if r.ProtoMajor == 1 {
				h.Set("Connection", "Named")
				h.Set("Named", "hop")
			}
			w.WriteHeader(http.StatusTeapot)
			_, _ = io.WriteString(w, "<html>")
		})
		r := newCall(t, http.MethodPost, strings.NewReader("x"))
		r.URL.Path = "/a b//%2F/ü"
		r.URL.RawPath = "/a%20b//%252F/%C3%BC"
		r.Host = "lookups.vigia-lar:8080"
		r.Header.Set("Via", "1.0 outer")
		r.Header.Set("Forwarded", "for=192.0.2.1")
		r.Header.Set("Idempotency-Key", `"8e03978e-40d5-43dd-bc93-6894a57f9324"`)
		r.Header.Set("Proxy-Authorization", "Basic x")
		r.Header.Set("Daisy-Timeout", "5s")
		r.Header.Set("User-Agent", "")
		if caller == daisyservice.HTTP1 {
			r.Header.Set("Connection", "keep-alive, X-Named")
			r.Header.Set("X-Named", "hop")
			r.Header.Set("Keep-Alive", "timeout=5")
		}
		response, err := transport.RoundTrip(r)
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		got := <-requests
		versions := map[daisyservice.Protocol]string{daisyservice.HTTP1: "1.1", daisyservice.HTTP2: "2"}
		assert.Equal(t, got.Host, "lookups.vigia-lar:8080")
		assert.Equal(t, got.RequestURI, "/a%20b//%252F/%C3%BC?day=1")
		assert.Equal(t, got.Header.Get("Daisy-Rank"), "urgent")
		timeout := got.Header.Get("Daisy-Timeout")
		assert.Assert(t, strings.HasSuffix(timeout, "ms") && (timeout == "5000ms" || timeout[0] == '4'), timeout)
		assert.Equal(t, got.Header.Get("Idempotency-Key"), `"8e03978e-40d5-43dd-bc93-6894a57f9324"`)
		assert.DeepEqual(t, got.Header["Via"], []string{"1.0 outer", versions[caller] + " vm-1"})
		assert.DeepEqual(t, got.Header["Forwarded"], []string{"for=192.0.2.1", "for=127.0.0.1;by=_vm-1;proto=http"})
		for _, name := range []string{"X-Named", "Keep-Alive", "Proxy-Authorization", "User-Agent", "Accept-Encoding", "Connection"} {
			assert.Equal(t, len(got.Header[name]), 0, name)
		}
		assert.Equal(t, response.StatusCode, http.StatusTeapot)
		assert.DeepEqual(t, response.Header["Via"], []string{"1.1 inner", versions[protocol] + " vm-1"})
		assert.Equal(t, response.Header.Get("Kept"), "yes")
		for _, name := range []string{"Named", "Keep-Alive", "Proxy-Connection", "Content-Type"} {
			assert.Equal(t, len(response.Header[name]), 0, name)
		}
	})
}

func TestStatusesWithoutBody(t *testing.T) {
	cases := []struct {
		name, method string
		status       int
		length       string
	}{
		{"HEAD", http.MethodHead, http.StatusOK, "6"},
		{"204", http.MethodGet, http.StatusNoContent, ""},
		{"304", http.MethodGet, http.StatusNotModified, ""},
		{"empty", http.MethodGet, http.StatusOK, "0"},
	}
	forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		for _, c := range cases {
			transport := startVMAndEndpoint(t, caller, protocol, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Etag", `"v1"`)
				if c.length != "" {
					w.Header().Set("Content-Length", c.length)
				}
				w.WriteHeader(c.status)
			})
			for range 2 {
				response, err := transport.RoundTrip(newCall(t, c.method, nil))
				assert.NilError(t, err, c.name)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err, c.name)
				assert.Equal(t, len(body), 0, c.name)
				assert.Equal(t, response.StatusCode, c.status, c.name)
				assert.Equal(t, response.Header.Get("Etag"), `"v1"`, c.name)
				assert.Equal(t, response.Header.Get("Content-Length"), c.length, c.name)
			}
		}
	})
}

func TestEndpointDecidesOnExpectContinue(t *testing.T) {
	forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		transport := startVMAndEndpoint(t, caller, protocol, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Refuse") != "" {
				w.WriteHeader(http.StatusExpectationFailed)
				return
			}
			body, _ := io.ReadAll(r.Body)
			_, _ = w.Write(body)
		})
		for _, refuse := range []string{"", "yes"} {
			body := &patternReader{left: 1000}
			r := newCall(t, http.MethodPost, body)
			r.ContentLength = 1000
			r.Header.Set("Expect", "100-continue")
			r.Header.Set("Refuse", refuse)
			response, err := transport.RoundTrip(r)
			assert.NilError(t, err)
			got, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			if refuse == "" {
				assert.Equal(t, len(got), 1000)
				continue
			}
			assert.Equal(t, response.StatusCode, http.StatusExpectationFailed)
			if caller == daisyservice.HTTP1 {
				// For an HTTP/2 caller, net/http responds to this field itself and removes it.
				assert.Equal(t, body.left, 1000)
			}
		}
	})
}

func TestInterimResponsesAreForwarded(t *testing.T) {
	forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		transport := startVMAndEndpoint(t, caller, protocol, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Link", "</plan.css>; rel=preload")
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Del("Link")
			_, _ = io.WriteString(w, "plan")
		})
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			var links []string
			trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
				links = append(links, h.Get("Link"))
				return nil
			}}
			r := newCall(t, method, nil)
			response, err := transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "plan")
			assert.Equal(t, response.Header.Get("Link"), "")
			assert.DeepEqual(t, links, []string{"</plan.css>; rel=preload"})
		}
	})
}

// TestShedRequestIsSentToAnotherEndpoint sheds a request after a part of its body was
// read. The other endpoint must get the whole body.
func TestShedRequestIsSentToAnotherEndpoint(t *testing.T) {
	forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		first := make(chan struct{}, 1)
		handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case first <- struct{}{}:
				_, _ = io.ReadFull(r.Body, make([]byte, 10))
				w.Header().Set("Daisy-Run", "not-run")
				w.WriteHeader(http.StatusServiceUnavailable)
			default:
				_ = http.NewResponseController(w).EnableFullDuplex()
				_, _ = io.Copy(w, r.Body)
			}
		})
		s := newSettings(startEndpoint(t, handler), startEndpoint(t, handler))
		s.protocol = protocol
		transport := startVM(t, s).client(t, caller)
		reader, writer := io.Pipe()
		go func() {
			_, _ = io.WriteString(writer, "booking a ")
			_, _ = io.WriteString(writer, "replacement alarm")
			_ = writer.Close()
		}()
		response, err := transport.RoundTrip(newCall(t, http.MethodPost, reader))
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, string(body), "booking a replacement alarm")
	})
}

// TestShedRequestAboveReplayLimitIsNotResent sheds a request after more of its body was
// read than is kept. It cannot be sent again and must fail as not run.
func TestShedRequestAboveReplayLimitIsNotResent(t *testing.T) {
	arrived := make(chan struct{}, 9)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Daisy-Run", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	s := newSettings(startEndpoint(t, handler), startEndpoint(t, handler))
	s.limits = daisyforward.Limits{MaxReplayBytes: 1000, StallTimeout: s.limits.StallTimeout}
	r := newCall(t, http.MethodPost, &patternReader{left: 1 << 20})
	got := roundTrip(t, startVM(t, s).client(t, daisyservice.HTTP1), r)
	assert.Equal(t, got, result{status: 503, run: "not-run", retryAfter: true, problem: true})
	assert.Equal(t, len(arrived), 1)
}

func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		arrived, canceled := make(chan struct{}), make(chan struct{})
		s := newSettings(startEndpoint(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-r.Context().Done()
			close(canceled)
		})))
		s.protocol = protocol
		v := startVM(t, s)
		r := newCall(t, http.MethodPost, nil)
		ctx, cancel := context.WithCancel(r.Context())
		done := make(chan error)
		go func() {
			_, err := v.client(t, caller).RoundTrip(r.WithContext(ctx))
			done <- err
		}()
		<-arrived
		assert.Equal(t, v.inFlight(), 1)
		cancel()
		assert.Assert(t, <-done != nil)
		<-canceled
		waitFor(t, func() bool { return v.inFlight() == 0 })
	})
}
