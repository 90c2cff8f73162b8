package daisytrial

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/joomcode/errorx"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyconnection"
)

// maxResponseSize limits the part of a response body that is read, in bytes.
const maxResponseSize = 1 << 20

// caller sends calls to the VMs that its resolver returns. It sends them through a
// daisyconnection.Pool, because http.Client retries some requests by itself after a
// broken connection, and such a second run would count against a VM that was sent the
// request only once.
type caller struct {
	resolver       *Resolver
	resolverClient *http.Client
	pool           *daisyconnection.Pool
}

// send sends a call and returns its outcome. It tries the next address only if no
// connection could be made, which proves that nothing was sent.
func (c *caller) send(ctx context.Context, call Call) Outcome {
	addresses, err := c.resolver.Addresses(ctx)
	if err != nil {
		return NoResponse{Cause: err}
	}
	var failure NoResponse
	for _, a := range addresses {
		started := time.Now()
		response, err := c.do(ctx, a, call)
		if err == nil {
			return classify(call, response, a, started)
		}
		failure = NoResponse{Cause: err, Span: Span{VM: a, From: started, To: time.Now()}}
		if !errorx.IsOfType(err, daisyconnection.NotSent) {
			break
		}
	}
	return failure
}

func (c *caller) do(ctx context.Context, address netip.AddrPort, call Call) (*http.Response, error) {
	var body io.Reader
	if call.Stream.BodySize > 0 {
		body = io.LimitReader(zeroReader{}, int64(call.Stream.BodySize))
	}
	request, err := http.NewRequestWithContext(ctx, call.Stream.Method, "http://"+address.String()+"/work", body)
	if err != nil {
		return nil, daisyerror.Internal.Wrap(err, "creating the request")
	}
	if body != nil {
		request.ContentLength = int64(call.Stream.BodySize)
	}
	request.Host = call.Stream.Service.Name + "." + string(call.Stream.Service.Fleet)
	request.Header.Set("Daisy-Rank", string(call.Stream.Rank))
	request.Header.Set("X-Request-Id", call.Key)
	return c.pool.RoundTrip(request, daisyconnection.Target{Address: address})
}

// zeroReader is an endless stream of zero bytes.
type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func classify(call Call, response *http.Response, vm netip.AddrPort, started time.Time) Outcome {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize))
	if err != nil {
		return Truncated{Cause: err, Span: Span{VM: vm, From: started, To: time.Now()}}
	}
	switch response.Header.Get("Daisy-Run") {
	case "not-run":
		return Refused{Status: response.StatusCode}
	case "unknown":
		return Failed{Status: response.StatusCode}
	}
	if key := parseKey(body); response.StatusCode == http.StatusOK && key != call.Key {
		return Mismatched{Key: key}
	}
	return Served{Status: response.StatusCode, Duration: time.Since(started)}
}

// parseKey returns the key that a simulated endpoint echoes in its response, or an empty
// string if there is none.
func parseKey(body []byte) string {
	var document struct {
		Key string `json:"key"`
	}
	if json.Unmarshal(bytes.TrimSpace(body), &document) != nil {
		return ""
	}
	return document.Key
}
