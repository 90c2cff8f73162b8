// Package daisycontroller contains the controllers that own the state of a VM.
//
// Each controller owns one kind of state, starts its goroutines in its constructor
// and has a Close method that waits for them. State that requests share is split into
// shards by (fleet, service), each with its own lock; no goroutine holds two shard
// locks at the same time.
package daisycontroller

// Controller owns one kind of state. Only types of this package implement it.
type Controller interface {
	controller()
	// Close stops the controller and waits for its goroutines.
	Close()
}
