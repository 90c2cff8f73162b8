package daisyfeed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyfeed"
	"daisyyoke/core/daisyvm"
)

// awaitingHarness returns a harness whose follower leaves its first read to peers.
func awaitingHarness(t *testing.T) *harness {
	h := &harness{t: t, now: start, follower: daisyfeed.NewFollower()}
	h.follower.AwaitPeers(start.Add(daisyfeed.FirstReadDelay(true, false)))
	h.handle(daisyfeed.TimePassed{})
	return h
}

func (h *harness) reads() int { return len(decisionsOf[daisyfeed.ReadRows](h.decisions)) }

func TestFirstReadIsLeftToPeers(t *testing.T) {
	peer := newHarness(t)
	peer.readFirstRows()
	h := awaitingHarness(t)
	h.handle(daisyfeed.RoleChanged{Reader: true, Peers: []daisyvm.Name{"vm-1"}})
	h.handle(daisyfeed.PeerVersionKnown{From: "vm-1", Last: 2})
	all := h.advance(time.Second)
	assert.Equal(t, len(decisionsOf[daisyfeed.ReadRows](all)), 0)
	assert.Assert(t, len(decisionsOf[daisyfeed.RequestChanges](all)) > 0)
	sent := decisionsOf[daisyfeed.SendChanges](peer.handle(daisyfeed.ChangesRequested{From: "vm-0"}))
	h.handle(daisyfeed.ChangesReceived{From: "vm-1", Changes: sent[0].Changes})
	assert.DeepEqual(t, h.keys(), []string{"a", "b"})
	h.handle(daisyfeed.RoleChanged{Position: 40, Peers: make([]daisyvm.Name, 122)})
	all = h.advance(time.Minute)
	assert.Equal(t, len(decisionsOf[daisyfeed.ReadRows](all))+len(decisionsOf[daisyfeed.AwaitChanges](all)), 0)
}

func TestFirstReadFollowsIfNoPeerHasRows(t *testing.T) {
	h := awaitingHarness(t)
	h.handle(daisyfeed.RoleChanged{Reader: true, Peers: []daisyvm.Name{"vm-1"}})
	assert.Equal(t, len(decisionsOf[daisyfeed.ReadRows](h.advance(1900*time.Millisecond))), 0)
	assert.Equal(t, len(decisionsOf[daisyfeed.ReadRows](h.advance(200*time.Millisecond))), 1)
}

func TestOnlyAColdStartLeavesTheFirstReadToOthers(t *testing.T) {
	assert.Assert(t, daisyfeed.FirstReadDelay(true, false) > 0)
	assert.Equal(t, daisyfeed.FirstReadDelay(true, true), time.Duration(0))
	assert.Equal(t, daisyfeed.FirstReadDelay(false, false), time.Duration(0))
}

// TestColdStartOfHundredsOfVMsIsReadByFew starts 123 VMs at once. Each VM that has rows tells
// eight others a round what it knows, and answers those that ask after a round trip.
func TestColdStartOfHundredsOfVMsIsReadByFew(t *testing.T) {
	const (
		vms       = 123
		seeds     = 3
		fanOut    = 8
		round     = 250 * time.Millisecond
		roundTrip = 10 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 1))
	followers := make([]*harness, vms)
	reads := 0
	handle := func(i int, e daisyfeed.Event) []daisyfeed.Decision {
		all := followers[i].handle(e)
		reads += followers[i].reads()
		return all
	}
	for i := range followers {
		if i < seeds {
			followers[i] = newHarness(t)
			reads++
			followers[i].readFirstRows()
			continue
		}
		followers[i] = awaitingHarness(t)
	}
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(roundTrip) {
		tell := now.Sub(start)%round == 0
		for i, f := range followers {
			f.now = now
			for _, d := range decisionsOf[daisyfeed.RequestChanges](handle(i, daisyfeed.TimePassed{})) {
				from := int(d.To[0])
				for _, s := range decisionsOf[daisyfeed.SendChanges](handle(from, daisyfeed.ChangesRequested{From: d.To, After: d.After})) {
					handle(i, daisyfeed.ChangesReceived{From: d.To, Changes: s.Changes})
				}
			}
			if !tell || !f.follower.Complete() {
				continue
			}
			for range fanOut {
				handle(random.IntN(vms), daisyfeed.PeerVersionKnown{From: daisyvm.Name([]byte{byte(i)}), Last: f.follower.Last()})
			}
		}
	}
	for i, f := range followers {
		assert.Assert(t, f.follower.Complete(), "VM %d has no rows", i)
	}
	assert.Assert(t, reads <= 2*seeds, "%d full reads", reads)
}
