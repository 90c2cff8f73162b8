package daisyforward_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyquota"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyconnection"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyfilter"
	"daisyyoke/io/daisyforward"
)

type noPeers struct{}

func (noPeers) Send(daisyvm.Name, daisymessage.Message) {}

// A token of the quota must come back from requests that were not run, and must not from one
// that an endpoint ran: the account would be refused too early, or get more than its quota.
func TestTokensOfRequestsThatWereNotRunComeBack(t *testing.T) {
	var later atomic.Int64
	now := func() time.Time { return time.Now().Add(time.Duration(later.Load())) }
	quotas := daisycontroller.NewQuota(daisycontroller.QuotaOptions{
		Self: daisyvm.VM{Name: "vm-1"}, Sender: noPeers{}, Now: now,
		// The bucket of a new coordinator holds a fifth of the slack, a single token.
		Bounds: daisyquota.Bounds{Window: 5 * time.Second, Slack: 5},
	})
	t.Cleanup(quotas.Close)
	account := daisyaccount.Account{Name: "a", Quota: daisyaccount.Quota{PerSecond: 1e-6}}
	served := startEndpoint(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for _, c := range []struct {
		endpoint netip.AddrPort
		status   int
		requests int
	}{{unusedAddress(t), http.StatusServiceUnavailable, 20}, {served, http.StatusOK, 1}, {served, http.StatusTooManyRequests, 1}} {
		pool := daisyconnection.NewVerifyingPool(daisyconnection.DefaultLimits(), daisyforward.NewNative("vm-1"))
		routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: daisyvm.VM{Name: "vm-1"}, Checker: pool})
		snapshot := newSnapshot(newSettings(c.endpoint))
		snapshot.Intent.Fleets[0].Accounts = []daisyaccount.Account{account}
		routes.Apply(snapshot)
		pool.Apply(snapshot)
		quotas.Apply(snapshot)
		later.Store(int64(10 * time.Second))
		forwarder := daisyforward.New(daisyforward.Options{Self: "vm-1", Routes: routes, Pool: pool, Limits: daisyforward.DefaultLimits()})
		index := daisycontroller.NewIndex()
		index.Apply(snapshot)
		chain := daisyfilter.NewChain(daisyfilter.Options{
			Forwarder: withAccount{forwarder, quotas, account},
			Filters:   []daisyfilter.Filter{daisyfilter.AwaitConfiguration{Configuration: index}, daisyfilter.Identify{}, daisyfilter.Classify{}},
		})
		for range c.requests {
			w := httptest.NewRecorder()
			chain.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://lookups.vigia-lar/", nil))
			assert.Equal(t, w.Code, c.status)
		}
		forwarder.Close()
		routes.Close()
		pool.Close()
	}
}

// withAccount forwards requests as those of an account, within its quota.
type withAccount struct {
	forwarder *daisyforward.Forwarder
	quotas    *daisycontroller.Quota
	account   daisyaccount.Account
}

func (f withAccount) Forward(w http.ResponseWriter, call *daisyfilter.Call) {
	key := daisyquota.Key{Fleet: call.Request.Service.Fleet, Account: f.account.Name}
	token, _, ok := f.quotas.Take(call.HTTP.Context(), key, f.account.Quota)
	if !ok {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer token.Release()
	call.Token = token
	f.forwarder.Forward(w, call)
}
