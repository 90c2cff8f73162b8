package daisystop_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisystop"
	"daisyyoke/core/daisyvm"
)

var start = time.Date(2026, 11, 2, 8, 0, 0, 0, time.UTC)

const tick = 100 * time.Millisecond

// simulatedVM is a VM with its stop, and what it was told to do.
type simulatedVM struct {
	stop      *daisystop.Stop
	announced daisystop.Announce
	acquiring bool
	leased    bool
	closed    bool
	finished  bool
	// requestEnds are the times at which the requests in flight finish.
	requestEnds []time.Time
	paused      bool
}

// cluster is a set of VMs with one lease, in virtual time.
type cluster struct {
	now    time.Time
	random *rand.Rand
	vms    []*simulatedVM
	holder *simulatedVM
	// renewed is when the lease was last renewed.
	renewed      time.Time
	platformDown bool
}

const leaseTTL = 15 * time.Second

// seeds returns a tenth of the seeds in short runs: Stop has no concurrency to check for races.
func seeds(count uint64) uint64 {
	if testing.Short() {
		return count / 10
	}
	return count
}

func newCluster(seed uint64, size int) *cluster {
	cl := &cluster{now: start, random: rand.New(rand.NewPCG(seed, 7))}
	for range size {
		cl.vms = append(cl.vms, &simulatedVM{stop: daisystop.NewStop(daisystop.InTurn{})})
	}
	return cl
}

func (cl *cluster) handle(v *simulatedVM, event daisystop.Event) {
	for _, decision := range v.stop.Handle(cl.now, event) {
		switch d := decision.(type) {
		case daisystop.AcquireLease:
			v.acquiring = true
		case daisystop.Announce:
			v.announced = d
		case daisystop.CloseCallers:
			v.closed = true
		case daisystop.ReleaseLease:
			cl.release(v)
		case daisystop.Finish:
			v.finished = true
		}
	}
}

func (cl *cluster) release(v *simulatedVM) {
	v.acquiring, v.leased = false, false
	if cl.holder == v {
		cl.holder = nil
	}
}

func (cl *cluster) advance() {
	cl.now = cl.now.Add(tick)
	cl.updateLease()
	for i, v := range cl.vms {
		if v.paused || v.finished {
			continue
		}
		if v.leased && cl.holder != v {
			v.leased = false
			cl.handle(v, daisystop.LeaseLost{})
		}
		cl.handle(v, cl.peersSeen(i))
		if wake := v.stop.NextWake(); !wake.IsZero() && !cl.now.Before(wake) {
			cl.handle(v, daisystop.TimePassed{})
		}
		v.requestEnds = slices.DeleteFunc(v.requestEnds, func(end time.Time) bool { return !cl.now.Before(end) })
		if v.closed && len(v.requestEnds) == 0 {
			cl.handle(v, daisystop.CallersGone{})
		}
	}
}

// updateLease renews the lease, lets it expire, and grants it to a VM that waits for it.
func (cl *cluster) updateLease() {
	if cl.holder != nil && !cl.holder.paused && !cl.platformDown {
		cl.renewed = cl.now
	}
	if cl.holder != nil && cl.now.Sub(cl.renewed) > leaseTTL {
		cl.holder = nil
	}
	if cl.holder != nil || cl.platformDown {
		return
	}
	for _, i := range cl.random.Perm(len(cl.vms)) {
		if v := cl.vms[i]; v.acquiring && !v.paused && !v.finished {
			cl.holder, v.leased, v.acquiring, cl.renewed = v, true, false, cl.now
			cl.handle(v, daisystop.LeaseAcquired{})
			return
		}
	}
}

func (cl *cluster) peersSeen(self int) daisystop.PeersSeen {
	var p daisystop.PeersSeen
	for i, v := range cl.vms {
		if i == self || v.finished || v.paused {
			continue
		}
		if v.announced.Leaving {
			p.Leaving++
		}
		if v.announced.Stopping && !v.announced.Leaving && i < self {
			p.Ahead++
		}
	}
	return p
}

func (cl *cluster) countLeaving() int {
	leaving := 0
	for _, v := range cl.vms {
		if !v.paused && v.stop.Phase() == daisystop.Leaving {
			leaving++
		}
	}
	return leaving
}

func (cl *cluster) allFinished() bool {
	return !slices.ContainsFunc(cl.vms, func(v *simulatedVM) bool { return !v.finished })
}

