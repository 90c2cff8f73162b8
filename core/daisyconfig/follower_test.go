package daisyconfig_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
)

// TestPropagationTime checks how long a confirmed configuration takes to come into
// force on all of 7 VMs.
func TestPropagationTime(t *testing.T) {
	const confirmed = 2 * time.Second
	cases := []struct {
		name  string
		bound time.Duration
		after func(c *cluster)
		lost  bool
	}{
		{name: "platform up", bound: time.Second, after: func(*cluster) {}},
		{name: "platform down right after", bound: 5 * time.Second, after: func(c *cluster) { c.faults[platformDown] = true }},
		{name: "a VM starts at that moment", bound: 5 * time.Second, after: func(c *cluster) { c.restart(c.vms[6]) }},
		{name: "a VM starts and the platform is down", bound: 5 * time.Second, after: func(c *cluster) {
			c.restart(c.vms[6])
			c.faults[platformDown] = true
		}},
		{name: "the confirming VM does not learn that its write took effect", bound: 5 * time.Second, after: func(*cluster) {}, lost: true},
		{name: "half of the messages lost", bound: 5 * time.Second, after: func(c *cluster) { c.faults[messagesLost] = true }},
		{name: "network partitioned into halves", bound: 5 * time.Second, after: func(c *cluster) { c.faults[networkPartitioned] = true }},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			worst := time.Duration(0)
			for seed := range seedCount(1000) {
				c := newCluster(t, seed, clusterVMs)
				c.scheduleAt(time.Second, func() { c.confirm(c.vms[1]) })
				c.scheduleAt(confirmed, func() {
					c.faults[confirmReplyLost] = k.lost
					c.confirm(c.vms[0])
					k.after(c)
				})
				for end := confirmed + time.Second; c.convergedAt.IsZero() && end < confirmed+10*time.Second; end += time.Second {
					c.run(end)
				}
				assert.Assert(t, c.converged(), "seed %d", seed)
				worst = max(worst, c.convergedAt.Sub(c.start.Add(confirmed)))
			}
			t.Logf("in force on all VMs within %v in %d seeds", worst, seedCount(1000))
			assert.Assert(t, worst <= k.bound, "took %v, longer than the bound", worst)
		})
	}
}

// TestStartWithoutConfiguration checks how long a VM that starts without a
// configuration takes to put the newest one in force.
func TestStartWithoutConfiguration(t *testing.T) {
	const started = 5 * time.Second
	cases := []struct {
		name   string
		others int
		// fault is in effect from started on; faultKindCount means no fault.
		fault  clusterFault
		within time.Duration
	}{
		{name: "peers and platform up", others: 3, fault: faultKindCount, within: time.Second},
		{name: "platform down, peers up", others: 3, fault: platformDown, within: time.Second},
		{name: "alone, platform up", others: 0, fault: faultKindCount, within: time.Second},
		{name: "peers up, platform slow", others: 3, fault: platformSlow, within: time.Second},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			for seed := range seedCount(200) {
				c := newCluster(t, seed, k.others+1)
				c.scheduleAt(time.Second, func() { c.confirm(c.vms[0]) })
				c.scheduleAt(started, func() {
					c.faults[k.fault] = true
					c.restart(c.vms[0])
					c.convergedAt = time.Time{}
				})
				c.run(started + k.within)
				assert.Assert(t, c.converged(), "seed %d: %v", seed, c.vms[0].follower.WaitReason())
			}
		})
	}
}

func TestWaitReason(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.run(time.Second)
	assert.DeepEqual(t, c.vms[0].follower.WaitReason(), daisyconfig.WaitReason(daisyconfig.NothingConfirmed{}))
	c.faults[platformDown] = true
	c.restart(c.vms[0])
	c.run(30 * time.Second)
	assert.DeepEqual(t, c.vms[0].follower.WaitReason(), daisyconfig.WaitReason(daisyconfig.NoSource{}))
	c.faults[platformDown] = false
	c.confirm(c.vms[0])
	c.run(34 * time.Second)
	assert.Assert(t, c.vms[0].follower.WaitReason() == nil)
}

// TestPlatformDownForAnHour checks that VMs rarely read from a platform that is down, and
// that they recover when it is up again.
func TestPlatformDownForAnHour(t *testing.T) {
	c := newCluster(t, 1, clusterVMs)
	c.scheduleAt(time.Second, func() { c.confirm(c.vms[0]) })
	c.run(time.Minute)
	c.faults[platformDown] = true
	c.platformReads = 0
	c.run(time.Minute + time.Hour)
	assert.Assert(t, c.converged())
	t.Logf("%d reads in an hour by %d VMs", c.platformReads, clusterVMs)
	assert.Assert(t, c.platformReads < clusterVMs*3600/10, "%d reads", c.platformReads)
	c.faults[platformDown] = false
	c.confirm(c.vms[2])
	c.run(time.Minute + time.Hour + time.Second)
	assert.Assert(t, c.converged())
}

// TestMissingSnapshotReadRate checks that VMs rarely retry reading a snapshot that
// the head names but the object store does not have.
func TestMissingSnapshotReadRate(t *testing.T) {
	c := newCluster(t, 1, clusterVMs)
	c.scheduleAt(time.Second, func() { c.confirm(c.vms[0]) })
	c.run(time.Minute)
	lost := &daisyconfig.Snapshot{Revision: 2, Hash: "lost"}
	c.heads = append(c.heads, tableEntry{head: lost.Head(), at: c.now})
	c.run(time.Minute + time.Hour)
	t.Logf("%d reads of the snapshot in an hour by %d VMs", c.snapshotReads, clusterVMs)
	assert.Assert(t, c.snapshotReads < clusterVMs*3600/10, "%d reads", c.snapshotReads)
	c.objects[lost.Hash] = lost
	c.run(time.Minute + time.Hour + 20*time.Second)
	assert.Assert(t, c.converged())
}

func TestTableHeadResolvesConflict(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	f := daisyconfig.NewFollower(now, rand.New(rand.NewPCG(1, 1)))
	ours := &daisyconfig.Snapshot{Revision: 4, Hash: "ours"}
	theirs := &daisyconfig.Snapshot{Revision: 4, Hash: "theirs"}
	f.Handle(now, daisyconfig.SnapshotReceived{From: "vm-2", Snapshot: ours})
	report := daisyconfig.ReportConflict{Revision: 4, InForce: "ours", Other: "theirs"}
	assert.Equal(t, f.Handle(now, daisyconfig.HeadAnnounced{From: "vm-3", Revision: 4, Hash: "theirs"})[0], daisyconfig.Decision(report))
	f.Handle(now, daisyconfig.SnapshotReceived{From: "vm-3", Snapshot: theirs})
	assert.Equal(t, f.InForce(), ours, "a snapshot from another VM replaced one of the same revision")
	decisions := f.Handle(now, daisyconfig.HeadRead{Head: theirs.Head()})
	assert.Equal(t, decisions[len(decisions)-1], daisyconfig.Decision(daisyconfig.RequestSnapshot{To: "vm-3", Hash: "theirs"}))
	f.Handle(now, daisyconfig.SnapshotReceived{From: "vm-3", Snapshot: theirs})
	assert.Equal(t, f.InForce(), theirs)
	f.Handle(now, daisyconfig.SnapshotReceived{From: "vm-2", Snapshot: ours})
	assert.Equal(t, f.InForce(), theirs)
}
