package daisycontroller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyplan"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyplatform"
)

// testHeartbeatInterval is the default heartbeat interval of tests.
const testHeartbeatInterval = 250 * time.Millisecond

// countingPlatform is a platform that counts the requests it receives, by kind.
type countingPlatform struct {
	daisyplatform.Platform
	reads, writes atomic.Int64
	// objects counts the object reads, which are also counted in reads.
	objects atomic.Int64
}

func (c *countingPlatform) GetRow(ctx context.Context, key string) daisyplatform.Answer {
	c.reads.Add(1)
	return c.Platform.GetRow(ctx, key)
}

func (c *countingPlatform) ListRows(ctx context.Context, prefix string) daisyplatform.Answer {
	c.reads.Add(1)
	return c.Platform.ListRows(ctx, prefix)
}

func (c *countingPlatform) GetObject(ctx context.Context, name string) daisyplatform.Answer {
	c.reads.Add(1)
	c.objects.Add(1)
	return c.Platform.GetObject(ctx, name)
}

func (c *countingPlatform) SwapRow(ctx context.Context, key string, expected daisyplatform.Version, value []byte) daisyplatform.Answer {
	c.writes.Add(1)
	return c.Platform.SwapRow(ctx, key, expected, value)
}

func (c *countingPlatform) ListVMs(ctx context.Context) daisyplatform.Answer {
	c.reads.Add(1)
	return c.Platform.ListVMs(ctx)
}

func (c *countingPlatform) AnnounceVM(ctx context.Context, vm daisyplatform.ListedVM) daisyplatform.Answer {
	c.writes.Add(1)
	return c.Platform.AnnounceVM(ctx, vm)
}

func (c *countingPlatform) PutObject(ctx context.Context, name string, data []byte) daisyplatform.Answer {
	c.writes.Add(1)
	return c.Platform.PutObject(ctx, name, data)
}

// fleet is a group of VMs that exchange messages in virtual time.
type fleet struct {
	t                 *testing.T
	platform          *countingPlatform
	faulty            *daisyplatform.Faulty
	stopped           chan struct{}
	wg                sync.WaitGroup
	heartbeatInterval time.Duration

	mu     sync.Mutex
	random *rand.Rand
	vms    map[daisyvm.Name]*configVM
}

func newFleet(t *testing.T, seed uint64, vms int, heartbeatInterval time.Duration) *fleet {
	t.Helper()
	faulty := daisyplatform.NewFaulty(daisyplatform.NewEmbedded(), seed)
	f := &fleet{
		t:                 t,
		platform:          &countingPlatform{Platform: faulty},
		faulty:            faulty,
		stopped:           make(chan struct{}),
		heartbeatInterval: heartbeatInterval,
		random:            rand.New(rand.NewPCG(seed, 9)),
		vms:               make(map[daisyvm.Name]*configVM),
	}
	for i := range vms {
		f.start(vmName(i), seed)
	}
	return f
}

func vmName(i int) daisyvm.Name { return daisyvm.Name(fmt.Sprintf("vm-%d", i+1)) }

func (f *fleet) start(name daisyvm.Name, seed uint64) {
	v := newConfigVM(f.t, name, f.platform, &fleetSender{fleet: f, from: name}, seed)
	f.mu.Lock()
	f.vms[name] = v
	first := time.Duration(f.random.Int64N(int64(f.heartbeatInterval)))
	f.mu.Unlock()
	f.wg.Go(func() {
		timer := time.NewTimer(first)
		for {
			select {
			case <-timer.C:
				f.sendHeartbeats(name)
				timer.Reset(f.heartbeatInterval)
			case <-f.stopped:
				return
			}
		}
	})
}

// sendHeartbeats sends a heartbeat with the configuration in force on a VM to all other VMs.
func (f *fleet) sendHeartbeats(name daisyvm.Name) {
	heartbeat := daisymessage.Heartbeat{VM: daisyvm.VM{Name: name}}
	if s := f.vm(name).config.InForce(); s != nil {
		heartbeat.Revision, heartbeat.Hash = s.Revision, s.Hash
	}
	for _, n := range f.names() {
		if n != name {
			(&fleetSender{fleet: f, from: name}).Send(n, heartbeat)
		}
	}
}

func (f *fleet) names() []daisyvm.Name {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []daisyvm.Name
	for i := range len(f.vms) {
		names = append(names, vmName(i))
	}
	return names
}

func (f *fleet) vm(name daisyvm.Name) *configVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[name]
}

func (f *fleet) Close() {
	close(f.stopped)
	f.wg.Wait()
	for _, n := range f.names() {
		f.vm(n).Close()
	}
	time.Sleep(time.Second)
}

