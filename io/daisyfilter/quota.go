package daisyfilter

import (
	"net/http"

	"daisyyoke/core/daisyquota"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/io/daisycontroller"
	"daisyyoke/io/daisyproblem"
)

// Quota lets requests pass within the quotas of their client accounts. It follows the filters
// that set the account and the service.
type Quota struct{ Tokens *daisycontroller.Quota }

func (Quota) filter() {}

func (f Quota) apply(call *Call) Verdict {
	if !call.Account.Quota.Limited() {
		return Continue{}
	}
	account := daisyquota.Key{Fleet: call.Request.Service.Fleet, Account: call.Account.Name}
	token, retryAfter, ok := f.Tokens.Take(call.HTTP.Context(), account, call.Account.Quota)
	if ok {
		call.Token = token
		return Continue{}
	}
	return Reject{Problem: daisyproblem.Problem{
		Status:     http.StatusTooManyRequests,
		Title:      "The quota of the account is used up",
		Run:        daisyrequest.NotRun,
		RetryAfter: retryAfter,
	}}
}

// release returns the token of a request that was not sent.
func (Quota) release(call *Call) { call.Token.Release() }
