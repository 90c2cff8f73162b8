package daisyplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"
	"golang.org/x/time/rate"

	"daisyyoke/core/daisyerror"
	"daisyyoke/io/daisyresponse"
)

const (
	// attemptTimeout is the timeout of one attempt.
	attemptTimeout = 2 * time.Second
	// maxRetryElapsed is the time since the first attempt after which no retry is started.
	maxRetryElapsed = 3 * time.Second
	// initialRetryDelay is the mean delay before the first retry.
	initialRetryDelay = 250 * time.Millisecond
	// requestRate is the maximum rate of requests from one VM to the platform, in requests
	// a second, and requestBurst the number of requests allowed at once.
	requestRate  = 20
	requestBurst = 40
	// maxListSize is the maximum size of a list of rows or VMs, in bytes.
	maxListSize = 32 << 20
	// idleConnTimeout is the time after which an idle connection is closed.
	idleConnTimeout = 90 * time.Second
	// maxErrorSize is the size up to which the body of an error response is read even if
	// the limit of the operation is less, in bytes.
	maxErrorSize = 4 << 10
	// maxHeaderSize is the maximum size of the header of a response, in bytes.
	maxHeaderSize = 64 << 10
)

// Client is a platform that is reached over HTTP. It limits the rate of its requests, and
// retries with exponential backoff the operations that the platform did not carry out.
type Client struct {
	base    url.URL
	http    *http.Client
	limiter *rate.Limiter
}

var _ Platform = (*Client)(nil)

// NewClient returns a client of the platform at a base URL. If transport is nil, the client
// creates its own.
func NewClient(base url.URL, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = newTransport()
	}
	return &Client{
		base: base,
		http: &http.Client{
			Transport:     daisyresponse.NewTransport(transport),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		limiter: rate.NewLimiter(requestRate, requestBurst),
	}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: attemptTimeout}).DialContext,
		MaxIdleConnsPerHost: requestBurst,
		IdleConnTimeout:     idleConnTimeout,
		ForceAttemptHTTP2:   true,

		MaxResponseHeaderBytes: maxHeaderSize,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call describes the HTTP request of an operation and the decoding of its response.
type call struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
	// maxResponseSize is the maximum size of the body of a response with status 200, in bytes.
	maxResponseSize int64
	// decode returns the answer for a response with status 200 or 204.
	decode func(header http.Header, body []byte) Answer
}

func (c call) isWrite() bool { return c.method != http.MethodGet }

// GetRow answers RowRead, NotFound or Unavailable.
func (c *Client) GetRow(ctx context.Context, key string) Answer {
	return c.do(ctx, call{
		method:          http.MethodGet,
		path:            rowPath,
		query:           queryOf(keyParameter, key),
		maxResponseSize: MaxValueSize,
		decode: func(header http.Header, body []byte) Answer {
			v, ok := parseVersionTag(header.Get("ETag"))
			if !ok {
				return invalidResponse("a row without a version")
			}
			era, ok := parseEra(header)
			if !ok {
				return invalidResponse("a row with an invalid era")
			}
			return RowRead{Row: Row{Key: key, Version: v, Value: body}, Era: era}
		},
	})
}

// SwapRow answers RowWritten, Conflict, Unknown or Unavailable.
func (c *Client) SwapRow(ctx context.Context, key string, expected Version, value []byte) Answer {
	if err := checkRow(key, value); err != nil {
		return Unavailable{Err: err}
	}
	header := http.Header{}
	if expected == 0 {
		header.Set("If-None-Match", anyVersion)
	} else {
		header.Set("If-Match", formatVersionTag(expected))
	}
	return c.do(ctx, call{
		method: http.MethodPut,
		path:   rowPath,
		query:  queryOf(keyParameter, key),
		header: header,
		body:   value,
		decode: func(header http.Header, _ []byte) Answer {
			v, ok := parseVersionTag(header.Get("ETag"))
			if !ok {
				return Unknown{Err: daisyerror.Unknown.New("a write without a version")}
			}
			return RowWritten{Version: v}
		},
	})
}

// ListRows answers RowsListed or Unavailable.
func (c *Client) ListRows(ctx context.Context, prefix string) Answer {
	return c.do(ctx, call{
		method:          http.MethodGet,
		path:            rowsPath,
		query:           queryOf(prefixParameter, prefix),
		maxResponseSize: maxListSize,
		decode: func(_ http.Header, body []byte) Answer {
			var documents []rowDocument
			if err := json.Unmarshal(body, &documents); err != nil {
				return invalidResponse(err.Error())
			}
			return RowsListed{Rows: decodeRows(documents)}
		},
	})
}

// PutObject answers ObjectWritten, Unknown or Unavailable.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) Answer {
	if err := checkObject(name, data); err != nil {
		return Unavailable{Err: err}
	}
	return c.do(ctx, call{
		method: http.MethodPut,
		path:   objectPath,
		query:  queryOf(nameParameter, name),
		body:   data,
		decode: func(http.Header, []byte) Answer { return ObjectWritten{} },
	})
}

// GetObject answers ObjectRead, NotFound or Unavailable.
func (c *Client) GetObject(ctx context.Context, name string) Answer {
	return c.do(ctx, call{
		method:          http.MethodGet,
		path:            objectPath,
		query:           queryOf(nameParameter, name),
		maxResponseSize: MaxObjectSize,
		decode:          func(_ http.Header, body []byte) Answer { return ObjectRead{Data: body} },
	})
}