func TestVMsStopOneAtATime(t *testing.T) {
	for _, platformDown := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform down %t", platformDown), func(t *testing.T) {
			cl := newCluster(1, 6)
			cl.platformDown = platformDown
			for _, v := range cl.vms {
				cl.handle(v, daisystop.StopWanted{})
			}
			for !cl.allFinished() {
				cl.advance()
				assert.Assert(t, cl.countLeaving() <= 1)
				assert.Assert(t, cl.now.Sub(start) < daisystop.WaitLimit)
			}
		})
	}
}

func TestOneVMLeavesAtATimeAfterLeaseHolderWasPaused(t *testing.T) {
	for seed := range seeds(200) {
		cl := newCluster(seed, 2)
		a, b := cl.vms[0], cl.vms[1]
		cl.handle(a, daisystop.StopWanted{})
		cl.advance()
		assert.Equal(t, a.stop.Phase(), daisystop.Leaving)
		a.paused = true
		cl.handle(b, daisystop.StopWanted{})
		for b.stop.Phase() != daisystop.Leaving {
			cl.advance()
		}
		a.paused = false
		if seed%2 == 0 {
			cl.handle(a, daisystop.TimePassed{})
		}
		for !cl.allFinished() {
			cl.advance()
			assert.Assert(t, cl.countLeaving() <= 1, "seed %d", seed)
		}
	}
}

func TestDeadLeaseHolderDoesNotBlockTheNextVM(t *testing.T) {
	cl := newCluster(1, 2)
	cl.handle(cl.vms[0], daisystop.StopWanted{})
	cl.advance()
	cl.vms[0].paused = true
	cl.handle(cl.vms[1], daisystop.StopWanted{})
	for !cl.vms[1].finished {
		cl.advance()
		assert.Assert(t, cl.now.Sub(start) < time.Minute)
	}
}

func TestOnlyVMFinishesItsRequestsAndStops(t *testing.T) {
	cl := newCluster(1, 1)
	v := cl.vms[0]
	v.requestEnds = []time.Time{start.Add(time.Second)}
	cl.handle(v, daisystop.PeersSeen{Alone: true})
	cl.handle(v, daisystop.StopWanted{})
	assert.Assert(t, v.closed && !v.finished)
	for !v.finished {
		cl.advance()
		assert.Assert(t, cl.now.Sub(start) <= time.Second)
	}
	assert.Equal(t, cl.now, start.Add(time.Second))
}

// caller resolves addresses, caches the answer and sends requests to the first VM in it.
type caller struct {
	vm    *simulatedVM
	since time.Time
}

// TestPlannedStopOfOneOfSixVMsLosesNoRequest lets callers use their cached answers up to
// the last moment. The answers come from VMs that learn of the leaving up to a second late.
func TestPlannedStopOfOneOfSixVMsLosesNoRequest(t *testing.T) {
	for seed := range seeds(100) {
		cl := newCluster(seed, 6)
		callers := make([]caller, 50)
		var left time.Time
		refused, served := 0, 0
		for i := 0; !cl.vms[0].finished; i++ {
			if i == 100 {
				cl.handle(cl.vms[0], daisystop.StopWanted{})
			}
			cl.advance()
			if left.IsZero() && cl.vms[0].announced.Leaving {
				left = cl.now
			}
			for c := range callers {
				cl.renew(&callers[c], left)
				v := callers[c].vm
				if v.closed {
					refused++
					continue
				}
				served++
				v.requestEnds = append(v.requestEnds, cl.now.Add(time.Duration(cl.random.IntN(20_000))*time.Millisecond))
			}
		}
		assert.Equal(t, len(cl.vms[0].requestEnds), 0, "seed %d", seed)
		assert.Equal(t, refused, 0, "seed %d", seed)
		assert.Assert(t, served > 0)
	}
}

func (cl *cluster) renew(c *caller, left time.Time) {
	if c.vm != nil && cl.now.Sub(c.since) < daisyvm.AnswerTTL {
		return
	}
	if c.vm == nil {
		// The first answers of the callers have different ages.
		c.since = cl.now.Add(-time.Duration(cl.random.Int64N(int64(daisyvm.AnswerTTL))))
	} else {
		c.since = cl.now
	}
	first := 0
	if late := time.Duration(cl.random.IntN(1000)) * time.Millisecond; !left.IsZero() && cl.now.Sub(left) > late {
		first = 1
	}
	c.vm = cl.vms[first+cl.random.IntN(len(cl.vms)-first)]
}
