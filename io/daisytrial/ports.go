package daisytrial

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"daisyyoke/core/daisyerror"
)

const (
	// firstPort and lastPort are below the ephemeral port range of the system (from
	// 32,768 on Linux), so that no outgoing connection and no listener on port 0 takes
	// a port between its selection and its use, or while the process that uses it is
	// restarted.
	firstPort = 15_000
	lastPort  = 30_000
	// blockPorts is the number of ports in a block, more than most trials need.
	blockPorts = 100
)

// Ports allocates loopback addresses that nothing listens on. Until Close, no other Ports
// on the machine allocates them. It is not safe for concurrent use.
type Ports struct {
	// claims are listeners on the first port of each block in use. They reserve the
	// blocks across processes.
	claims []net.Listener
	// lastTried is the port that was tried last, and blockEnd is the last port of its block.
	lastTried, blockEnd uint16
}

// NewPorts returns an allocator that claims blocks of ports at random, the first one on
// the first Take.
func NewPorts() *Ports { return &Ports{} }

// Take returns the next free address. It fails with daisyerror.Unavailable.
func (p *Ports) Take() (netip.AddrPort, error) {
	for {
		for p.lastTried < p.blockEnd {
			p.lastTried++
			if l := listenAt(p.lastTried); l != nil && l.Close() == nil {
				return loopback(p.lastTried), nil
			}
		}
		if err := p.claim(); err != nil {
			return netip.AddrPort{}, err
		}
	}
}

// claim reserves a block that no other Ports has claimed.
func (p *Ports) claim() error {
	const blocks = (lastPort - firstPort) / blockPorts
	for _, b := range rand.Perm(blocks) {
		first := uint16(firstPort + b*blockPorts)
		if l := listenAt(first); l != nil {
			p.claims = append(p.claims, l)
			p.lastTried, p.blockEnd = first, first+blockPorts-1
			return nil
		}
	}
	return daisyerror.Unavailable.New("no free ports from %d to %d: stop the programs that use them", firstPort, lastPort)
}

// Close releases the addresses.
func (p *Ports) Close() {
	for _, l := range p.claims {
		_ = l.Close()
	}
	p.claims, p.lastTried, p.blockEnd = nil, 0, 0
}

// listenAt returns a listener on a loopback port, or nil if the port is in use.
func listenAt(port uint16) net.Listener {
	l, err := net.Listen("tcp", loopback(port).String())
	if err != nil {
		return nil
	}
	return l
}

func loopback(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}
