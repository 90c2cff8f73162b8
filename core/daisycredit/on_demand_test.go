package daisycredit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyvm"
)

// onDemandCluster is a cluster with one owner that lends on demand, and endpoints that
// answer probes. Messages arrive in the step in which they are sent, replies in the next.
type onDemandCluster struct {
	*cluster
	owner    *Owner
	slowdown map[int]float64
	// unresponsive endpoints do not answer probes.
	unresponsive map[int]bool
	probes       int
	// messages is the number of messages sent.
	messages int
	// standardWaiting is the number of requests of the second rank that wait at each VM.
	standardWaiting map[int]int
	// foreignLoad is the number of requests at each endpoint from VMs unknown to the owner.
	foreignLoad map[int]int
}

func newOnDemandCluster(vms, endpoints int) *onDemandCluster {
	c := &onDemandCluster{
		cluster:         &cluster{now: time.Unix(0, 0), service: testService(endpoints), dead: make(map[daisyvm.Name]bool)},
		slowdown:        make(map[int]float64),
		unresponsive:    make(map[int]bool),
		foreignLoad:     make(map[int]int),
		standardWaiting: make(map[int]int),
	}
	for i := range vms {
		c.vms = append(c.vms, daisyvm.VM{Name: daisyvm.Name([]string{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4"}[i]), Incarnation: 1})
		c.borrowers = append(c.borrowers, NewBorrower(c.vms[i], c.service, OnDemand{}))
		c.waiting = append(c.waiting, 0)
		c.owners = append(c.owners, nil)
	}
	chosen, _ := ChooseOwner(c.service.ID, daisyfleet.ZoneID{}, c.vms)
	c.owner = NewOwner(c.now, OwnerOptions{Self: chosen, Service: c.service, Lending: OnDemand{}})
	c.owner.SetVMs(c.now, c.vms)
	c.owners[c.index(chosen.Name)] = c.owner
	for _, b := range c.borrowers {
		b.SetVMs(c.now, c.vms)
	}
	return c
}

// report returns the load report of an endpoint.
func (c *onDemandCluster) report(endpoint int) daisyendpoint.Report {
	r := daisyendpoint.Report{At: c.now, Slots: testSlots, Slowdown: max(c.slowdown[endpoint], 1), InFlight: c.foreignLoad[endpoint]}
	for _, b := range c.borrowers {
		r.InFlight += int(b.creditsAt(c.service.Endpoints[endpoint].Address).inFlight)
	}
	return r
}

func (c *onDemandCluster) flush() {
	for i, b := range c.borrowers {
		if c.dead[c.vms[i].Name] {
			continue
		}
		b.SetDemand(c.now, []Demand{{Waiting: uint32(c.waiting[i]), InFlight: uint32(b.inFlight())}, {Waiting: uint32(c.standardWaiting[i])}, {}})
		if r, ok := b.Flush(c.now); ok {
			c.messages++
			c.inTransit = append(c.inTransit, testMessage{from: i, to: c.index(b.Owner().Name), report: &r})
		}
	}
	if c.dead[c.owner.options.Self.Name] {
		return
	}
	for _, g := range c.owner.Flush(c.now) {
		c.messages++
		c.inTransit = append(c.inTransit, testMessage{from: c.index(c.owner.options.Self.Name), to: c.index(g.To), grant: &g.Grant})
	}
}

// step advances the time by a millisecond: messages arrive, endpoints answer probes,
// and each VM uses the credits that its waiting requests got. It returns the endpoints
// at which attempts started.
func (c *onDemandCluster) step() (used []int) {
	c.now = c.now.Add(time.Millisecond)
	c.flush()
	for len(c.inTransit) > 0 {
		c.deliver(0, false)
	}
	for _, a := range c.owner.TakeProbes() {
		i := int(a.Addr().As4()[3])
		c.probes++
		if !c.unresponsive[i] {
			c.owner.NoteReport(c.now, a, c.report(i))
		}
	}
	for v, b := range c.borrowers {
		for i, e := range c.service.Endpoints {
			for c.waiting[v]+c.standardWaiting[v] > 0 && b.Idle(e.Address) > 0 {
				b.Take(e.Address)
				if c.waiting[v] > 0 {
					c.waiting[v]--
				} else {
					c.standardWaiting[v]--
				}
				used = append(used, i)
			}
		}
	}
	return used
}

// beginTerms advances the time by 300 ms, within which all terms begin.
func (c *onDemandCluster) beginTerms() {
	for range 300 {
		c.step()
	}
}

// placeRequest adds a request at a VM, and returns its endpoint and how long it waited.
func (c *onDemandCluster) placeRequest(t *testing.T, vm int) (endpoint int, waited time.Duration) {
	t.Helper()
	c.waiting[vm]++
	for start := c.now; c.now.Sub(start) < time.Second; {
		if used := c.step(); len(used) > 0 {
			return used[0], c.now.Sub(start)
		}
	}
	t.Fatal("no credit within a second")
	return 0, 0
}

func TestOnDemandNoCreditsHeldWithoutDemand(t *testing.T) {
	c := newOnDemandCluster(3, 4)
	c.beginTerms()
	for _, b := range c.borrowers {
		assert.Assert(t, !b.InFallback())
		assert.Equal(t, b.held(), 0)
	}
}

func TestOnDemandRequestsSpreadOverEndpoints(t *testing.T) {
	c := newOnDemandCluster(3, 4)
	c.beginTerms()
	seen := make(map[int]int)
	for i := range 4 {
		e, waited := c.placeRequest(t, i%3)
		seen[e]++
		assert.Assert(t, waited <= 10*time.Millisecond, "%v", waited)
		// Let the report expire: an endpoint with a fresh one may get a second request
		// without another probe.
		for range 40 {
			c.step()
		}
	}
	assert.DeepEqual(t, seen, map[int]int{0: 1, 1: 1, 2: 1, 3: 1})
}

// A third of the endpoints are slow, and no attempt has been there recently.
func TestOnDemandSlowEndpointsAreAvoidedWhileOthersAreFree(t *testing.T) {
	c := newOnDemandCluster(3, 6)
	c.slowdown[0], c.slowdown[3] = 4, 4
	c.beginTerms()
	for i := range 4 {
		e, _ := c.placeRequest(t, i%3)
		assert.Assert(t, e != 0 && e != 3, "endpoint %d", e)
	}
	assert.Assert(t, c.probes <= 12, "%d probes for 4 requests", c.probes)
}

func TestOnDemandUnresponsiveEndpointIsSkipped(t *testing.T) {
	c := newOnDemandCluster(2, 3)
	c.unresponsive[0], c.unresponsive[1] = true, true
	c.beginTerms()
	e, waited := c.placeRequest(t, 0)
	assert.Equal(t, e, 2)
	assert.Assert(t, waited <= 2*slowProbeAge+10*time.Millisecond, "%v", waited)
}

// A fresh report of an endpoint in another availability zone is no reason to use it
// before the endpoint in the own zone has been probed, but requests do not wait long if
// that endpoint does not answer.
func TestOnDemandProbesOwnZoneBeforeUsingAnother(t *testing.T) {
	for _, unresponsive := range []bool{false, true} {
		c := newOnDemandCluster(2, 2)
		c.vms[0].Zone = c.service.Endpoints[0].Zone
		c.owner.SetVMs(c.now, nil)
		c.owner.SetVMs(c.now, c.vms)
		c.beginTerms()
		c.unresponsive[0] = unresponsive
		c.owner.NoteReport(c.now, c.service.Endpoints[1].Address, c.report(1))
		used, waited := c.placeRequest(t, 0)
		assert.Equal(t, used == 0, !unresponsive)
		assert.Assert(t, waited <= 2*slowProbeAge, "%v", waited)
	}
}

// Guards against an endpoint that is never used again after one report of a slowdown.
// The fault was seen with endpoints that joined cold: they never got a request.
func TestOnDemandFormerlySlowEndpointIsProbedAgain(t *testing.T) {
	c := newOnDemandCluster(2, 3)
	c.slowdown[1] = 4
	c.beginTerms()
	c.owner.NoteReport(c.now, c.service.Endpoints[1].Address, c.report(1))
	c.slowdown[1] = 1
	seen := make(map[int]bool)
	for i := range 40 {
		e, _ := c.placeRequest(t, i%2)
		seen[e] = true
		for range 120 {
			c.step()
		}
		c.borrowers[i%2].Release(c.now, c.service.Endpoints[e].Address)
	}
	assert.Equal(t, len(seen), 3)
}

// If all endpoints are slow, a request gets one of them after minGrantWait.
func TestOnDemandSlowEndpointIsUsedAfterMinGrantWait(t *testing.T) {
	c := newOnDemandCluster(2, 2)
	c.slowdown[0], c.slowdown[1] = 4, 4
	c.beginTerms()
	_, waited := c.placeRequest(t, 0)
	assert.Assert(t, waited >= minGrantWait-time.Millisecond && waited <= minGrantWait+30*time.Millisecond, "%v", waited)
}

// A request waits for an owner that sends nothing only for minOwnerTimeout.
func TestOnDemandRequestDoesNotWaitForSilentOwner(t *testing.T) {
	c := newOnDemandCluster(3, 4)
	c.beginTerms()
	borrower := (c.index(c.owner.options.Self.Name) + 1) % 3
	c.dead[c.owner.options.Self.Name] = true
	_, waited := c.placeRequest(t, borrower)
	assert.Assert(t, waited <= minOwnerTimeout+20*time.Millisecond, "%v", waited)
}

// While requests wait because all slots are in use, the owner sends every VM keepalives,
// so that none enters fallback mode. Guards against too many of them.
func TestOnDemandWaitingRequestsCauseFewMessages(t *testing.T) {
	c := newOnDemandCluster(5, 1)
	c.beginTerms()
	for v := range c.borrowers {
		c.waiting[v] = 4
	}
	for range 300 {
		c.step()
	}
	c.messages = 0
	for range 1000 {
		c.step()
		for v, b := range c.borrowers {
			assert.Assert(t, !b.InFallback(), "vm %d is in fallback mode although its owner is alive", v)
		}
	}
	maxMessages := len(c.borrowers) * int(time.Second/keepaliveInterval+2*time.Second/maxRetransmitDelay)
	assert.Assert(t, c.messages <= maxMessages, "%d messages a second, at most %d", c.messages, maxMessages)
}

// An endpoint at which credits are held much longer than at the others counts as slow,
// whatever it reports.
func TestOnDemandLongHoldTimesMarkEndpointAsSlow(t *testing.T) {
	c := newOnDemandCluster(2, 4)
	c.beginTerms()
	for i := range 60 {
		e, _ := c.placeRequest(t, i%2)
		holdSteps := 20
		if e == 0 {
			holdSteps = 200
		}
		for range holdSteps {
			c.step()
		}
		c.borrowers[i%2].Release(c.now, c.service.Endpoints[e].Address)
	}
	for range 5 {
		c.step()
	}
	assert.Assert(t, c.owner.slowdown(c.now, c.owner.endpoint(c.service.Endpoints[0].Address)) >= slowHoldRatio)
	e, _ := c.placeRequest(t, 0)
	assert.Assert(t, e != 0)
}

// VMs that cannot reach each other use the same endpoints, each without the credits of
// the others. The owner learns of their requests from the endpoints' reports.
func TestOnDemandLoadFromUnreachableVMsCounts(t *testing.T) {
	c := newOnDemandCluster(2, 3)
	c.foreignLoad[0], c.foreignLoad[1] = 2, 3
	c.beginTerms()
	for i := range 2 {
		e, _ := c.placeRequest(t, i)
		assert.Equal(t, e, 2)
	}
}

// When one slot becomes free, an urgent request gets it, although less urgent requests
// have waited longer at every VM.
func TestOnDemandUrgentRequestsGoFirstAcrossVMs(t *testing.T) {
	c := newOnDemandCluster(3, 1)
	for i := range c.service.Ranks {
		c.service.Ranks[i].Floor = 0
	}
	c.owner.SetService(c.now, c.service)
	c.beginTerms()
	for range testSlots {
		c.placeRequest(t, 0)
	}
	for vm := range 3 {
		c.standardWaiting[vm] = 2
	}
	for range 500 {
		assert.Equal(t, len(c.step()), 0)
	}
	c.waiting[1] = 1
	for range 20 {
		c.step()
	}
	c.borrowers[0].Release(c.now, c.service.Endpoints[0].Address)
	for range 500 {
		if len(c.step()) > 0 {
			break
		}
	}
	assert.Equal(t, c.waiting[1], 0)
	assert.DeepEqual(t, c.standardWaiting, map[int]int{0: 2, 1: 2, 2: 2})
}

func TestOnDemandSlotsAreNeverLentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newOnDemandCluster(rapid.IntRange(1, 4).Draw(t, "vms"), rapid.IntRange(1, 4).Draw(t, "endpoints"))
		type attempt struct{ vm, endpoint int }
		var running []attempt
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			vm := rapid.IntRange(0, len(c.vms)-1).Draw(t, "vm")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				c.waiting[vm]++
			case 2:
				if len(running) > 0 {
					a := running[0]
					running = running[1:]
					c.borrowers[a.vm].Release(c.now, c.service.Endpoints[a.endpoint].Address)
				}
			case 3:
				c.slowdown[rapid.IntRange(0, len(c.service.Endpoints)-1).Draw(t, "endpoint")] = rapid.Float64Range(1, 5).Draw(t, "slowdown")
			}
			before := make([][]uint32, len(c.borrowers))
			for v, b := range c.borrowers {
				for _, e := range c.service.Endpoints {
					before[v] = append(before[v], b.creditsAt(e.Address).inFlight)
				}
			}
			c.step()
			for v, b := range c.borrowers {
				for i, e := range c.service.Endpoints {
					for range b.creditsAt(e.Address).inFlight - before[v][i] {
						running = append(running, attempt{v, i})
					}
				}
			}
			for i, e := range c.service.Endpoints {
				sum := 0
				for _, b := range c.borrowers {
					if b.InFallback() {
						return
					}
					sum += b.creditsAt(e.Address).held()
				}
				assert.Assert(t, sum <= e.Slots, "endpoint %d: %d credits", i, sum)
			}
		}
	})
}

