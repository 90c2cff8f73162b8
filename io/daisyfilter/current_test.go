package daisyfilter

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyaccount"
)

// fakeAge is a bound of the age of a configuration that was current at known, at a time.
type fakeAge struct{ now, known time.Duration }

func (a fakeAge) Now() time.Duration     { return a.now }
func (a fakeAge) KnownAt() time.Duration { return a.known }

// Guards against a revoked key that is accepted, also when the VM was suspended after the
// request had arrived, and against requests without a key that are rejected.
func TestRequestsAreRejectedWhenTheirKeyMayBeRevoked(t *testing.T) {
	const current = time.Hour
	for _, c := range []struct {
		name       string
		known, age time.Duration
		account    daisyaccount.Name
		revocation time.Duration
		passes     bool
	}{
		{name: "current", known: current, age: 4800 * time.Millisecond, account: "a", revocation: 5 * time.Second, passes: true},
		{name: "within the margin", known: current, age: 4900 * time.Millisecond, account: "a", revocation: 5 * time.Second},
		{name: "suspended", known: current, age: time.Hour, account: "a", revocation: 5 * time.Second},
		{name: "no bound", age: time.Second, account: "a", revocation: 5 * time.Second},
		{name: "no account", known: current, age: time.Hour, revocation: 5 * time.Second, passes: true},
		{name: "no limit", known: current, age: time.Hour, account: "a", passes: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			configuration := make(fakeConfiguration)
			close(configuration)
			call := &Call{HTTP: httptest.NewRequest("GET", "/", nil), Account: daisyaccount.Account{Name: c.account}}
			AwaitConfiguration{Configuration: configuration, Age: fakeAge{known: c.known}}.apply(call)
			// The age is that of the configuration that was read, not of a later one.
			f := NewRequireCurrent(RequireCurrentOptions{Age: fakeAge{now: c.known + c.age, known: c.known + c.age}, RevocationTime: c.revocation})
			verdict := f.apply(call)
			_, passes := verdict.(Continue)
			assert.Equal(t, passes, c.passes)
			if r, ok := verdict.(Reject); ok {
				assert.Equal(t, r.Problem.Status, http.StatusServiceUnavailable)
				assert.Assert(t, r.Problem.RetryAfter > 0 && call.ConfigAgeBound != 0)
			}
		})
	}
}

// Guards against a new key that is refused for good by a VM that was suspended when it was
// added, although the estimate of the age of the configuration leaves the suspension out.
func TestUnknownKeyIsNotRefusedForGoodAfterASuspension(t *testing.T) {
	for age, status := range map[time.Duration]int{time.Second: http.StatusUnauthorized, time.Minute: http.StatusServiceUnavailable} {
		call := newKeyCall("k-9", matchRoute, daisyaccount.Account{Name: "a", Keys: []daisyaccount.Digest{daisyaccount.DigestOf("k-1")}})
		call.ConfigKnownAt = time.Hour
		f := Authenticate{Reader: fakeKeys{}, MaxAge: 2500 * time.Millisecond, Age: fakeAge{now: time.Hour + age}}
		assert.Equal(t, f.apply(call).(Reject).Problem.Status, status)
	}
}
