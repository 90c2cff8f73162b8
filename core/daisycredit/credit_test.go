package daisycredit

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

const testSlots = 3

func testService(endpoints int) daisyservice.Service {
	s := daisyservice.Service{
		ID:    daisyservice.ID{Fleet: "vigia-lar", Name: "visit-lookups"},
		Ranks: []daisyrank.Rank{{Name: "urgent", Floor: 0.5}, {Name: "standard", Floor: 0.3}, {Name: "bulk", Floor: 0.05}},
	}
	for i := range endpoints {
		s.Endpoints = append(s.Endpoints, daisyendpoint.Endpoint{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			Zone:    daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: fmt.Sprint("z", i%4)},
			Slots:   testSlots,
		})
	}
	return s
}

// cluster is a set of owners and borrowers on a simulated network.
type cluster struct {
	now       time.Time
	service   daisyservice.Service
	vms       []daisyvm.VM
	borrowers []*Borrower
	owners    []*Owner
	waiting   []int
	// fallbackAttempts has, for each VM, the number of attempts by endpoint that were
	// started in fallback mode.
	fallbackAttempts []map[netip.AddrPort]int
	inTransit        []testMessage
	dead             map[daisyvm.Name]bool
}

type testMessage struct {
	from, to int
	report   *Report
	grant    *Grant
}

func newCluster(vms, endpoints int) *cluster {
	c := &cluster{now: time.Unix(0, 0), service: testService(endpoints), dead: make(map[daisyvm.Name]bool)}
	for i := range vms {
		name := daisyvm.Name(fmt.Sprint("vm-", i))
		c.vms = append(c.vms, daisyvm.VM{Name: name, Incarnation: 1, Zone: daisyfleet.ZoneID{Fleet: "vigia-lar", Zone: fmt.Sprint("z", i%4)}})
	}
	for _, v := range c.vms {
		c.borrowers = append(c.borrowers, NewBorrower(v, c.service, InAdvance{}))
		c.owners = append(c.owners, nil)
		c.waiting = append(c.waiting, 0)
		c.fallbackAttempts = append(c.fallbackAttempts, make(map[netip.AddrPort]int))
	}
	c.updateVMs()
	return c
}

func (c *cluster) updateVMs() {
	var live []daisyvm.VM
	for _, v := range c.vms {
		if !c.dead[v.Name] {
			live = append(live, v)
		}
	}
	owner, _ := ChooseOwner(c.service.ID, daisyfleet.ZoneID{}, live)
	for i, v := range c.vms {
		if c.dead[v.Name] {
			continue
		}
		c.borrowers[i].SetVMs(c.now, live)
		switch {
		case v.Name != owner.Name:
			c.owners[i] = nil
		case c.owners[i] == nil:
			c.owners[i] = NewOwner(c.now, OwnerOptions{Self: v, Service: c.service, LastTerm: uint64(c.now.UnixMicro())})
			c.owners[i].SetVMs(c.now, live)
		default:
			c.owners[i].SetVMs(c.now, live)
		}
	}
}

func (c *cluster) index(name daisyvm.Name) int {
	for i, v := range c.vms {
		if v.Name == name {
			return i
		}
	}
	return -1
}

// flush reports the demand to the borrowers, and sends the messages that are due.
func (c *cluster) flush() {
	for i := range c.vms {
		if c.dead[c.vms[i].Name] {
			continue
		}
		c.borrowers[i].SetDemand(c.now, []Demand{{Waiting: uint32(c.waiting[i]), InFlight: uint32(c.borrowers[i].inFlight())}})
		if r, ok := c.borrowers[i].Flush(c.now); ok {
			c.inTransit = append(c.inTransit, testMessage{from: i, to: c.index(c.borrowers[i].Owner().Name), report: &r})
		}
		if o := c.owners[i]; o != nil {
			for _, g := range o.Flush(c.now) {
				c.inTransit = append(c.inTransit, testMessage{from: i, to: c.index(g.To), grant: &g.Grant})
			}
		}
	}
}