// placeRequests adds requests at a VM, and returns the endpoints that they got within
// the given time, in order.
func (c *onDemandCluster) placeRequests(vm, requests int, within time.Duration) (used []int) {
	c.waiting[vm] += requests
	for start := c.now; c.now.Sub(start) < within; {
		used = append(used, c.step()...)
	}
	return used
}

// addHoldSamples adds enough samples of the times for which credits for the last slots
// of endpoints (full) and other credits (free) are held.
func (c *onDemandCluster) addHoldSamples(free, full time.Duration) {
	for range minHoldSamples {
		c.owner.holdTimes.add(c.now, free, serviceHoldWeight)
		c.owner.otherHoldTimes.add(c.now, free, serviceHoldWeight)
		c.owner.lastSlotHoldTimes.add(c.now, full, serviceHoldWeight)
	}
}

// Endpoints without a higher throughput when all slots are in use keep one slot free,
// except for one trial in each fullTrialInterval.
func TestOnDemandLastSlotsStayFreeWithoutThroughputGain(t *testing.T) {
	cases := []struct {
		name       string
		free, full time.Duration
		started    int
	}{
		{"full endpoints are no slower", 100 * time.Millisecond, 100 * time.Millisecond, 2 * testSlots},
		{"full endpoints are half as fast", 100 * time.Millisecond, 200 * time.Millisecond, 2*(testSlots-1) + 1},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			c := newOnDemandCluster(2, 2)
			c.beginTerms()
			c.addHoldSamples(k.free, k.full)
			used := c.placeRequests(0, 4*testSlots, 900*time.Millisecond)
			assert.Equal(t, len(used), k.started)
		})
	}
}

