package daisyfilter

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyquota"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
)

type noSender struct{}

func (noSender) Send(daisyvm.Name, daisymessage.Message) {}

// An account beyond its quota gets 429 with the time to come back, and accounts without one
// are not limited.
func TestQuotaRejectsRequestsBeyondIt(t *testing.T) {
	quotas := daisycontroller.NewQuota(daisycontroller.QuotaOptions{
		Self: daisyvm.VM{Name: "vm-1"}, Sender: noSender{}, Bounds: daisyquota.Bounds{Window: daisyquota.DefaultBounds.Window, Slack: 100},
	})
	defer quotas.Close()
	account := daisyaccount.Account{Name: "a", Quota: daisyaccount.Quota{PerSecond: 0.001, Burst: 1}}
	quotas.Apply(&daisyconfig.Snapshot{Intent: daisyconfig.Intent{Fleets: []daisyconfig.Fleet{{Name: "f", Accounts: []daisyaccount.Account{account}}}}})
	call := func(a daisyaccount.Account) (*Call, Verdict) {
		c := &Call{HTTP: httptest.NewRequest(http.MethodGet, "/", nil), Account: a}
		c.Request.Service.Fleet = "f"
		return c, Quota{Tokens: quotas}.apply(c)
	}
	var rejected *Reject
	for range 200 {
		c, v := call(account)
		if r, ok := v.(Reject); ok {
			rejected = &r
			break
		}
		c.Token.Sent()
		Quota{}.release(c)
	}
	assert.Assert(t, rejected != nil)
	assert.Equal(t, rejected.Problem.Status, http.StatusTooManyRequests)
	assert.Equal(t, rejected.Problem.Run, daisyrequest.NotRun)
	assert.Assert(t, rejected.Problem.RetryAfter > 0)
	c, v := call(daisyaccount.Account{Name: "b"})
	_, ok := v.(Continue)
	assert.Assert(t, ok)
	Quota{}.release(c)
}