// deliver delivers message k. If duplicate is set, the message also stays in transit.
func (c *cluster) deliver(k int, duplicate bool) {
	m := c.inTransit[k]
	if !duplicate {
		c.inTransit = append(c.inTransit[:k:k], c.inTransit[k+1:]...)
	}
	to, from := c.vms[m.to].Name, c.vms[m.from].Name
	switch {
	case c.dead[to]:
	case m.grant != nil:
		c.borrowers[m.to].Receive(c.now, from, *m.grant)
	case c.owners[m.to] != nil:
		c.owners[m.to].Receive(c.now, from, *m.report)
	}
}

// run advances the time on a network that loses no messages.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(time.Millisecond) {
		c.flush()
		for len(c.inTransit) > 0 {
			c.deliver(0, false)
		}
		c.startAttempts()
	}
}

// startAttempts starts as many of the waiting requests as the borrowers allow.
func (c *cluster) startAttempts() {
	for i, b := range c.borrowers {
		for _, e := range c.service.Endpoints {
			for c.waiting[i] > 0 && b.Idle(e.Address) > 0 {
				if b.InFallback() {
					c.fallbackAttempts[i][e.Address]++
				}
				b.Take(e.Address)
				c.waiting[i]--
			}
		}
	}
}

func (c *cluster) held(endpoint netip.AddrPort) int {
	sum := 0
	for i, b := range c.borrowers {
		if !c.dead[c.vms[i].Name] {
			sum += b.Held(endpoint)
		}
	}
	return sum
}

func (c *cluster) owner() *Owner {
	for i, o := range c.owners {
		if o != nil && !c.dead[c.vms[i].Name] {
			return o
		}
	}
	return nil
}

// release ends an attempt at an endpoint of VM i, preferably one that was started with a credit.
func (c *cluster) release(i int, endpoint netip.AddrPort) {
	b := c.borrowers[i]
	b.Release(c.now, endpoint)
	c.fallbackAttempts[i][endpoint] = min(c.fallbackAttempts[i][endpoint], int(b.endpoints[endpoint].inFlight))
}

// fallbackAttemptsAt returns the number of attempts at an endpoint that were started in
// fallback mode.
func (c *cluster) fallbackAttemptsAt(endpoint netip.AddrPort) int {
	sum := 0
	for i := range c.fallbackAttempts {
		if !c.dead[c.vms[i].Name] {
			sum += c.fallbackAttempts[i][endpoint]
		}
	}
	return sum
}

// checkFallbackShare asserts that no VM has started more than its even share in fallback mode.
func (c *cluster) checkFallbackShare(t assert.TestingT) {
	share := (c.service.Slots() + len(c.vms) - 1) / len(c.vms)
	for i, endpoints := range c.fallbackAttempts {
		sum := 0
		for _, n := range endpoints {
			sum += n
		}
		assert.Assert(t, sum <= share, "vm %d: %d attempts started in fallback mode, even share %d", i, sum, share)
	}
}

// check asserts that no slot is lent twice and, if no messages are outstanding, that
// none is lost. A VM that cannot reach its owner does not take the others' attempts
// into account, so the attempts that it starts meanwhile are counted separately.
func (c *cluster) check(t assert.TestingT, settled bool) {
	for i, b := range c.borrowers {
		total, running := b.totalHeld, b.totalInFlight
		b.recount()
		assert.Assert(t, total == b.totalHeld && running == b.totalInFlight, "vm %d: totals are %d and %d, but the endpoints add up to %d and %d", i, total, running, b.totalHeld, b.totalInFlight)
	}
	c.checkFallbackShare(t)
	o := c.owner()
	for _, e := range o.endpoints {
		held := c.held(e.Address)
		inFallback := c.fallbackAttemptsAt(e.Address)
		assert.Assert(t, held-inFallback <= e.Slots, "%s: %d held of %d, and %d started in fallback mode", e.Address, held-inFallback, e.Slots, inFallback)
		if settled {
			o.recount()
			assert.Equal(t, held, e.lentCredits, "%s: the owner's count differs from the credits held", e.Address)
		}
	}
}

