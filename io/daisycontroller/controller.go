// Package daisycontroller keeps the state of a VM.
//
// Each controller owns one kind of state, starts its goroutines as closures in
// its constructor and has a Close that waits for them. State that requests share
// is kept in shards by (fleet, service), each under its own lock; nothing holds
// two shard locks at once.
package daisycontroller

// Controller owns one kind of state. It is one of the types of this package.
type Controller interface {
	controller()
	// Close stops the controller and waits for all that it started.
	Close()
}
