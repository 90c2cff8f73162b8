package daisypeer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisypeer"
	"daisyyoke/io/daisywire"
)

func helloBytes(t testing.TB, version uint32, name string) []byte {
	t.Helper()
	b, err := proto.Marshal(&daisywire.Hello{Version: version, Vm: &daisywire.VM{Name: name, Incarnation: 1}})
	assert.NilError(t, err)
	return append(binary.AppendUvarint(nil, uint64(len(b))), b...)
}

func TestInvalidHandshakeIsRefused(t *testing.T) {
	validHello := helloBytes(t, daisypeer.Version, "vm-2")
	cases := []struct {
		name  string
		bytes []byte
	}{
		{name: "garbage", bytes: []byte("GET / HTTP/1.1\r\nHost: lookups.vigia-lar\r\n\r\n")},
		{name: "invalid length", bytes: bytes.Repeat([]byte{0xff}, 16)},
		{name: "truncated", bytes: validHello[:len(validHello)-3]},
		{name: "oversized", bytes: append(binary.AppendUvarint(nil, 1<<30), make([]byte, 64)...)},
		{name: "closed without data"},
		{name: "incompatible version", bytes: helloBytes(t, daisypeer.Version+2, "vm-2")},
		{name: "name of this VM", bytes: helloBytes(t, daisypeer.Version, "vm-1")},
		{name: "no name", bytes: helloBytes(t, daisypeer.Version, "")},
		{name: "invalid name", bytes: helloBytes(t, daisypeer.Version, "VM 2")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := startNode(t, "vm-1", 1)
			conn, err := net.Dial("tcp", a.vm.Peers.String())
			assert.NilError(t, err)
			_, err = conn.Write(c.bytes)
			assert.NilError(t, err)
			// The VM may have closed the connection already.
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
			a.links.Close()
			assert.Equal(t, len(a.inbox.opened), 0)
			assert.Equal(t, a.links.Counts().Refused, uint64(1))
		})
	}
}

// pipeDialer is a Dialer that returns one end of a pipe and passes the other end to the test.
type pipeDialer struct{ conns chan net.Conn }

func (d pipeDialer) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	local, remote := net.Pipe()
	d.conns <- remote
	return local, nil
}

func startNodeWithPipes(t testing.TB) (*node, pipeDialer) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := pipeDialer{conns: make(chan net.Conn)}
	n := &node{vm: daisyvm.VM{Name: "vm-1", Incarnation: 1}, inbox: newInbox()}
	n.links = daisypeer.NewLinks(daisypeer.Options{Self: n.vm, Listener: listener, Dialer: d, Receiver: n.inbox})
	t.Cleanup(n.links.Close)
	return n, d
}

// answerHello exchanges hellos over the test's end of a connection.
func answerHello(t testing.TB, conn net.Conn, version uint32, name string) {
	t.Helper()
	go func() { _, _ = conn.Write(helloBytes(t, version, name)) }()
	length := make([]byte, 1)
	_, err := io.ReadFull(conn, length)
	assert.NilError(t, err)
	_, err = io.CopyN(io.Discard, conn, int64(length[0]))
	assert.NilError(t, err)
}

func TestUnexpectedPeerIsRefused(t *testing.T) {
	n, d := startNodeWithPipes(t)
	n.links.Connect(daisyvm.VM{Name: "vm-2"})
	conn := <-d.conns
	answerHello(t, conn, daisypeer.Version, "vm-3")
	_, err := conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.Equal(t, len(n.inbox.opened), 0)
	close(closeFurtherConns(d))
}

// closeFurtherConns closes all further dialed connections, so that dialers do not block,
// until the returned channel is closed.
func closeFurtherConns(d pipeDialer) chan struct{} {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case c := <-d.conns:
				_ = c.Close()
			case <-done:
				return
			}
		}
	}()
	return done
}

func TestAdjacentVersionsAreLinked(t *testing.T) {
	for _, version := range []uint32{daisypeer.Version - 1, daisypeer.Version + 1} {
		n, d := startNodeWithPipes(t)
		n.links.Connect(daisyvm.VM{Name: "vm-2"})
		conn := <-d.conns
		answerHello(t, conn, version, "vm-2")
		assert.Equal(t, (<-n.inbox.opened).Name, daisyvm.Name("vm-2"))
		_ = conn.Close()
		defer close(closeFurtherConns(d))
	}
}

