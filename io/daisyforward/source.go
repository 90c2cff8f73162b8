package daisyforward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// source is the body of a caller's request. It reads the body once, on demand, and
// keeps the first bytes as long as the request can still be sent again.
type source struct {
	request *http.Request
	control *http.ResponseController
	limits  Limits
	demand  chan struct{}
	// failed is closed when the caller's body breaks off or stalls.
	failed chan struct{}

	mu sync.Mutex
	// buffer contains the bytes that were read and not discarded, from offset start on.
	held  []byte
	start int64
	// err is the error that ended the body; io.EOF if the body is complete.
	err     error
	reading bool
	// readDeadline is the time at which the read in progress times out.
	due    time.Time
	closed bool
	// interrupted reports whether close found a read in progress.
	interrupted bool
	// changed is closed and replaced after each read.
	changed chan struct{}
	ended   sync.WaitGroup
}

// newSource returns the source of a request's body, or nil if the request has no
// body. Except for newReader, the methods treat nil as a body that is complete.
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
			// Take a chunk only for the read, so that requests waiting for a slot hold none.
			c := getChunk(request.ContentLength)
			s.read(c.bytes)
			putChunk(c)
		}
	})
	return s
}

// read reads once from the caller and wakes the readers that wait for bytes.
func (s *source) read(chunk []byte) {
	s.expect()
	n, err := s.request.Body.Read(chunk)
	// The deadline limits only the read in progress: the endpoint may pause between reads.
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

// pastDeadline is a deadline that ends a read immediately.
var passed = time.Unix(1, 0)

// setReadDeadline sets the deadline of the read that begins now.
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

// stalled reports whether the caller sent no byte within the stall timeout. In
// HTTP/1.1 the request's context ends at the read deadline, slightly before the read
// returns, so that a read in progress after its deadline counts too.
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

// requestRead starts a read unless one is in progress or the body has ended. The
// caller holds s.mu.
func (s *source) ask() {
	if s.reading || s.closed || s.err != nil {
		return
	}
	s.reading = true
	s.demand <- struct{}{}
}

// discard removes the bytes before offset from the buffer once they exceed the replay
// limit; the request cannot be sent again after that. The caller holds s.mu.
func (s *source) release(offset int64) {
	if s.start == 0 && offset <= int64(s.limits.Replay) {
		return
	}
	n := copy(s.held, s.held[offset-s.start:])
	s.held = s.held[:n]
	s.start = offset
}

// resendable reports whether all bytes that were read are still in the buffer.
func (s *source) resendable() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.start == 0 && (s.err == nil || s.err == io.EOF)
}

// broken reports whether the caller's body ended before it was complete.
func (s *source) broken() bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil && s.err != io.EOF
}

// complete reports whether the body has been read to its end.
func (s *source) whole() bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err == io.EOF
}

// close interrupts a read in progress and waits for it, so that only the HTTP server
// uses the body afterwards. It reports whether a read was interrupted or has failed,
// and can be called more than once.
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

// sourceReader reads the body from its start for one attempt.
type view struct {
	source *source
	offset int64
	// trailer receives the values of the caller's trailers at the end of the body.
	trailer http.Header
	// isClosed is guarded by the mutex of the source. Once it is set, the reader consumes
	// no more bytes, and the rest stays in the source for the next reader.
	gone   bool
	closed chan struct{}
}

// newReader returns a reader of the body with the trailers that the caller announced.
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

// Read waits until there are bytes and returns them.
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

// readBuffered returns bytes from the buffer. If there are none, it returns a channel
// that is closed when more have been read, and the error that ended the body, if any.
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

// finish copies the trailers at the end of the body and returns err.
func (v *view) end(err error) error {
	if err == io.EOF {
		for k := range v.trailer {
			v.trailer[k] = v.source.request.Trailer[k]
		}
	}
	return err
}

// Close ends a Read in progress. It can be called more than once.
func (v *view) Close() error {
	v.source.mu.Lock()
	defer v.source.mu.Unlock()
	if !v.gone {
		v.gone = true
		close(v.closed)
	}
	return nil
}