// Messages are lost, duplicated and reordered at random.
func TestCreditsNeverExceedSlotsOnUnreliableNetwork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(1, 6).Draw(t, "vms"), rapid.IntRange(1, 4).Draw(t, "endpoints"))
		c.run(200 * time.Millisecond)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			c.step(t)
			c.check(t, false)
		}
		c.run(3 * time.Second)
		c.check(t, true)
	})
}

// A VM that has not reached its owner for ownerTimeout starts attempts within its even
// share, although all slots are lent to other VMs.
func TestFallbackAttemptsStayWithinEvenShare(t *testing.T) {
	c := newCluster(3, 1)
	c.run(200 * time.Millisecond)
	owner := c.index(c.owner().options.Self.Name)
	busy, unreachable := (owner+1)%3, (owner+2)%3
	c.waiting[busy] = 9
	c.run(100 * time.Millisecond)
	assert.Equal(t, c.borrowers[busy].inFlight(), testSlots)

	c.waiting[unreachable] = 9
	c.runPartitioned(ownerTimeout+100*time.Millisecond, unreachable)
	assert.Assert(t, c.borrowers[unreachable].InFallback())
	assert.Equal(t, c.borrowers[unreachable].inFlight(), 1, "even share of %d slots", testSlots)
	c.check(t, false)

	c.run(maxRetransmitDelay)
	assert.Assert(t, !c.borrowers[unreachable].InFallback())
	c.release(busy, c.service.Endpoints[0].Address)
	c.run(100 * time.Millisecond)
	assert.Equal(t, c.held(c.service.Endpoints[0].Address), testSlots, "the claimed attempt has a slot again")
	c.check(t, true)
}

// runPartitioned advances the time while all messages to and from one VM are lost.
func (c *cluster) runPartitioned(d time.Duration, unreachable int) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(time.Millisecond) {
		c.flush()
		for len(c.inTransit) > 0 {
			if m := c.inTransit[0]; m.from == unreachable || m.to == unreachable {
				c.inTransit = c.inTransit[1:]
				continue
			}
			c.deliver(0, false)
		}
		c.startAttempts()
	}
}

// step performs a random event at a VM, and delivers, duplicates or drops some messages.
func (c *cluster) step(t *rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 7).Draw(t, "milliseconds")) * time.Millisecond)
	i := rapid.IntRange(0, len(c.vms)-1).Draw(t, "vm")
	e := c.service.Endpoints[rapid.IntRange(0, len(c.service.Endpoints)-1).Draw(t, "endpoint")].Address
	b := c.borrowers[i]
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1:
		c.waiting[i] += rapid.IntRange(1, 9).Draw(t, "arrivals")
		c.startAttempts()
	case 2, 3:
		if b.endpoints[e].inFlight > 0 {
			c.release(i, e)
			c.startAttempts()
		}
	case 4:
		b.SetRestricted(c.now, e, rapid.Bool().Draw(t, "restricted"))
	case 5:
		c.waiting[i] = 0
	default:
		c.flush()
	}
	for range min(len(c.inTransit), rapid.IntRange(0, 4).Draw(t, "deliveries")) {
		k := rapid.IntRange(0, len(c.inTransit)-1).Draw(t, "message")
		switch rapid.IntRange(0, 3).Draw(t, "fate") {
		case 0:
			c.inTransit = append(c.inTransit[:k:k], c.inTransit[k+1:]...)
		case 1:
			c.deliver(k, true)
		default:
			c.deliver(k, false)
		}
		if len(c.inTransit) == 0 {
			return
		}
	}
}

func TestSingleBusyVMGetsAllSlots(t *testing.T) {
	c := newCluster(6, 11)
	c.run(200 * time.Millisecond)
	c.waiting[2] = 100
	c.run(100 * time.Millisecond)
	assert.Equal(t, c.borrowers[2].inFlight(), 33)
	c.check(t, true)
}

