package daisyforward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

// source is the body of a caller's request. It reads the body once, on demand, and
// keeps the first bytes as long as the request can still be sent again.
type source struct {
	request *http.Request
	control *http.ResponseController
	limits  Limits
	// demand requests one read from the goroutine that reads the body.
	demand chan struct{}
	// withheldTrailers are the names of the trailers that readers do not get.
	withheldTrailers []string
	// failed is closed when the caller's body breaks off or stalls.
	failed chan struct{}

	mu sync.Mutex
	// buffer contains the bytes that were read and not discarded, from offset start on.
	buffer []byte
	start  int64
	// err is the error that ended the body; io.EOF if the body is complete.
	err     error
	reading bool
	// readDeadline is the time at which the read in progress times out.
	readDeadline time.Time
	closed       bool
	// interrupted reports whether close found a read in progress.
	interrupted bool
	// changed is closed and replaced after each read.
	changed chan struct{}
	wg      sync.WaitGroup
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
	s.wg.Go(func() {
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
	s.setReadDeadline()
	n, err := s.request.Body.Read(chunk)
	// The deadline limits only the read in progress: the endpoint may pause between reads.
	_ = s.control.SetReadDeadline(time.Time{})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buffer = append(s.buffer, chunk[:n]...)
	s.reading = false
	s.readDeadline = time.Time{}
	s.err = err
	if err != nil && err != io.EOF {
		close(s.failed)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// pastDeadline is a deadline that ends a read immediately.
var pastDeadline = time.Unix(1, 0)

// setReadDeadline sets the deadline of the read that begins now.
func (s *source) setReadDeadline() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = s.control.SetReadDeadline(pastDeadline)
		return
	}
	s.readDeadline = time.Now().Add(s.limits.StallTimeout)
	_ = s.control.SetReadDeadline(s.readDeadline)
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
		return !s.readDeadline.IsZero() && !time.Now().Before(s.readDeadline)
	}
	return errors.Is(s.err, os.ErrDeadlineExceeded)
}

// requestRead starts a read unless one is in progress or the body has ended. The
// caller holds s.mu.
func (s *source) requestRead() {
	if s.reading || s.closed || s.err != nil {
		return
	}
	s.reading = true
	s.demand <- struct{}{}
}

// discard removes the bytes before offset from the buffer once they exceed the replay
// limit; the request cannot be sent again after that. The caller holds s.mu.
func (s *source) discard(offset int64) {
	if s.start == 0 && offset <= int64(s.limits.MaxReplayBytes) {
		return
	}
	n := copy(s.buffer, s.buffer[offset-s.start:])
	s.buffer = s.buffer[:n]
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
func (s *source) complete() bool {
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
		_ = s.control.SetReadDeadline(pastDeadline)
	}
	interrupted = s.interrupted
	s.mu.Unlock()
	s.wg.Wait()
	return interrupted || s.broken()
}

// sourceReader reads the body from its start for one attempt.
type sourceReader struct {
	source *source
	offset int64
	// trailer receives the values of the caller's trailers at the end of the body.
	trailer http.Header
	// isClosed is guarded by the mutex of the source. Once it is set, the reader consumes
	// no more bytes, and the rest stays in the source for the next reader.
	isClosed bool
	closed   chan struct{}
}

// withholdTrailers sets the names of the trailers that later readers do not get.
func (s *source) withholdTrailers(names []string) {
	if s != nil {
		s.withheldTrailers = names
	}
}

// newReader returns a reader of the body with the trailers that the caller announced.
func (s *source) newReader() *sourceReader {
	r := &sourceReader{source: s, closed: make(chan struct{})}
	if len(s.request.Trailer) > 0 {
		r.trailer = make(http.Header, len(s.request.Trailer))
		for k := range s.request.Trailer {
			if !slices.Contains(s.withheldTrailers, k) {
				r.trailer[k] = nil
			}
		}
	}
	return r
}

// Read waits until there are bytes and returns them.
func (r *sourceReader) Read(p []byte) (int, error) {
	for {
		n, changed, err := r.readBuffered(p)
		if n > 0 {
			return n, nil
		}
		if err != nil {
			return 0, r.finish(err)
		}
		select {
		case <-changed:
		case <-r.closed:
		}
	}
}

// readBuffered returns bytes from the buffer. If there are none, it returns a channel
// that is closed when more have been read, and the error that ended the body, if any.
func (r *sourceReader) readBuffered(p []byte) (int, <-chan struct{}, error) {
	s := r.source
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.isClosed || r.offset < s.start {
		return 0, nil, http.ErrBodyReadAfterClose
	}
	n := copy(p, s.buffer[r.offset-s.start:])
	if n > 0 {
		r.offset += int64(n)
		s.discard(r.offset)
		return n, nil, nil
	}
	s.requestRead()
	return 0, s.changed, s.err
}

// finish copies the trailers at the end of the body and returns err.
func (r *sourceReader) finish(err error) error {
	if err == io.EOF {
		for k := range r.trailer {
			r.trailer[k] = r.source.request.Trailer[k]
		}
	}
	return err
}

// Close ends a Read in progress. It can be called more than once.
func (r *sourceReader) Close() error {
	r.source.mu.Lock()
	defer r.source.mu.Unlock()
	if !r.isClosed {
		r.isClosed = true
		close(r.closed)
	}
	return nil
}