// A short queue waits for good endpoints; a long one uses slow ones too.
func TestOnDemandLongBacklogUsesSlowEndpoints(t *testing.T) {
	for _, k := range []struct {
		waiting int
		used    bool
	}{{1, false}, {40, true}} {
		c := newOnDemandCluster(2, 2)
		c.slowdown[0], c.slowdown[1] = 4, 4
		for i := range c.service.Ranks {
			// Makes grantWait, a share of the target, longer than the test.
			c.service.Ranks[i].Target = time.Minute
		}
		c.owner.SetService(c.now, c.service)
		c.beginTerms()
		c.addHoldSamples(100*time.Millisecond, 150*time.Millisecond)
		used := c.placeRequests(0, k.waiting, maxGrantWait/2)
		assert.Equal(t, len(used) > 0, k.used, "%d waiting: %d started", k.waiting, len(used))
	}
}

// Guards against requests that wait until their deadline because the owner of the slots
// has a version of the service without their rank.
func TestRanksThatTheOwnerLacksGetCredits(t *testing.T) {
	for _, ranks := range []int{0, 1} {
		c := newOnDemandCluster(2, 3)
		service := c.service
		service.Ranks = service.Ranks[:ranks]
		c.owner.SetService(c.now, service)
		borrower := 1 - c.index(c.owner.options.Self.Name)
		c.standardWaiting[borrower] = 3
		for range 500 {
			c.step()
		}
		assert.Equal(t, c.standardWaiting[borrower], 0, "the owner has %d ranks", ranks)
	}
}