// ListVMs answers VMsListed or Unavailable.
func (c *Client) ListVMs(ctx context.Context) Answer {
	return c.do(ctx, call{
		method:          http.MethodGet,
		path:            vmsPath,
		maxResponseSize: maxListSize,
		decode: func(_ http.Header, body []byte) Answer {
			var documents []vmDocument
			if err := json.Unmarshal(body, &documents); err != nil {
				return invalidResponse(err.Error())
			}
			vms, err := decodeVMs(documents)
			if err != nil {
				return invalidResponse(err.Error())
			}
			return VMsListed{VMs: vms}
		},
	})
}

// AnnounceVM answers VMAnnounced, Unknown or Unavailable.
func (c *Client) AnnounceVM(ctx context.Context, vm ListedVM) Answer {
	body, err := json.Marshal(encodeVM(vm))
	if err != nil {
		return Unavailable{Err: daisyerror.InvalidRequest.Wrap(err, "VM %s", vm.Name)}
	}
	return c.do(ctx, call{
		method: http.MethodPut,
		path:   vmsPath,
		body:   body,
		decode: func(http.Header, []byte) Answer { return VMAnnounced{} },
	})
}

func invalidResponse(reason string) Answer {
	return Unavailable{Err: daisyerror.Unavailable.New("the platform's answer cannot be read: %s", reason)}
}

// isPermanent reports whether an operation fails however often it is retried.
func isPermanent(err error) bool { return errorx.IsOfType(err, daisyerror.InvalidRequest) }

// do carries out an operation. It retries while the answer is Unavailable, unless the
// request is invalid.
func (c *Client) do(ctx context.Context, operation call) Answer {
	var answer Answer
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = initialRetryDelay
	policy.Multiplier = 2
	// The result is in answer; the error only tells Retry whether to continue.
	_, _ = backoff.Retry(ctx, func() (struct{}, error) {
		answer = c.attempt(ctx, operation)
		u, ok := answer.(Unavailable)
		if !ok || isPermanent(u.Err) {
			return struct{}{}, nil
		}
		return struct{}{}, u.Err
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(maxRetryElapsed))
	return answer
}

func (c *Client) attempt(ctx context.Context, operation call) Answer {
	if err := c.limiter.Wait(ctx); err != nil {
		return Unavailable{Err: daisyerror.Unavailable.Wrap(err, "the rate of requests for the platform is used up")}
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	request, err := c.newRequest(ctx, operation)
	if err != nil {
		return Unavailable{Err: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return failedExchange(operation, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readResponse(response, operation.maxResponseSize)
	if err != nil {
		return failedExchange(operation, err)
	}
	return toAnswer(operation, response, body)
}

func (c *Client) newRequest(ctx context.Context, operation call) (*http.Request, error) {
	target := c.base.JoinPath(operation.path)
	target.RawQuery = operation.query.Encode()
	request, err := http.NewRequestWithContext(ctx, operation.method, target.String(), bytes.NewReader(operation.body))
	if err != nil {
		return nil, daisyerror.InvalidRequest.Wrap(err, "request for the platform")
	}
	for k, v := range operation.header {
		request.Header[k] = v
	}
	return request, nil
}

// failedExchange returns the answer for a failed HTTP exchange. A write may have taken
// effect, unless no connection was established.
func failedExchange(operation call, err error) Answer {
	var opError *net.OpError
	notConnected := errors.As(err, &opError) && opError.Op == "dial"
	if operation.isWrite() && !notConnected {
		return Unknown{Err: daisyerror.Unknown.Wrap(err, "the platform's reply was lost")}
	}
	return Unavailable{Err: daisyerror.Unavailable.Wrap(err, "the platform does not answer")}
}

// readResponse reads the body of a response. It fails if the body of a response with status
// 200 exceeds the limit; other bodies are truncated.
func readResponse(response *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, max(limit, maxErrorSize)+1))
	if err != nil {
		return nil, daisyerror.Unavailable.Wrap(err, "the platform's answer broke off")
	}
	if response.StatusCode == http.StatusOK && int64(len(body)) > limit {
		return nil, daisyerror.Unavailable.New("the platform's answer has more than %d bytes", limit)
	}
	return body, nil
}

// toAnswer converts an HTTP response into an answer.
func toAnswer(operation call, response *http.Response, body []byte) Answer {
	if response.Header.Get(platformHeader) != platformHeaderValue {
		return Unavailable{Err: daisyerror.Unavailable.New("no platform answers at this address: status %s", response.Status)}
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		return operation.decode(response.Header, body)
	case http.StatusNotFound:
		era, ok := parseEra(response.Header)
		if !ok {
			return invalidResponse("an invalid era")
		}
		return NotFound{Era: era}
	case http.StatusPreconditionFailed:
		return Conflict{}
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return Unavailable{Err: daisyerror.InvalidRequest.New("the platform refuses the request: %s", body)}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return Unavailable{Err: daisyerror.Unavailable.New("the platform is unavailable: %s", body)}
	}
	return failedExchange(operation, daisyerror.Unavailable.New("the platform answers with status %s", response.Status))
}
