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

// testNetwork delivers messages between the controllers of VMs in one process.
type testNetwork struct {
	mu       sync.Mutex
	members  map[daisyvm.Name]*daisycontroller.Member
	vms      map[daisyvm.Name]daisyvm.VM
	stoppers map[daisyvm.Name]daisycontroller.Stopper
	configs  map[daisyvm.Name]*configVM
}

func newTestNetwork() *testNetwork {
	return &testNetwork{
		members:  make(map[daisyvm.Name]*daisycontroller.Member),
		vms:      make(map[daisyvm.Name]daisyvm.VM),
		stoppers: make(map[daisyvm.Name]daisycontroller.Stopper),
		configs:  make(map[daisyvm.Name]*configVM),
	}
}

func (s *testNetwork) find(name daisyvm.Name) *daisycontroller.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members[name]
}

func (s *testNetwork) vm(name daisyvm.Name) daisyvm.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms[name]
}

// networkLinker is the Linker of one VM on a testNetwork.
type networkLinker struct {
	network *testNetwork
	self    daisyvm.Name
}

func (p networkLinker) Send(to daisyvm.Name, message daisymessage.Message) {
	if w, ok := message.(daisymessage.StopWanted); ok {
		p.network.stoppers[to].RequestStop(w.By)
		return
	}
	if m := p.network.find(to); m != nil {
		m.Receive(p.self, message)
	}
	p.network.mu.Lock()
	v := p.network.configs[to]
	p.network.mu.Unlock()
	if v != nil {
		time.AfterFunc(time.Millisecond, func() { v.config.Receive(p.self, message) })
	}
}

func (p networkLinker) Connect(vm daisyvm.VM) {
	if m := p.network.find(vm.Name); m != nil {
		m.LinkOpened(p.network.vm(p.self))
	}
}

func (p networkLinker) Forget(daisyvm.Name) {}

func memberVM(i int) daisyvm.VM {
	address := netip.AddrFrom4([4]byte{10, 0, 0, byte(i)})
	return daisyvm.VM{
		Name:        daisyvm.Name(fmt.Sprintf("vm-%d", i)),
		Incarnation: 1,
		Callers:     netip.AddrPortFrom(address, 80),
		Peers:       netip.AddrPortFrom(address, 90),
	}
}

func (s *testNetwork) start(vm daisyvm.VM) *daisycontroller.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := daisycontroller.NewMember(daisycontroller.MemberOptions{Self: vm, Linker: networkLinker{network: s, self: vm.Name}})
	m.SetReady(true)
	s.members[vm.Name] = m
	s.vms[vm.Name] = vm
	return m
}

func (s *testNetwork) stop(name daisyvm.Name) {
	s.mu.Lock()
	m := s.members[name]
	delete(s.members, name)
	s.mu.Unlock()
	m.Close()
}

func names(m *daisycontroller.Member) []daisyvm.Name {
	var names []daisyvm.Name
	vms, _ := m.CallerAddresses()
	for _, v := range vms {
		names = append(names, v.Name)
	}
	slices.Sort(names)
	return names
}

func TestCallerAddressesFollowMembership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork()
		first := network.start(memberVM(1))
		for i := 2; i <= 4; i++ {
			network.start(memberVM(i)).LinkOpened(memberVM(1))
		}
		time.Sleep(time.Second)
		assert.DeepEqual(t, names(first), []daisyvm.Name{"vm-1", "vm-2", "vm-3", "vm-4"})
		assert.DeepEqual(t, names(network.find("vm-4")), names(first))
		network.find("vm-3").SetStopping(true, true)
		synctest.Wait()
		assert.DeepEqual(t, names(first), []daisyvm.Name{"vm-1", "vm-2", "vm-4"})
		network.stop("vm-4")
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, names(first), []daisyvm.Name{"vm-1", "vm-2"})
		for i := 1; i <= 3; i++ {
			network.stop(memberVM(i).Name)
		}
	})
}

// peerRecorder records each change of the VMs that share the services.
type peerRecorder struct{ changes chan []daisyvm.VM }

func (p peerRecorder) SetPeers(vms, _ []daisyvm.VM) { p.changes <- vms }

func (p peerRecorder) wait(count int) {
	for vms := range p.changes {
		if len(vms) == count {
			return
		}
	}
}

type linkedVM struct {
	vm       daisyvm.VM
	links    *daisypeer.Links
	recorder peerRecorder
	close    func()
}

func startLinked(t *testing.T, i int) *linkedVM {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	vm := memberVM(i)
	vm.Peers = listener.Addr().(*net.TCPAddr).AddrPort()
	inbox := daisycontroller.NewInbox()
	links := daisypeer.NewLinks(daisypeer.Options{Self: vm, Listener: listener, Dialer: daisypeer.TCPDialer{}, Receiver: inbox})
	recorder := peerRecorder{changes: make(chan []daisyvm.VM, 64)}
	member := daisycontroller.NewMember(daisycontroller.MemberOptions{Self: vm, Linker: links, Peers: []daisycontroller.PeerApplier{recorder}})
	config := daisycontroller.NewConfig(daisycontroller.ConfigOptions{Self: vm, Platform: daisyplatform.NewEmbedded(), Sender: links})
	inbox.Attach(daisycontroller.Receivers{Member: member, Config: config})
	return &linkedVM{vm: vm, links: links, recorder: recorder, close: func() {
		inbox.Close()
		links.Close()
		member.Close()
		config.Close()
	}}
}

func TestVMsDiscoverEachOtherThroughOneSeed(t *testing.T) {
	var vms []*linkedVM
	for i := 1; i <= 4; i++ {
		v := startLinked(t, i)
		if i > 1 {
			v.links.ConnectSeed(vms[0].vm.Peers)
		}
		vms = append(vms, v)
	}
	for _, v := range vms {
		v.recorder.wait(4)
	}
	vms[0].close()
	for _, v := range vms[1:] {
		v.recorder.wait(3)
		v.close()
	}
}
