package daisypeer_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisypeer"
)

type received struct {
	from    daisyvm.Name
	message daisymessage.Message
}

// inbox is a Receiver that passes events to a test through channels.
type inbox struct {
	opened   chan daisyvm.VM
	messages chan received
}

func newInbox() *inbox {
	return &inbox{opened: make(chan daisyvm.VM, 64), messages: make(chan received, 1<<16)}
}

func (i *inbox) LinkOpened(vm daisyvm.VM) { i.opened <- vm }

func (i *inbox) Receive(from daisyvm.Name, message daisymessage.Message) {
	i.messages <- received{from: from, message: message}
}

type node struct {
	vm    daisyvm.VM
	links *daisypeer.Links
	inbox *inbox
}

func startNode(t testing.TB, name daisyvm.Name, incarnation daisyvm.Incarnation) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &node{inbox: newInbox()}
	n.vm = daisyvm.VM{Name: name, Incarnation: incarnation, Peers: listener.Addr().(*net.TCPAddr).AddrPort()}
	n.links = daisypeer.NewLinks(daisypeer.Options{Self: n.vm, Listener: listener, Dialer: daisypeer.TCPDialer{}, Receiver: n.inbox})
	t.Cleanup(n.links.Close)
	return n
}

func TestLinkCarriesMessagesInBothDirections(t *testing.T) {
	a, b := startNode(t, "vm-1", 1), startNode(t, "vm-2", 1)
	a.links.Connect(b.vm)
	b.links.Connect(a.vm)
	assert.Equal(t, (<-a.inbox.opened).Name, b.vm.Name)
	assert.Equal(t, (<-b.inbox.opened).Name, a.vm.Name)
	a.links.Send("vm-2", daisymessage.StopWanted{By: "ana"})
	assert.Equal(t, <-b.inbox.messages, received{from: "vm-1", message: daisymessage.StopWanted{By: "ana"}})
	b.links.Send("vm-1", daisymessage.SnapshotWanted{Hash: "00"})
	assert.Equal(t, <-a.inbox.messages, received{from: "vm-2", message: daisymessage.SnapshotWanted{Hash: "00"}})
}

func TestMessageWithoutALinkIsDroppedAndCounted(t *testing.T) {
	a := startNode(t, "vm-1", 1)
	a.links.Send("vm-9", daisymessage.StopWanted{})
	assert.Equal(t, a.links.Counts().Dropped, uint64(1))
}

func TestSeedIsDialedWithoutName(t *testing.T) {
	a, b := startNode(t, "vm-1", 1), startNode(t, "vm-2", 1)
	b.links.ConnectSeed(a.vm.Peers)
	assert.Equal(t, (<-b.inbox.opened).Name, a.vm.Name)
}

func TestRestartedVMIsLinkedAgain(t *testing.T) {
	a, b := startNode(t, "vm-1", 1), startNode(t, "vm-2", 1)
	a.links.Connect(b.vm)
	<-a.inbox.opened
	<-b.inbox.opened
	b.links.Close()
	restarted := startNode(t, "vm-2", 2)
	a.links.Connect(restarted.vm)
	assert.Equal(t, (<-a.inbox.opened).Incarnation, daisyvm.Incarnation(2))
}
