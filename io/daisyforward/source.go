package daisyforward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// source is the body of a caller's request. It reads the body once, when asked,
// and holds the first bytes as long as the request could still be sent again.
type source struct {
	request *http.Request
	control *http.ResponseController
	limits  Limits
	demand  chan struct{}
	// failed is closed when the caller's body broke off or stalled.
	failed chan struct{}

	mu sync.Mutex
	// held are the bytes from start on that were read.
	held  []byte
	start int64
	// err is what ended the body, io.EOF when it is whole.
	err     error
	reading bool
	// due is when the read under way has taken too long.
	due    time.Time
	closed bool
	// interrupted says that close found a read under way.
	interrupted bool
	// changed is closed and replaced after each read.
	changed chan struct{}
	ended   sync.WaitGroup
}

// newSource gives the source of a request's body, or nil when it has none.
func newSource(request *http.Request, control *http.ResponseController, limits Limits) *source {
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength == 0 {
		return nil
	}
	s := &source{
		request: request,
		control: control,
		limits:  limits,
		demand:  make(chan struct{}, 1),
		failed:  make(chan struct{}),
		changed: make(chan struct{}),
	}
	s.ended.Go(func() {
		for range s.demand {
			// A request that waits for a slot holds no chunk.
			c := getChunk(request.ContentLength)
			s.read(c.bytes)
			putChunk(c)
		}
	})
	return s
}

func (s *source) read(chunk []byte) {
	s.expect()
	n, err := s.request.Body.Read(chunk)
	// Only a read under way has a limit: the endpoint may take its time.
	_ = s.control.SetReadDeadline(time.Time{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = append(s.held, chunk[:n]...)
	s.reading = false
	s.due = time.Time{}
	s.err = err
	if err != nil && err != io.EOF {
		close(s.failed)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// passed is a deadline that ends a read at once.
var passed = time.Unix(1, 0)

// expect sets the time by which the read that begins now has to bring a byte.
func (s *source) expect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = s.control.SetReadDeadline(passed)
		return
	}
	s.due = time.Now().Add(s.limits.Stall)
	_ = s.control.SetReadDeadline(s.due)
}

// stalled says that the caller sent no byte for too long. In HTTP/1.1 the
// request's context ends with the deadline, a moment before the read does.
func (s *source) stalled() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reading {
		return !s.due.IsZero() && !time.Now().Before(s.due)
	}
	return errors.Is(s.err, os.ErrDeadlineExceeded)
}

// ask runs under the lock.
func (s *source) ask() {
	if s.reading || s.closed || s.err != nil {
		return
	}
	s.reading = true
	s.demand <- struct{}{}
}

// release lets go of the bytes before offset once they are too many to be sent again; it runs under the lock.
func (s *source) release(offset int64) {
	if s.start == 0 && offset <= int64(s.limits.Replay) {
		return
	}
	n := copy(s.held, s.held[offset-s.start:])
	s.held = s.held[:n]
	s.start = offset
}

// resendable says that everything that was read is still held.
func (s *source) resendable() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.start == 0 && (s.err == nil || s.err == io.EOF)
}

// broken says that the caller's body ended before it was whole.
func (s *source) broken() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil && s.err != io.EOF
}

// whole says that the body has been read to its end.
func (s *source) whole() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err == io.EOF
}

// close waits for a read under way, which it ends, so that the server has the body
// to itself again. It reports whether a read was interrupted or had failed, and may
// be called more than once.
func (s *source) close() (interrupted bool) {
	if s == nil {
		return false
	}
	s.mu.Lock()
	first := !s.closed
	s.closed = true
	if s.reading {
		s.interrupted = true
	}
	if first {
		close(s.demand)
	}
	if first && s.reading {
		_ = s.control.SetReadDeadline(passed)
	}
	interrupted = s.interrupted
	s.mu.Unlock()
	s.ended.Wait()
	return interrupted || s.broken()
}

// view gives one attempt the body from its start.
type view struct {
	source *source
	offset int64
	// trailer gets the caller's trailers when the body has ended.
	trailer http.Header
	// gone is guarded by the lock of the source: once it is set, the view takes
	// nothing more, and what it has not taken stays there for the next view.
	gone   bool
	closed chan struct{}
}

func (s *source) newView() *view {
	v := &view{source: s, closed: make(chan struct{})}
	if len(s.request.Trailer) > 0 {
		v.trailer = make(http.Header, len(s.request.Trailer))
		for k := range s.request.Trailer {
			v.trailer[k] = nil
		}
	}
	return v
}

// Read gives the next bytes, as soon as there are any.
func (v *view) Read(p []byte) (int, error) {
	for {
		n, changed, err := v.take(p)
		if n > 0 {
			return n, nil
		}
		if err != nil {
			return 0, v.end(err)
		}
		select {
		case <-changed:
		case <-v.closed:
		}
	}
}

// take gives what is there, or else a channel to wait on for more.
func (v *view) take(p []byte) (int, <-chan struct{}, error) {
	s := v.source
	s.mu.Lock()
	defer s.mu.Unlock()
	if v.gone || v.offset < s.start {
		return 0, nil, http.ErrBodyReadAfterClose
	}
	n := copy(p, s.held[v.offset-s.start:])
	if n > 0 {
		v.offset += int64(n)
		s.release(v.offset)
		return n, nil, nil
	}
	s.ask()
	return 0, s.changed, s.err
}

func (v *view) end(err error) error {
	if err == io.EOF {
		for k := range v.trailer {
			v.trailer[k] = v.source.request.Trailer[k]
		}
	}
	return err
}

// Close ends a Read under way. It may be called more than once.
func (v *view) Close() error {
	v.source.mu.Lock()
	defer v.source.mu.Unlock()
	if !v.gone {
		v.gone = true
		close(v.closed)
	}
	return nil
}
