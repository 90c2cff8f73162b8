package daisyconfig_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
)

// TestInForceWithin gives the bounds of the confirmed configuration on 7 VMs.
func TestInForceWithin(t *testing.T) {
	const confirmed = 2 * time.Second
	cases := []struct {
		name  string
		bound time.Duration
		after func(c *cluster)
		lost  bool
	}{
		{name: "store up", bound: time.Second, after: func(*cluster) {}},
		{name: "store down right after", bound: 5 * time.Second, after: func(c *cluster) { c.faults[storeDown] = true }},
		{name: "a VM starts at that moment", bound: 5 * time.Second, after: func(c *cluster) { c.restart(c.vms[6]) }},
		{name: "a VM starts and the store is down", bound: 5 * time.Second, after: func(c *cluster) {
			c.restart(c.vms[6])
			c.faults[storeDown] = true
		}},
		{name: "the VM does not learn that its write took effect", bound: 5 * time.Second, after: func(*cluster) {}, lost: true},
		{name: "half of the messages lost", bound: 5 * time.Second, after: func(c *cluster) { c.faults[messagesLost] = true }},
		{name: "halves cut off from each other", bound: 5 * time.Second, after: func(c *cluster) { c.faults[halvesCutOff] = true }},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			worst := time.Duration(0)
			for seed := range seeds(1000) {
				c := newCluster(t, seed, clusterVMs)
				c.at(time.Second, func() { c.confirm(c.vms[1]) })
				c.at(confirmed, func() {
					c.faults[replyLost] = k.lost
					c.confirm(c.vms[0])
					k.after(c)
				})
				for end := confirmed + time.Second; c.atHead.IsZero() && end < confirmed+10*time.Second; end += time.Second {
					c.run(end)
				}
				assert.Assert(t, c.everywhere(), "seed %d", seed)
				worst = max(worst, c.atHead.Sub(c.start.Add(confirmed)))
			}
			t.Logf("in force everywhere within %v in %d seeds", worst, seeds(1000))
			assert.Assert(t, worst <= k.bound, "within %v", worst)
		})
	}
}

// TestStart gives the bounds and reasons of a VM that starts with nothing.
func TestStart(t *testing.T) {
	const started = 5 * time.Second
	cases := []struct {
		name   string
		others int
		fault  clusterFault
		within time.Duration
	}{
		{name: "peers and store up", others: 3, fault: faultKinds, within: time.Second},
		{name: "store down, peers up", others: 3, fault: storeDown, within: time.Second},
		{name: "alone, store up", others: 0, fault: faultKinds, within: time.Second},
		{name: "peers up, store slow", others: 3, fault: storeSlow, within: time.Second},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			for seed := range seeds(200) {
				c := newCluster(t, seed, k.others+1)
				c.at(time.Second, func() { c.confirm(c.vms[0]) })
				c.at(started, func() {
					c.faults[k.fault] = true
					c.restart(c.vms[0])
					c.atHead = time.Time{}
				})
				c.run(started + k.within)
				assert.Assert(t, c.everywhere(), "seed %d: %v", seed, c.vms[0].follower.Waiting())
			}
		})
	}
}

func TestWaitingSaysWhy(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.run(time.Second)
	assert.DeepEqual(t, c.vms[0].follower.Waiting(), daisyconfig.Waiting(daisyconfig.NothingConfirmed{}))
	c.faults[storeDown] = true
	c.restart(c.vms[0])
	c.run(30 * time.Second)
	assert.DeepEqual(t, c.vms[0].follower.Waiting(), daisyconfig.Waiting(daisyconfig.NoSource{}))
	c.faults[storeDown] = false
	c.confirm(c.vms[0])
	c.run(34 * time.Second)
	assert.Assert(t, c.vms[0].follower.Waiting() == nil)
}

// TestStoreDownForAnHour counts what a VM asks of a store that is down.
func TestStoreDownForAnHour(t *testing.T) {
	c := newCluster(t, 1, clusterVMs)
	c.at(time.Second, func() { c.confirm(c.vms[0]) })
	c.run(time.Minute)
	c.faults[storeDown] = true
	c.reads = 0
	c.run(time.Minute + time.Hour)
	assert.Assert(t, c.everywhere())
	t.Logf("%d reads in an hour by %d VMs", c.reads, clusterVMs)
	assert.Assert(t, c.reads < clusterVMs*3600/10, "%d reads", c.reads)
	c.faults[storeDown] = false
	c.confirm(c.vms[2])
	c.run(time.Minute + time.Hour + time.Second)
	assert.Assert(t, c.everywhere())
}

// TestMissingSnapshotIsAskedForSeldom counts what a VM asks of a store that names
// a snapshot and does not have it.
func TestMissingSnapshotIsAskedForSeldom(t *testing.T) {
	c := newCluster(t, 1, clusterVMs)
	c.at(time.Second, func() { c.confirm(c.vms[0]) })
	c.run(time.Minute)
	lost := &daisyconfig.Snapshot{Revision: 2, Hash: "lost"}
	c.heads = append(c.heads, storedHead{head: lost.Head(), at: c.now})
	c.run(time.Minute + time.Hour)
	t.Logf("%d reads of the snapshot in an hour by %d VMs", c.fetches, clusterVMs)
	assert.Assert(t, c.fetches < clusterVMs*3600/10, "%d reads", c.fetches)
	c.objects[lost.Hash] = lost
	c.run(time.Minute + time.Hour + 20*time.Second)
	assert.Assert(t, c.everywhere())
}

func TestTheTableSettlesAConflict(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	f := daisyconfig.NewFollower(now, rand.New(rand.NewPCG(1, 1)))
	ours := &daisyconfig.Snapshot{Revision: 4, Hash: "ours"}
	theirs := &daisyconfig.Snapshot{Revision: 4, Hash: "theirs"}
	f.Handle(now, daisyconfig.SnapshotOffered{From: "vm-2", Snapshot: ours})
	report := daisyconfig.ReportConflict{Revision: 4, InForce: "ours", Other: "theirs"}
	assert.Equal(t, f.Handle(now, daisyconfig.HeadAnnounced{From: "vm-3", Revision: 4, Hash: "theirs"})[0], daisyconfig.Decision(report))
	f.Handle(now, daisyconfig.SnapshotOffered{From: "vm-3", Snapshot: theirs})
	assert.Equal(t, f.InForce(), ours, "another VM's word is not enough")
	decisions := f.Handle(now, daisyconfig.HeadRead{Head: theirs.Head()})
	assert.Equal(t, decisions[len(decisions)-1], daisyconfig.Decision(daisyconfig.AskPeer{To: "vm-3", Hash: "theirs"}))
	f.Handle(now, daisyconfig.SnapshotOffered{From: "vm-3", Snapshot: theirs})
	assert.Equal(t, f.InForce(), theirs)
	f.Handle(now, daisyconfig.SnapshotOffered{From: "vm-2", Snapshot: ours})
	assert.Equal(t, f.InForce(), theirs)
}
