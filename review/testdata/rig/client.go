package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the id of one client attempt.
func newID(kind string) string { return fmt.Sprintf("%s-%05d", kind, lastID.Add(1)) }

// request is what one client attempt sends.
type request struct {
	id, method, host, path string
	body                   []byte
	deadline               time.Duration
}

func (q request) head() string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.body != nil {
		h += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return h + "\r\n"
}

// result is what a client saw.
type result struct {
	status    int
	signature string
	body      []byte
	whole     bool
	err       error
	sent      time.Time
	took      time.Duration
}

// do sends a request on a new connection and waits for the whole answer until the deadline.
func do(v *vm, q request) result {
	res := result{sent: time.Now()}
	defer func() { res.took = time.Since(res.sent) }()
	c, err := v.dial()
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(res.sent.Add(q.deadline))
	if _, err := io.WriteString(c, q.head()); err != nil {
		res.err = err
		return res
	}
	if _, err := c.Write(q.body); err != nil {
		res.err = err
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		res.err = err
		res.took = time.Since(res.sent)
		return res
	}
	res.status, res.signature = r.StatusCode, r.Header.Get("Response-Signature")
	res.body, res.err = io.ReadAll(r.Body)
	res.whole = res.err == nil
	res.took = time.Since(res.sent)
	return res
}
