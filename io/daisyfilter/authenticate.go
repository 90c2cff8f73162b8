package daisyfilter

import (
	"net/http"
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/io/daisyproblem"
)

// KeyReader reads the keys of client accounts from the header of a request. It returns
// digests only, so that no key leaves its implementation.
type KeyReader interface {
	// Key returns the digest of the key in a header. It reports false if there is none, or it
	// is not clear which one it is.
	Key(header http.Header) (daisyaccount.Digest, bool)
	// RemoveAccount removes all keys from a header, and the fields that tell endpoints the
	// account, which callers may not set.
	RemoveAccount(header http.Header)
	// AccountFields returns the canonical names of the fields that may have keys or tell
	// endpoints the account.
	AccountFields() []string
	// Challenge returns the value of WWW-Authenticate in a response with status 401.
	Challenge() string
}

// staleRetryAfter is the Retry-After time if the configuration may be too old to know a key.
// Another VM is likely to be up to date.
const staleRetryAfter = time.Second

// Authenticate sets the client account of a request from its key, and removes the key, so
// that it is not forwarded. It rejects a request without a known key unless its route is
// public. It does nothing if the configuration has no accounts.
type Authenticate struct {
	Reader KeyReader
	// MaxAge is the age up to which a configuration has all keys that were ever added and
	// have taken effect; 0 means any age.
	MaxAge time.Duration
	// Age bounds the age of the configuration, also across a suspension of the VM; nil if no
	// bound is needed, so that the estimate counts.
	Age ConfigurationAge
}

func (Authenticate) filter() {}

func (f Authenticate) apply(call *Call) Verdict {
	accounts := call.Config.Accounts(call.Service.ID.Fleet)
	if accounts == nil {
		return Continue{}
	}
	key, ok := f.Reader.Key(call.HTTP.Header)
	f.Reader.RemoveAccount(call.HTTP.Header)
	call.WithheldTrailers = f.Reader.AccountFields()
	if call.Route.Public {
		return Continue{}
	}
	if !ok {
		return f.unauthorized("The request needs exactly one key of a client account")
	}
	account, ok := accounts.Find(key)
	if !ok && f.mayBeStale(call) {
		return Reject{Problem: daisyproblem.Problem{
			Status:     http.StatusServiceUnavailable,
			Title:      "The key is not known yet",
			Run:        daisyrequest.NotRun,
			RetryAfter: staleRetryAfter,
		}}
	}
	if !ok {
		return f.unauthorized("The key belongs to no client account")
	}
	call.Account = account
	call.Request.Account = account.Name
	// A rank that the service does not declare would be less urgent than all that it does.
	if _, ok := call.Service.FindRank(account.Rank); ok {
		call.Request.Rank = account.Rank
	}
	return Continue{}
}

// mayBeStale reports whether a key may have been added that the configuration of a request
// does not have, although it has to be in force everywhere.
func (f Authenticate) mayBeStale(call *Call) bool {
	if f.MaxAge <= 0 {
		return false
	}
	age, known := call.ConfigAge()
	if f.Age != nil {
		age, known = f.Age.Now()-call.ConfigKnownAt, call.ConfigKnownAt > 0
	}
	return !known || age > f.MaxAge
}

func (f Authenticate) unauthorized(title string) Verdict {
	return Reject{Problem: daisyproblem.Problem{
		Status:    http.StatusUnauthorized,
		Title:     title,
		Run:       daisyrequest.NotRun,
		Challenge: f.Reader.Challenge(),
	}}
}
