package daisycontroller_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
)

const (
	// changesPerDay is the expected rate of configuration changes.
	changesPerDay = 3200
	// readsPerSecond and writesPerSecond are the capacity of the platform. It is specified
	// as about two thousand reads and several hundred writes; the test uses the lower end.
	readsPerSecond  = 2000
	writesPerSecond = 200
	// platformShare is the share of the capacity that the VMs may use.
	platformShare = 0.5
	// supportedVMs is the number of VMs that the platform has to support.
	supportedVMs = 500
)

// countDuration returns the time for which requests are counted.
func countDuration() time.Duration {
	if testing.Short() {
		return 5 * time.Minute
	}
	return 30 * time.Minute
}

// countRequests counts the reads and writes that 7 VMs send to the platform, with a
// configuration change every interval; 0 means no changes.
func countRequests(t *testing.T, interval time.Duration) (reads, writes int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 7, 4*time.Second)
		defer f.Close()
		for i, n := range f.names() {
			self := daisyvm.VM{Name: n, Peers: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+i))}
			members := daisycontroller.NewMember(daisycontroller.MemberOptions{Self: self, Linker: noopLinker{}, List: f.platform, Seed: 1})
			defer members.Close()
		}
		assert.NilError(t, f.vm("vm-1").plans.ConfirmFirst(t.Context(), testIntent(45), "ana"))
		time.Sleep(time.Minute)
		f.platform.reads.Store(0)
		f.platform.writes.Store(0)
		end := time.Now().Add(countDuration())
		for i := 0; interval > 0 && time.Now().Add(interval).Before(end); i++ {
			time.Sleep(interval)
			v := f.vm(vmName(i % 7))
			p, err := v.plans.Create(t.Context(), testIntent(40+i%7), "ana")
			assert.NilError(t, err)
			_, err = v.plans.Confirm(t.Context(), p.ID, "ana")
			assert.NilError(t, err)
		}
		time.Sleep(time.Until(end))
		reads, writes = f.platform.reads.Load(), f.platform.writes.Load()
	})
	return reads, writes
}

func TestPlatformRequestRates(t *testing.T) {
	seconds := 7 * countDuration().Seconds()
	idleReads, idleWrites := countRequests(t, 0)
	reads, writes := countRequests(t, 24*time.Hour/changesPerDay)
	changes := float64(countDuration() / (24 * time.Hour / changesPerDay))
	t.Logf("idle: %.3f reads and %.3f writes per second and VM", float64(idleReads)/seconds, float64(idleWrites)/seconds)
	t.Logf("per change: %.1f reads and %.1f writes", float64(reads-idleReads)/changes, float64(writes-idleWrites)/changes)
	perChange := float64(changesPerDay) / (24 * 3600)
	allReads := supportedVMs*float64(idleReads)/seconds + perChange*float64(reads-idleReads)/changes
	allWrites := supportedVMs*float64(idleWrites)/seconds + perChange*float64(writes-idleWrites)/changes
	t.Logf("%d VMs at %d changes per day: %.1f reads and %.1f writes per second", supportedVMs, changesPerDay, allReads, allWrites)
	assert.Assert(t, allReads <= platformShare*readsPerSecond)
	assert.Assert(t, allWrites <= platformShare*writesPerSecond)
}
