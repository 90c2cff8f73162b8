package daisypeer

import (
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
)

// delayedErrorConn delays the error of a read, for instance after the connection was closed.
type delayedErrorConn struct {
	net.Conn
	delay time.Duration
}

func (c *delayedErrorConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		time.Sleep(c.delay)
	}
	return n, err
}

// stallingConn blocks reads from when stalled is set until done is closed.
type stallingConn struct {
	net.Conn
	stalled atomic.Bool
	done    chan struct{}
}

func (c *stallingConn) Read(p []byte) (int, error) {
	if c.stalled.Load() {
		<-c.done
	}
	return c.Conn.Read(p)
}

type discardingReceiver struct{}

func (discardingReceiver) Receive(daisyvm.Name, daisymessage.Message) {}
func (discardingReceiver) LinkOpened(daisyvm.VM)                      {}

// openStreams opens the streams of a peer, and lets the link block in reading them.
func openStreams(t *testing.T, peer *yamux.Session) {
	t.Helper()
	for range 2 {
		stream, err := peer.OpenStream()
		assert.NilError(t, err)
		_, err = stream.Write(nil)
		assert.NilError(t, err)
	}
	time.Sleep(50 * time.Millisecond)
}

// After a yamux session is closed, a blocked read of one of its streams busy-loops until the
// session's receive loop has ended. The test delays that end and checks the CPU time used.
func TestReadersDoNotBusyLoopWhileSessionCloses(t *testing.T) {
	const delay = 300 * time.Millisecond
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	local, remote := net.Pipe()
	server, err := newSession(remote, false)
	assert.NilError(t, err)
	defer func() { _ = server.Close() }()
	links := &Links{options: Options{Receiver: discardingReceiver{}, Logger: hclog.NewNullLogger()}}
	l, err := newLink(links, &delayedErrorConn{Conn: local, delay: delay}, hello{vm: daisyvm.VM{Name: "vm-1"}}, "vm-0", true)
	assert.NilError(t, err)
	openStreams(t, server)
	before := cpuTime(t)
	l.shutDown(Outdated.New("replaced"))
	l.wait()
	used := cpuTime(t) - before
	assert.Assert(t, used < delay/5, "used %v of CPU time in %v while idle", used, delay)
}

// failingConn fails writes from when failing is set. The session closes it first thing after
// it is itself marked as closed.
type failingConn struct {
	net.Conn
	failing atomic.Bool
	closing func()
}

func (c *failingConn) Write(p []byte) (int, error) {
	if c.failing.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *failingConn) Close() error {
	c.closing()
	return c.Conn.Close()
}

// Guards against goroutines that busy-loop in yamux when the connection fails, for instance by
// a reset: yamux then closes the session by itself, before the link does, and no goroutine may
// be blocked in one of its streams any more. The peer's ping makes yamux write.
func TestStreamsAreLeftBeforeAFailedSessionCloses(t *testing.T) {
	local, remote := net.Pipe()
	server, err := newSession(remote, false)
	assert.NilError(t, err)
	defer func() { _ = server.Close() }()
	var l *link
	blocked := -1
	var once sync.Once
	failing := &failingConn{Conn: local, closing: func() { once.Do(func() { blocked = l.streamUsers.blocked() }) }}
	links := &Links{options: Options{Receiver: discardingReceiver{}, Logger: hclog.NewNullLogger()}}
	l, err = newLink(links, failing, hello{vm: daisyvm.VM{Name: "vm-1"}}, "vm-0", true)
	assert.NilError(t, err)
	openStreams(t, server)
	assert.Equal(t, l.streamUsers.blocked(), 4, "both directions of both streams")
	failing.failing.Store(true)
	go func() { _, _ = server.Ping() }()
	l.wait()
	assert.Equal(t, blocked, 0)
}

// blocked returns how many goroutines use streams.
func (s *streamUsers) blocked() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, u := range s.users {
		select {
		case <-u.released:
		default:
			count++
		}
	}
	return count
}

// A write that is blocked because the peer does not read is not interrupted by the deadline of
// its stream. Closing the link must close the session then, without waiting for writeTimeout.
func TestBlockedWriteDoesNotDelayLinkClose(t *testing.T) {
	local, remote := net.Pipe()
	peer := &stallingConn{Conn: remote, done: make(chan struct{})}
	server, err := newSession(peer, false)
	assert.NilError(t, err)
	defer func() {
		close(peer.done)
		_ = server.Close()
	}()
	links := &Links{options: Options{Receiver: discardingReceiver{}, Logger: hclog.NewNullLogger()}}
	l, err := newLink(links, local, hello{vm: daisyvm.VM{Name: "vm-1"}}, "vm-0", true)
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	peer.stalled.Store(true)
	for range 3 {
		l.enqueue(daisymessage.StopWanted{By: "vm-0"})
		time.Sleep(10 * time.Millisecond)
	}
	start := time.Now()
	l.shutDown(Outdated.New("replaced"))
	assert.Assert(t, time.Since(start) < writeTimeout/2, "%v", time.Since(start))
	l.wait()
}

func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
