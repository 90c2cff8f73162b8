package daisyfilter

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyconfig"
)

// fakeConfiguration is a configuration that arrives when its channel is closed.
type fakeConfiguration chan struct{}

func (c fakeConfiguration) Arrived() <-chan struct{} { return c }

func (c fakeConfiguration) CurrentAsOf() time.Time { return time.Time{} }

func (c fakeConfiguration) Current() *daisyconfig.Index {
	select {
	case <-c:
		return daisyconfig.NewIndex(&daisyconfig.Snapshot{Revision: 1})
	default:
		return nil
	}
}

// All callers of VMs that start together come back at once. Those that come just before the
// configuration are served as soon as it is there, and nobody waits for one that is late.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	cases := []struct {
		name                        string
		arrives, comes, leaves, end time.Duration
		passes                      bool
	}{
		{name: "configured", arrives: 100 * time.Millisecond, comes: 200 * time.Millisecond, end: 200 * time.Millisecond, passes: true},
		{name: "arrives soon", arrives: 300 * time.Millisecond, end: 300 * time.Millisecond, passes: true},
		{name: "arrives later", arrives: 800 * time.Millisecond, end: maxConfigurationWait},
		{name: "late in the wait", arrives: time.Hour, comes: 900 * time.Millisecond, end: ConfigurationWait},
		{name: "after the wait", arrives: time.Hour, comes: 2 * time.Second, end: 2 * time.Second},
		{name: "caller leaves", arrives: time.Hour, leaves: 50 * time.Millisecond, end: 50 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				configuration := make(fakeConfiguration)
				arrival := time.AfterFunc(c.arrives, func() { close(configuration) })
				defer arrival.Stop()
				f := AwaitConfiguration{Configuration: configuration, Until: start.Add(ConfigurationWait)}
				time.Sleep(c.comes)
				r := httptest.NewRequest("GET", "/", nil)
				if c.leaves > 0 {
					ctx, cancel := context.WithTimeout(r.Context(), c.leaves)
					defer cancel()
					r = r.WithContext(ctx)
				}
				call := &Call{HTTP: r}
				_, passes := f.apply(call).(Continue)
				assert.Equal(t, passes, c.passes)
				assert.Equal(t, call.Config != nil, c.passes)
				assert.Equal(t, time.Since(start), c.end)
			})
		})
	}
}
