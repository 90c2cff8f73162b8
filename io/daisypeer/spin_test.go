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

// lingeringConn delays the error of a read, for instance after the connection was closed.
type lingeringConn struct {
	net.Conn
	linger time.Duration
}

func (c *lingeringConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		time.Sleep(c.linger)
	}
	return n, err
}

// haltingConn blocks reads from when halted is set until done is closed.
type haltingConn struct {
	net.Conn
	halted atomic.Bool
	done   chan struct{}
}

func (c *haltingConn) Read(p []byte) (int, error) {
	if c.halted.Load() {
		<-c.done
	}
	return c.Conn.Read(p)
}

type ignoringReceiver struct{}

func (ignoringReceiver) Receive(daisyvm.Name, daisymessage.Message) {}
func (ignoringReceiver) LinkOpened(daisyvm.VM)                      {}

// After a yamux session is closed, a blocked read of one of its streams busy-loops until the
// session's receive loop has ended. The test delays that end and checks the CPU time used.
func TestReadersDoNotSpinWhileASessionCloses(t *testing.T) {
	const linger = 300 * time.Millisecond
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	near, far := net.Pipe()
	server, err := newSession(far, false)
	assert.NilError(t, err)
	defer func() { _ = server.Close() }()
	session, err := newSession(&lingeringConn{Conn: near, linger: linger}, true)
	assert.NilError(t, err)
	links := &Links{options: Options{Receiver: ignoringReceiver{}, Logger: hclog.NewNullLogger()}}
	l := newLink(links, session, hello{vm: daisyvm.VM{Name: "vm-1"}}, "vm-0")
	for range 2 {
		stream, err := server.OpenStream()
		assert.NilError(t, err)
		_, err = stream.Write(nil)
		assert.NilError(t, err)
	}
	time.Sleep(50 * time.Millisecond)
	before := processorTime(t)
	l.end(Outdated.New("replaced"))
	l.wait()
	spent := processorTime(t) - before
	assert.Assert(t, spent < linger/5, "used %v of CPU time in %v while idle", spent, linger)
}

// A write that is blocked because the peer does not read is not interrupted by the deadline of
// its stream. Closing the link must close the session then, without waiting for writeTimeout.
func TestAStuckWriteDoesNotHoldTheEndOfALinkUp(t *testing.T) {
	near, far := net.Pipe()
	peer := &haltingConn{Conn: far, done: make(chan struct{})}
	server, err := newSession(peer, false)
	assert.NilError(t, err)
	defer func() {
		close(peer.done)
		_ = server.Close()
	}()
	session, err := newSession(near, true)
	assert.NilError(t, err)
	links := &Links{options: Options{Receiver: ignoringReceiver{}, Logger: hclog.NewNullLogger()}}
	l := newLink(links, session, hello{vm: daisyvm.VM{Name: "vm-1"}}, "vm-0")
	time.Sleep(50 * time.Millisecond)
	peer.halted.Store(true)
	for range 3 {
		l.put(daisymessage.StopWanted{By: "vm-0"})
		time.Sleep(10 * time.Millisecond)
	}
	began := time.Now()
	l.end(Outdated.New("replaced"))
	assert.Assert(t, time.Since(began) < writeTimeout/2, "%v", time.Since(began))
	l.wait()
}

func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
