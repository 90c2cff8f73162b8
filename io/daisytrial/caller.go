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

// maxAnswer bounds an answer that is kept, in bytes.
const maxAnswer = 1 << 20

// caller sends calls to the VMs that its resolver names. Its pool sends none of
// them twice by itself, as the library's client would after a broken connection:
// a VM can only answer for what it was sent.
type caller struct {
	resolver *Resolver
	client   *http.Client
	pool     *daisyconnection.Pool
}

// send gives the fate of a call. Where no connection could be had, which proves
// that nothing was sent, the next address is tried.
func (c *caller) send(ctx context.Context, call Call) Fate {
	addresses, err := c.resolver.Addresses(ctx)
	if err != nil {
		return NoAnswer{Cause: err}
	}
	var failure NoAnswer
	for _, a := range addresses {
		started := time.Now()
		response, err := c.do(ctx, a, call)
		if err == nil {
			return judge(call, response, a, started)
		}
		failure = NoAnswer{Cause: err, Span: Span{VM: a, From: started, To: time.Now()}}
		if !errorx.IsOfType(err, daisyconnection.NotSent) {
			break
		}
	}
	return failure
}

func (c *caller) do(ctx context.Context, address netip.AddrPort, call Call) (*http.Response, error) {
	var body io.Reader
	if call.Stream.BodySize > 0 {
		body = io.LimitReader(zeros{}, int64(call.Stream.BodySize))
	}
	request, err := http.NewRequestWithContext(ctx, call.Stream.Method, "http://"+address.String()+"/work", body)
	if err != nil {
		return nil, daisyerror.Internal.Wrap(err, "making a request")
	}
	if body != nil {
		request.ContentLength = int64(call.Stream.BodySize)
	}
	request.Host = call.Stream.Service.Name + "." + string(call.Stream.Service.Fleet)
	request.Header.Set("Daisy-Rank", string(call.Stream.Rank))
	request.Header.Set("X-Request-Id", call.Key)
	return c.pool.RoundTrip(request, daisyconnection.Target{Address: address})
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

func judge(call Call, response *http.Response, vm netip.AddrPort, started time.Time) Fate {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return Cut{Cause: err, Span: Span{VM: vm, From: started, To: time.Now()}}
	}
	switch response.Header.Get("Daisy-Run") {
	case "not-run":
		return Refused{Status: response.StatusCode}
	case "unknown":
		return Failed{Status: response.StatusCode}
	}
	if key := keyOf(body); response.StatusCode == http.StatusOK && key != call.Key {
		return MixedUp{Got: key}
	}
	return Served{Status: response.StatusCode, Took: time.Since(started)}
}

// keyOf reads the key that a stand-in endpoint repeats in its answer.
func keyOf(body []byte) string {
	var answer struct {
		Key string `json:"key"`
	}
	if json.Unmarshal(bytes.TrimSpace(body), &answer) != nil {
		return ""
	}
	return answer.Key
}
