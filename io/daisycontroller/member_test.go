package daisycontroller_test

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisypeer"
	"daisyyoke/io/daisyplatform"
)

// switchboard delivers messages between the controllers of VMs in one process.
type switchboard struct {
	mu       sync.Mutex
	members  map[daisyvm.Name]*daisycontroller.Member
	vms      map[daisyvm.Name]daisyvm.VM
	stoppers map[daisyvm.Name]daisycontroller.Stopper
	states   map[daisyvm.Name]*stateVM
}

func newSwitchboard() *switchboard {
	return &switchboard{
		members:  make(map[daisyvm.Name]*daisycontroller.Member),
		vms:      make(map[daisyvm.Name]daisyvm.VM),
		stoppers: make(map[daisyvm.Name]daisycontroller.Stopper),
		states:   make(map[daisyvm.Name]*stateVM),
	}
}

func (s *switchboard) find(name daisyvm.Name) *daisycontroller.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[name]
}

func (s *switchboard) vm(name daisyvm.Name) daisyvm.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms[name]
}

// port is the Linker of one VM on a switchboard.
type port struct {
	board *switchboard
	self  daisyvm.Name
}

func (p port) Send(to daisyvm.Name, message daisymessage.Message) {
	if w, ok := message.(daisymessage.StopWanted); ok {
		p.board.stoppers[to].WantStop(w.By)
		return
	}
	if m := p.board.find(to); m != nil {
		m.Receive(p.self, message)
	}
	p.board.mu.Lock()
	state := p.board.states[to]
	p.board.mu.Unlock()
	if state != nil {
		time.AfterFunc(time.Millisecond, func() { state.config.Receive(p.self, message) })
	}
}

func (p port) Connect(vm daisyvm.VM) {
	if m := p.board.find(vm.Name); m != nil {
		m.LinkOpened(p.board.vm(p.self))
	}
}

func (p port) Forget(daisyvm.Name) {}

func memberVM(i int) daisyvm.VM {
	address := netip.AddrFrom4([4]byte{10, 0, 0, byte(i)})
	return daisyvm.VM{
		Name:        daisyvm.Name(fmt.Sprintf("vm-%d", i)),
		Incarnation: 1,
		Callers:     netip.AddrPortFrom(address, 80),
		Peers:       netip.AddrPortFrom(address, 90),
	}
}

func (s *switchboard) start(vm daisyvm.VM) *daisycontroller.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := daisycontroller.NewMember(daisycontroller.MemberOptions{Self: vm, Linker: port{board: s, self: vm.Name}})
	m.SetReady(true)
	s.members[vm.Name] = m
	s.vms[vm.Name] = vm
	return m
}

func (s *switchboard) stop(name daisyvm.Name) {
	s.mu.Lock()
	m := s.members[name]
	delete(s.members, name)
	s.mu.Unlock()
	m.Close()
}

func names(m *daisycontroller.Member) []daisyvm.Name {
	var names []daisyvm.Name
	vms, _ := m.CallersAddresses()
	for _, v := range vms {
		names = append(names, v.Name)
	}
	slices.Sort(names)
	return names
}

func TestAnswersFollowTheMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := newSwitchboard()
		first := board.start(memberVM(1))
		for i := 2; i <= 4; i++ {
			board.start(memberVM(i)).LinkOpened(memberVM(1))
		}
		time.Sleep(time.Second)
		assert.DeepEqual(t, names(first), []daisyvm.Name{"vm-1", "vm-2", "vm-3", "vm-4"})
		assert.DeepEqual(t, names(board.find("vm-4")), names(first))
		board.find("vm-3").SetStopping(true, true)
		synctest.Wait()
		assert.DeepEqual(t, names(first), []daisyvm.Name{"vm-1", "vm-2", "vm-4"})
		board.stop("vm-4")
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, names(first), []daisyvm.Name{"vm-1", "vm-2"})
		for i := 1; i <= 3; i++ {
			board.stop(memberVM(i).Name)
		}
	})
}

// peersSeen records each change of the VMs that share the services.
type peersSeen struct{ changes chan []daisyvm.VM }

func (p peersSeen) SetPeers(vms, _ []daisyvm.VM) { p.changes <- vms }

func (p peersSeen) wait(count int) {
	for vms := range p.changes {
		if len(vms) == count {
			return
		}
	}
}

type linkedVM struct {
	vm    daisyvm.VM
	links *daisypeer.Links
	seen  peersSeen
	close func()
}

func startLinked(t *testing.T, i int) *linkedVM {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	vm := memberVM(i)
	vm.Peers = listener.Addr().(*net.TCPAddr).AddrPort()
	inbox := daisycontroller.NewInbox()
	links := daisypeer.NewLinks(daisypeer.Options{Self: vm, Listener: listener, Dialer: daisypeer.TCPDialer{}, Receiver: inbox})
	seen := peersSeen{changes: make(chan []daisyvm.VM, 64)}
	member := daisycontroller.NewMember(daisycontroller.MemberOptions{Self: vm, Linker: links, Peers: []daisycontroller.PeerApplier{seen}})
	config := daisycontroller.NewConfig(daisycontroller.ConfigOptions{Self: vm, Platform: daisyplatform.NewEmbedded(), Sender: links})
	inbox.Attach(daisycontroller.Receivers{Member: member, Config: config})
	return &linkedVM{vm: vm, links: links, seen: seen, close: func() {
		inbox.Close()
		links.Close()
		member.Close()
		config.Close()
	}}
}

func TestVMsFindEachOtherFromOneSeed(t *testing.T) {
	var vms []*linkedVM
	for i := 1; i <= 4; i++ {
		v := startLinked(t, i)
		if i > 1 {
			v.links.ConnectSeed(vms[0].vm.Peers)
		}
		vms = append(vms, v)
	}
	for _, v := range vms {
		v.seen.wait(4)
	}
	vms[0].close()
	for _, v := range vms[1:] {
		v.seen.wait(3)
		v.close()
	}
}
