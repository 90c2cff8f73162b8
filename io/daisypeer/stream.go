package daisypeer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// streamUsers tracks the goroutines that use the streams of a session, and makes them stop
// before the session is closed. Otherwise a call that is blocked on a stream when its
// session closes would busy-loop in yamux until the session's receive loop has ended.
type streamUsers struct {
	// done is the done channel of the link, which is closed before interrupt is called.
	done  <-chan struct{}
	mu    sync.Mutex
	users []*streamUser
}

// streamUser represents a goroutine that reads or writes a stream.
type streamUser struct {
	*streamUsers
	stream *yamux.Stream
	// released is closed when the goroutine no longer uses the stream.
	released chan struct{}
}

// add registers the calling goroutine as a user of a stream until it calls release. It
// fails with Broken if the link has been closed.
func (s *streamUsers) add(stream *yamux.Stream) (*streamUser, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.linkClosed() {
		return nil, Broken.New("session closed")
	}
	u := &streamUser{streamUsers: s, stream: stream, released: make(chan struct{})}
	s.users = append(s.users, u)
	return u, nil
}

func (u *streamUser) release() { close(u.released) }

// linkClosed reports whether the link has been closed, so that its streams must not be used
// any more. A user checks it after setting a deadline and before each blocking call. A
// deadline set later by interrupt then always replaces the user's own.
func (s *streamUsers) linkClosed() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// releaseTimeout is the time limit for goroutines to stop using their streams. It is longer
// than a time slice of the scheduler. A goroutine that is blocked writing to a peer that does
// not read stops only when the session closes.
const releaseTimeout = 100 * time.Millisecond

// interrupt makes the blocked calls of all users fail, and waits until the users have
// released their streams or releaseTimeout has passed.
func (s *streamUsers) interrupt() {
	s.mu.Lock()
	users := slices.Clone(s.users)
	s.mu.Unlock()
	past := time.Now().Add(-time.Second)
	for _, u := range users {
		// SetDeadline always returns nil, and without the deadline the stream would still
		// end with the session.
		_ = u.stream.SetDeadline(past)
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for _, u := range users {
		select {
		case <-u.released:
		case <-ctx.Done():
			return
		}
	}
}
