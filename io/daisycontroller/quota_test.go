package daisycontroller

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyquota"
	"daisyyoke/core/daisyvm"
)

// quotaNetwork delivers messages between Quota controllers after a delay, while it is up.
type quotaNetwork struct {
	mu          sync.Mutex
	controllers map[daisyvm.Name]*Quota
	down        bool
	wg          sync.WaitGroup
}

type quotaSender struct {
	network *quotaNetwork
	self    daisyvm.Name
}

func (s quotaSender) Send(to daisyvm.Name, message daisymessage.Message) {
	n := s.network
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.controllers[to]
	if n.down || c == nil {
		return
	}
	n.wg.Go(func() {
		time.Sleep(time.Millisecond)
		c.Receive(s.self, message)
	})
}

var testQuotaKey = daisyquota.Key{Fleet: "f", Account: "a"}

func quotaSnapshot(q daisyaccount.Quota) *daisyconfig.Snapshot {
	return &daisyconfig.Snapshot{Revision: 1, Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{{
		Name: "f", Accounts: []daisyaccount.Account{{Name: "a", Quota: q}},
	}}}}
}

// newQuotas returns controllers that know each other and a quota, after their start.
func newQuotas(t *testing.T, q daisyaccount.Quota) (*quotaNetwork, []*Quota) {
	n := &quotaNetwork{controllers: make(map[daisyvm.Name]*Quota)}
	vms := []daisyvm.VM{{Name: "vm-1"}, {Name: "vm-2"}, {Name: "vm-3"}}
	var all []*Quota
	for _, v := range vms {
		c := NewQuota(QuotaOptions{Self: v, Sender: quotaSender{n, v.Name}, OthersExist: true, Now: time.Now})
		n.controllers[v.Name] = c
		c.Apply(quotaSnapshot(q))
		c.SetPeers(vms, nil)
		all = append(all, c)
	}
	t.Cleanup(func() {
		for _, c := range all {
			c.Close()
		}
		n.wg.Wait()
	})
	time.Sleep(10 * time.Second)
	return n, all
}

// Requests at all VMs at the same time get no more than the limit, each is decided within a
// tenth of a second, and capacity comes back when the refused ones are told.
func TestQuotaIsSharedByVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quota := daisyaccount.Quota{PerSecond: 20, Burst: 10}
		_, all := newQuotas(t, quota)
		var mu sync.Mutex
		passed, retryAfter := 0, time.Duration(0)
		var wg sync.WaitGroup
		for i := range 600 {
			wg.Go(func() {
				began := time.Now()
				token, after, ok := all[i%3].Take(context.Background(), testQuotaKey, quota)
				assert.Check(t, time.Since(began) <= 100*time.Millisecond)
				token.Sent()
				token.Release()
				mu.Lock()
				defer mu.Unlock()
				if ok {
					passed++
				} else {
					assert.Check(t, after > 0)
					retryAfter = max(retryAfter, after)
				}
			})
		}
		wg.Wait()
		assert.Assert(t, passed >= 10 && float64(passed) <= daisyquota.DefaultBounds.Limit(quota), "%d passed", passed)
		time.Sleep(retryAfter)
		token, _, ok := all[0].Take(context.Background(), testQuotaKey, quota)
		assert.Assert(t, ok)
		token.Release()
	})
}

// A token whose request was not sent, or has not run, serves another request.
func TestQuotaTokensOfRequestsNotRunComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quota := daisyaccount.Quota{PerSecond: 0.01, Burst: 1}
		_, all := newQuotas(t, quota)
		for i := range 200 {
			token, _, ok := all[0].Take(context.Background(), testQuotaKey, quota)
			assert.Assert(t, ok)
			if i%2 == 0 {
				token.Sent()
				token.NotRun()
			}
			token.Release()
		}
		passed := 0
		for range 200 {
			token, _, ok := all[0].Take(context.Background(), testQuotaKey, quota)
			if ok {
				passed++
			}
			token.Sent()
			token.Release()
		}
		assert.Assert(t, passed > 0 && float64(passed) <= daisyquota.DefaultBounds.Limit(quota))
	})
}

// A request whose caller goes, or whose coordinator is silent, does not wait for long, and
// Close does not wait for requests.
func TestQuotaWaitIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quota := daisyaccount.Quota{PerSecond: 20, Burst: 10}
		n, all := newQuotas(t, quota)
		n.mu.Lock()
		n.down = true
		n.mu.Unlock()
		for _, c := range all {
			began := time.Now()
			_, _, _ = c.Take(context.Background(), testQuotaKey, quota)
			assert.Assert(t, time.Since(began) <= 100*time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
			began = time.Now()
			_, _, _ = c.Take(ctx, testQuotaKey, quota)
			assert.Assert(t, time.Since(began) <= 5*time.Millisecond)
			cancel()
		}
	})
}
