package daisypeer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// streams ends the use of a session's streams before the session is closed. A call that
// waits at a stream when its session closes returns only once the session's own reader
// has ended, and asks again and again until then.
type streams struct {
	// done is that of the link, which is closed before end.
	done  <-chan struct{}
	mu    sync.Mutex
	users []*streamUser
}

// streamUser is a goroutine that reads or writes a stream.
type streamUser struct {
	*streams
	stream *yamux.Stream
	left   chan struct{}
}

// use registers a goroutine as the user of a stream, until it calls release.
func (s *streams) use(stream *yamux.Stream) (*streamUser, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped() {
		return nil, Broken.New("session closed")
	}
	u := &streamUser{streams: s, stream: stream, left: make(chan struct{})}
	s.users = append(s.users, u)
	return u, nil
}

func (u *streamUser) release() { close(u.left) }

// stopped reports whether the streams must not be used any more. A user asks after it
// has set a deadline and before it waits, so that the deadline of end is the later one.
func (s *streams) stopped() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// leaveTime is how long the users of streams have to leave them: a scheduler's slice and
// more. One that writes to a peer that takes nothing leaves when the session closes.
const leaveTime = 100 * time.Millisecond

// end makes all users leave their streams and waits until they have, or for leaveTime.
func (s *streams) end() {
	s.mu.Lock()
	users := slices.Clone(s.users)
	s.mu.Unlock()
	past := time.Now().Add(-time.Second)
	for _, u := range users {
		// It never fails; a stream without the deadline would end with the session.
		_ = u.stream.SetDeadline(past)
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	for _, u := range users {
		select {
		case <-u.left:
		case <-ctx.Done():
			return
		}
	}
}
