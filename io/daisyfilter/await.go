package daisyfilter

import (
	"net/http"
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/io/daisyproblem"
)

const (
	// configurationRetryAfter is the Retry-After time if no configuration is in force.
	configurationRetryAfter = time.Second
	// ConfigurationWait is how long after its start a VM lets requests wait for the first
	// configuration. Within it, the platform or another VM has usually sent one.
	ConfigurationWait = time.Second
	// maxConfigurationWait is how long one request waits. Callers that go elsewhere early
	// lose little.
	maxConfigurationWait = 500 * time.Millisecond
)

// Configuration publishes the configuration of the VM.
type Configuration interface {
	// Current returns the index of the configuration in force; nil if there is none yet.
	Current() *daisyconfig.Index
	// CurrentAsOf returns the latest time at which the configuration in force was known to be
	// the newest; the zero time if it is not known of any.
	CurrentAsOf() time.Time
	// Arrived is closed when the first configuration is in force.
	Arrived() <-chan struct{}
}

// AwaitConfiguration sets the configuration that a request is handled by, which is the one
// in force when it arrives. It rejects requests while none is in force, because a service
// that does not exist cannot then be distinguished from one whose declaration has not
// arrived yet. Just after the start of the VM, they wait for the first configuration instead.
type AwaitConfiguration struct {
	Configuration Configuration
	// Until is when requests no longer wait; the zero time means that they never do.
	Until time.Time
	// Age bounds the age of the configuration; nil if no bound is needed.
	Age ConfigurationAge
}

// ConfigurationAge bounds the age of the configuration of the VM.
type ConfigurationAge interface {
	// Now returns the time since the VM booted, including the time in which it was suspended.
	Now() time.Duration
	// KnownAt returns a time since boot before which the configuration in force was not
	// outdated; 0 if none is known.
	KnownAt() time.Duration
}

func (AwaitConfiguration) filter() {}

func (f AwaitConfiguration) apply(call *Call) Verdict {
	f.read(call)
	if call.Config == nil && f.wait(call) {
		f.read(call)
	}
	if call.Config != nil {
		return Continue{}
	}
	return Reject{Problem: daisyproblem.Problem{
		Status:     http.StatusServiceUnavailable,
		Title:      "No configuration is in force yet",
		Run:        daisyrequest.NotRun,
		RetryAfter: configurationRetryAfter,
	}}
}

// read sets the configuration in force. The times are read first, so that they are not those
// of a later configuration.
func (f AwaitConfiguration) read(call *Call) {
	if f.Age != nil {
		call.ConfigKnownAt = f.Age.KnownAt()
	}
	call.ConfigAsOf, call.Config = f.Configuration.CurrentAsOf(), f.Configuration.Current()
}

// wait waits for the first configuration and reports whether it has arrived.
func (f AwaitConfiguration) wait(call *Call) bool {
	left := min(time.Until(f.Until), maxConfigurationWait)
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-f.Configuration.Arrived():
		return true
	case <-timer.C:
	case <-call.HTTP.Context().Done():
	}
	return false
}
