package daisypeer

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
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

// After a yamux session is closed, a blocked read of one of its streams busy-loops until the
// session's receive loop has ended. The test delays that end and checks the CPU time used.
func TestReadersDoNotBusyLoopWhileSessionCloses(t *testing.T) {
	const delay = 300 * time.Millisecond
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	local, remote := net.Pipe()
	server, err := newSession(remote, false)
	assert.NilError(t, err)
	defer func() { _ = server.Close() }()
	session, err := newSession(&delayedErrorConn{Conn: local, delay: delay}, true)
	assert.NilError(t, err)
	links := &Links{options: Options{Receiver: discardingReceiver{}, Logger: hclog.NewNullLogger()}}
	l := newLink(links, session, hello{vm: daisyvm.VM{Name: "vm-1"}}, "vm-0")
	for range 2 {
		stream, err := server.OpenStream()
		assert.NilError(t, err)
		_, err = stream.Write(nil)
		assert.NilError(t, err)
	}
	time.Sleep(50 * time.Millisecond)
	before := cpuTime(t)
	l.shutDown(Outdated.New("replaced"))
	l.wait()
	used := cpuTime(t) - before
	assert.Assert(t, used < delay/5, "used %v of CPU time in %v while idle", used, delay)
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
	session, err := newSession(local, true)
	assert.NilError(t, err)
	links := &Links{options: Options{Receiver: discardingReceiver{}, Logger: hclog.NewNullLogger()}}
	l := newLink(links, session, hello{vm: daisyvm.VM{Name: "vm-1"}}, "vm-0")
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