// waitInForce waits for up to a minute until a plan is in force on all VMs, and returns the
// time that this took.
func (f *fleet) waitInForce(plan daisyplan.ID) time.Duration {
	start := time.Now()
	for time.Since(start) < time.Minute {
		count := 0
		for _, n := range f.names() {
			if s := f.vm(n).config.InForce(); s != nil && s.PlanID == string(plan) {
				count++
			}
		}
		if count == len(f.names()) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// fleetSender sends the messages of one VM, each with a random delay of up to 2 ms.
type fleetSender struct {
	fleet *fleet
	from  daisyvm.Name
}

func (l *fleetSender) Send(to daisyvm.Name, message daisymessage.Message) {
	l.fleet.mu.Lock()
	delay := time.Duration(l.fleet.random.Int64N(int64(2 * time.Millisecond)))
	l.fleet.mu.Unlock()
	time.AfterFunc(delay, func() {
		if v := l.fleet.vm(to); v != nil {
			v.config.Receive(l.from, message)
		}
	})
}

// seedCount returns the number of seeds to test, which is lower in short mode.
func seedCount() uint64 {
	if testing.Short() {
		return 4
	}
	return 20
}

func TestConfirmedPlanIsInForceOnSevenVMs(t *testing.T) {
	cases := []struct {
		name  string
		bound time.Duration
		// before runs immediately before the confirmation, after immediately after it.
		before, after func(f *fleet)
	}{
		{name: "store up", bound: time.Second},
		{name: "store down right after", bound: 5 * time.Second, after: func(f *fleet) { f.faulty.SetFaults(daisyplatform.Down{}) }},
		{name: "a VM starts at that moment", bound: 5 * time.Second, after: func(f *fleet) {
			f.start(vmName(7), 1)
			f.faulty.SetFaults(daisyplatform.Down{})
		}},
		{name: "lost replies", bound: 5 * time.Second, before: func(f *fleet) { f.faulty.SetFaults(daisyplatform.LostReplies{Share: 0.9}) }},
		{name: "lagging reads", bound: 5 * time.Second, before: func(f *fleet) { f.faulty.SetFaults(daisyplatform.Lagging{By: 3 * time.Second}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			worst := time.Duration(0)
			for seed := range seedCount() {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, seed, 7, testHeartbeatInterval)
					defer f.Close()
					worst = max(worst, confirmOnFleet(t, f, c.before, c.after))
				})
			}
			t.Logf("in force within %v in %d seeds", worst, seedCount())
			assert.Assert(t, worst <= c.bound, "%v", worst)
		})
	}
}

func confirmOnFleet(t *testing.T, f *fleet, before, after func(f *fleet)) time.Duration {
	t.Helper()
	first := f.vm("vm-1")
	assert.NilError(t, first.plans.ConfirmFirst(t.Context(), testIntent(45), "ana"))
	time.Sleep(10 * time.Second)
	p, err := first.plans.Create(t.Context(), testIntent(46), "ana")
	assert.NilError(t, err)
	if before != nil {
		before(f)
	}
	start := time.Now()
	_, err = first.plans.Confirm(t.Context(), p.ID, "ana")
	assert.NilError(t, err)
	t.Logf("confirmed in %v", time.Since(start))
	if after != nil {
		after(f)
	}
	return f.waitInForce(p.ID)
}

func TestConfigurationStaysInForceWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 7, 2*time.Second)
		defer f.Close()
		confirmOnFleet(t, f, nil, nil)
		f.faulty.SetFaults(daisyplatform.Down{})
		revision := f.vm("vm-1").config.InForce().Revision
		_, err := f.vm("vm-1").plans.Create(t.Context(), testIntent(1), "ana")
		assert.ErrorContains(t, err, "unavailable")
		time.Sleep(time.Hour)
		f.start(vmName(7), 1)
		time.Sleep(3 * time.Second)
		for _, n := range f.names() {
			assert.Equal(t, f.vm(n).config.InForce().Revision, revision)
			assert.Equal(t, f.vm(n).config.WaitReason(), nil)
		}
	})
}

func TestSnapshotWithWrongHashIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1, testHeartbeatInterval)
		defer f.Close()
		confirmOnFleet(t, f, nil, nil)
		forged := *f.vm("vm-1").config.InForce()
		forged.Revision = 9
		f.vm("vm-1").config.Receive("vm-2", daisymessage.SnapshotGiven{Snapshot: forged})
		synctest.Wait()
		assert.Equal(t, f.vm("vm-1").config.InForce().Revision, daisyconfig.Revision(2))
	})
}
