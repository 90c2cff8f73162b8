// Package daisystop controls the planned stop of a VM: the VM waits for its turn, serves
// until callers have moved to other VMs, finishes its requests and ends.
package daisystop

import "time"

// Event is an input of Stop. It is one of StopWanted, LeaseAcquired, LeaseLost,
// PeersSeen, CallersGone and TimePassed.
type Event interface{ event() }

// StopWanted requests a planned stop. Only the first one has an effect.
type StopWanted struct{}

// LeaseAcquired means that this VM holds the lease, so that it is its turn to stop.
type LeaseAcquired struct{}

// LeaseLost means that the lease expired or went to another VM, for instance because
// this VM was paused.
type LeaseLost struct{}

// PeersSeen is the state of the live peers.
type PeersSeen struct {
	// Leaving is the number of peers that announce that they are leaving.
	Leaving int
	// Ahead is the number of peers that wait for their turn and have a lower name.
	Ahead int
	// Alone means that this VM knows no other VM at all, live or dead. It then has no
	// turn to wait for, and its callers have no other VM to go to.
	Alone bool
}

// CallersGone means that no caller is connected and no request is in flight.
type CallersGone struct{}

// TimePassed means that the time of NextWake has come.
type TimePassed struct{}

func (StopWanted) event()    {}
func (LeaseAcquired) event() {}
func (LeaseLost) event()     {}
func (PeersSeen) event()     {}
func (CallersGone) event()   {}
func (TimePassed) event()    {}

// Decision is an action that the controller of a Stop has to carry out. It is one of
// AcquireLease, Announce, LimitRequests, CloseCallers, ReleaseLease and Finish.
type Decision interface{ decision() }

// AcquireLease requests the lease that VMs stop under one after the other. It replaces
// any lease held or requested.
type AcquireLease struct{}

// Announce tells the peers, and through them the callers, how far the stop has come.
type Announce struct {
	Stopping bool
	Leaving  bool
}

// LimitRequests tells routing that all requests have to be answered by a time: those that
// cannot be are refused before they reach an endpoint.
type LimitRequests struct {
	By time.Time
	// AcceptUntil is until when any request is accepted. One that arrives later is accepted
	// only if its deadline is no later than By.
	AcceptUntil time.Time
}

// CloseCallers stops accepting connections from callers and lets their requests finish;
// CallersGone has to follow.
type CloseCallers struct{}

// ReleaseLease passes the turn to the next VM, or cancels the request for the lease.
type ReleaseLease struct{}

// Finish ends the process.
type Finish struct{}

func (AcquireLease) decision()  {}
func (Announce) decision()      {}
func (LimitRequests) decision() {}
func (CloseCallers) decision()  {}
func (ReleaseLease) decision()  {}
func (Finish) decision()        {}
