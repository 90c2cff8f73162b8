package daisycontroller

import "sync"

// firstConfiguration tells when the first configuration was applied.
type firstConfiguration struct {
	once    sync.Once
	arrived chan struct{}
}

func newFirstConfiguration() *firstConfiguration {
	return &firstConfiguration{arrived: make(chan struct{})}
}

// noteApplied has to be called when a configuration is in force.
func (f *firstConfiguration) noteApplied() { f.once.Do(func() { close(f.arrived) }) }

// Configured reports whether a configuration has been applied.
func (f *firstConfiguration) Configured() bool {
	select {
	case <-f.arrived:
		return true
	default:
		return false
	}
}

// Arrived is closed when the first configuration has been applied.
func (f *firstConfiguration) Arrived() <-chan struct{} { return f.arrived }