func TestSlotsOfDeadVMAreReclaimed(t *testing.T) {
	for dead := range 6 {
		c := newCluster(6, 11)
		c.run(200 * time.Millisecond)
		c.waiting[dead] = 100
		c.run(100 * time.Millisecond)
		c.dead[c.vms[dead].Name] = true
		c.updateVMs()
		survivor := (dead + 1) % 6
		c.waiting[survivor] = 100
		c.run(300 * time.Millisecond)
		assert.Equal(t, c.borrowers[survivor].inFlight(), 33, "vm %d died", dead)
		c.check(t, true)
	}
}

func TestNewOwnerKeepsHeldCredits(t *testing.T) {
	c := newCluster(6, 11)
	c.run(200 * time.Millisecond)
	for i := range c.waiting {
		c.waiting[i] = 5
	}
	c.run(100 * time.Millisecond)
	owner := c.index(c.owner().options.Self.Name)
	c.dead[c.vms[owner].Name] = true
	c.updateVMs()
	for range 300 {
		c.run(time.Millisecond)
		c.check(t, false)
	}
	c.check(t, true)
}

func TestOwnerRestartedWithEarlierClockLends(t *testing.T) {
	c := newCluster(3, 4)
	c.run(200 * time.Millisecond)
	owner := c.index(c.owner().options.Self.Name)
	c.dead[c.vms[owner].Name] = true
	c.updateVMs()
	c.run(200 * time.Millisecond)
	c.dead[c.vms[owner].Name] = false
	c.vms[owner].Incarnation--
	c.owners[owner], c.borrowers[owner] = nil, NewBorrower(c.vms[owner], c.service, InAdvance{})
	c.updateVMs()
	c.run(200 * time.Millisecond)
	for _, b := range c.borrowers {
		assert.Equal(t, b.term.Owner, c.vms[owner].Name, "%s has no term with the restarted owner", b.self.Name)
	}
}

func TestPausedVMDiscardsIdleCredits(t *testing.T) {
	c := newCluster(2, 4)
	c.run(200 * time.Millisecond)
	b := c.borrowers[0]
	assert.Assert(t, b.held() > 0)
	b.Flush(c.now.Add(ownerTimeout))
	assert.Equal(t, b.held(), 0)
	assert.Assert(t, b.InFallback())
}

func TestBorrowerWithoutTermStaysWithinEvenShare(t *testing.T) {
	service := testService(4)
	c := newCluster(3, 4)
	b := NewBorrower(c.vms[0], service, InAdvance{})
	b.SetVMs(c.now, c.vms)
	started := 0
	for _, e := range service.Endpoints {
		for b.Idle(e.Address) > 0 {
			b.Take(e.Address)
			started++
		}
	}
	assert.Equal(t, started, 4)
}

func TestAllocateGivesFloorsThenUrgency(t *testing.T) {
	ranks := testService(1).Ranks
	for _, x := range []struct{ needs, want []int }{
		{[]int{0, 0, 0}, []int{0, 0, 0}},
		{[]int{5, 5, 5}, []int{5, 5, 5}},
		{[]int{0, 0, 99}, []int{0, 0, 30}},
		{[]int{99, 0, 0}, []int{30, 0, 0}},
		{[]int{99, 99, 99}, []int{19, 9, 2}},
		{[]int{10, 99, 99}, []int{10, 18, 2}},
		{[]int{99, 4, 1}, []int{25, 4, 1}},
	} {
		assert.DeepEqual(t, Allocate(30, ranks, x.needs), x.want)
	}
}

func TestChooseOwnerMovesOnlyServicesOfLostVM(t *testing.T) {
	vms := newCluster(6, 1).vms
	moved := 0
	for i := range 600 {
		id := daisyservice.ID{Fleet: "vigia-lar", Name: fmt.Sprint("s", i)}
		before, _ := ChooseOwner(id, daisyfleet.ZoneID{}, vms)
		after, _ := ChooseOwner(id, daisyfleet.ZoneID{}, vms[1:])
		if before.Name != vms[0].Name {
			assert.Equal(t, before.Name, after.Name)
			continue
		}
		moved++
	}
	assert.Assert(t, moved > 50 && moved < 150, "%d of 600", moved)
}
