package daisytrial

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"daisyyoke/core/daisyerror"
)

const (
	// firstPort and lastPort lie below the ports that systems give to outgoing
	// connections and to listeners without a port of their own (from 32,768 on
	// Linux), so that nothing takes a port between its choice and its use, nor
	// while the process that uses it is restarted.
	firstPort = 15_000
	lastPort  = 30_000
	// blockPorts is the number of ports in a block: more than most trials need.
	blockPorts = 100
)

// Ports gives loopback addresses that nothing listens on, and that no other Ports
// on the machine gives until Close. It is not safe for concurrent use.
type Ports struct {
	// claims are listeners on the first ports of the blocks that are taken from.
	claims []net.Listener
	// next is the port to try next, last the last one of its block.
	next, last uint16
}

// NewPorts gives addresses from a block that is chosen at random.
func NewPorts() *Ports { return &Ports{} }

// Take gives the next free address. It fails with daisyerror.Unavailable.
func (p *Ports) Take() (netip.AddrPort, error) {
	for {
		for p.next < p.last {
			p.next++
			if l := listenAt(p.next); l != nil && l.Close() == nil {
				return loopback(p.next), nil
			}
		}
		if err := p.claim(); err != nil {
			return netip.AddrPort{}, err
		}
	}
}

// claim goes on to a block that nothing else has claimed.
func (p *Ports) claim() error {
	const blocks = (lastPort - firstPort) / blockPorts
	for _, b := range rand.Perm(blocks) {
		first := uint16(firstPort + b*blockPorts)
		if l := listenAt(first); l != nil {
			p.claims = append(p.claims, l)
			p.next, p.last = first, first+blockPorts-1
			return nil
		}
	}
	return daisyerror.Unavailable.New("no free ports from %d to %d: end the programs that use them", firstPort, lastPort)
}

// Close lets others take the addresses.
func (p *Ports) Close() {
	for _, l := range p.claims {
		_ = l.Close()
	}
	p.claims, p.next, p.last = nil, 0, 0
}

// listenAt gives nil when the port is in use.
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
