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
	// changesADay is the expected rate of configuration changes.
	changesADay = 3200
	// readsASecond and writesASecond are the capacity of the platform. It is specified
	// as about two thousand reads and several hundred writes; the test uses the lower end.
	readsASecond  = 2000
	writesASecond = 200
	// platformShare is the share of the capacity that the VMs may use.
	platformShare = 0.5
	// vmsToCarry is the number of VMs that the platform has to support.
	vmsToCarry = 500
)

// counting returns the time for which requests are counted.
func counting() time.Duration {
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
			members := daisycontroller.NewMember(daisycontroller.MemberOptions{Self: self, Linker: noLinks{}, List: f.platform, Seed: 1})
			defer members.Close()
		}
		assert.NilError(t, f.vm("vm-1").plans.ConfirmFirst(t.Context(), testIntent(45), "ana"))
		time.Sleep(time.Minute)
		f.platform.reads.Store(0)
		f.platform.writes.Store(0)
		end := time.Now().Add(counting())
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

func TestPlatformRequests(t *testing.T) {
	seconds := 7 * counting().Seconds()
	restReads, restWrites := countRequests(t, 0)
	reads, writes := countRequests(t, 24*time.Hour/changesADay)
	changes := float64(counting() / (24 * time.Hour / changesADay))
	t.Logf("idle: %.3f reads and %.3f writes per second and VM", float64(restReads)/seconds, float64(restWrites)/seconds)
	t.Logf("per change: %.1f reads and %.1f writes", float64(reads-restReads)/changes, float64(writes-restWrites)/changes)
	perChange := float64(changesADay) / (24 * 3600)
	allReads := vmsToCarry*float64(restReads)/seconds + perChange*float64(reads-restReads)/changes
	allWrites := vmsToCarry*float64(restWrites)/seconds + perChange*float64(writes-restWrites)/changes
	t.Logf("%d VMs at %d changes per day: %.1f reads and %.1f writes per second", vmsToCarry, changesADay, allReads, allWrites)
	assert.Assert(t, allReads <= platformShare*readsASecond)
	assert.Assert(t, allWrites <= platformShare*writesASecond)
}