func TestSendDoesNotBlockOnStalledPeer(t *testing.T) {
	n, d := startNodeWithPipes(t)
	n.links.Connect(daisyvm.VM{Name: "vm-2"})
	conn := <-d.conns
	answerHello(t, conn, daisypeer.Version, "vm-2")
	<-n.inbox.opened
	const messages = 10_000
	for range messages {
		n.links.Send("vm-2", daisymessage.StopWanted{By: "ana"})
	}
	c := n.links.Counts()
	assert.Assert(t, c.Dropped > 0 && c.Dropped < messages, "%d of %d dropped", c.Dropped, messages)
	_ = conn.Close()
	close(closeFurtherConns(d))
}

func TestSimultaneousDialsLeaveOneLink(t *testing.T) {
	for range 20 {
		a, b := startNode(t, "vm-1", 1), startNode(t, "vm-2", 1)
		a.links.ConnectSeed(b.vm.Peers)
		b.links.ConnectSeed(a.vm.Peers)
		<-a.inbox.opened
		<-b.inbox.opened
		a.sendUntilReceived("vm-2", b)
		b.sendUntilReceived("vm-1", a)
		waitForStableLink(t, a, b)
		a.sendUntilReceived("vm-2", b)
		b.sendUntilReceived("vm-1", a)
		a.links.Close()
		b.links.Close()
	}
}

// waitForStableLink waits until two nodes have stayed linked for linkStableTime. Guards
// against VMs that keep replacing each other's links. While the preferred link replaces the
// other one, a node may have none: its peer may have replaced and closed the other link
// before the node has read the peer's hello on the preferred one.
func waitForStableLink(t testing.TB, nodes ...*node) {
	t.Helper()
	const (
		linkStableTime = 20 * time.Millisecond
		timeout        = 10 * time.Second
	)
	start := time.Now()
	for since := start; time.Since(since) < linkStableTime; time.Sleep(time.Millisecond) {
		for _, n := range nodes {
			if len(n.links.LinkedVMs()) != 1 || len(n.inbox.opened) > 0 {
				since = time.Now()
			}
			n.drain()
		}
		assert.Assert(t, time.Since(start) < timeout, "no stable link within %v", timeout)
	}
}

// drain discards the recorded openings of links and messages.
func (n *node) drain() {
	for len(n.inbox.opened) > 0 {
		<-n.inbox.opened
	}
	for len(n.inbox.messages) > 0 {
		<-n.inbox.messages
	}
}

// sendUntilReceived sends a message until one arrives. A message is lost if the link that it
// was queued on is replaced.
func (n *node) sendUntilReceived(name daisyvm.Name, to *node) {
	resend := time.NewTicker(time.Millisecond)
	defer resend.Stop()
	for {
		n.links.Send(name, daisymessage.StopWanted{})
		select {
		case <-to.inbox.messages:
			return
		case <-resend.C:
		}
	}
}

func largeSnapshot() daisymessage.SnapshotGiven {
	fleet := daisyconfig.Fleet{Name: "vigia-lar"}
	for range 100_000 {
		fleet.AvailabilityZones = append(fleet.AvailabilityZones, daisyfleet.AvailabilityZone{City: "lisboa, or a name as long as this one"})
	}
	return daisymessage.SnapshotGiven{Snapshot: daisyconfig.Snapshot{Revision: 1, Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{fleet}}}}
}

func TestUrgentMessageOvertakesLargeSnapshot(t *testing.T) {
	a, b := startNode(t, "vm-1", 1), startNode(t, "vm-2", 1)
	a.links.Connect(b.vm)
	<-a.inbox.opened
	<-b.inbox.opened
	a.links.Send("vm-2", largeSnapshot())
	a.links.Send("vm-2", daisymessage.StopWanted{By: "ana"})
	_, first := (<-b.inbox.messages).message.(daisymessage.StopWanted)
	_, second := (<-b.inbox.messages).message.(daisymessage.SnapshotGiven)
	assert.Assert(t, first && second)
}

func TestOversizedMessageDoesNotDropOthers(t *testing.T) {
	a, b := startNode(t, "vm-1", 1), startNode(t, "vm-2", 1)
	a.links.Connect(b.vm)
	<-a.inbox.opened
	<-b.inbox.opened
	a.links.Send("vm-2", daisymessage.StopWanted{By: string(make([]byte, 1<<20))})
	a.links.Send("vm-2", daisymessage.StopWanted{By: "ana"})
	assert.Equal(t, (<-b.inbox.messages).message, daisymessage.StopWanted{By: "ana"})
	assert.Equal(t, a.links.Counts().Dropped, uint64(1))
}
