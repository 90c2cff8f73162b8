// Package daisystop decides how a VM stops by plan: in its turn, after callers
// have left it, and with every request finished.
package daisystop

// Event is something that happened. It is one of StopWanted, LeaseAcquired,
// LeaseLost, PeersSeen, CallersGone and TimePassed.
type Event interface{ event() }

// StopWanted asks for a planned stop. Further ones change nothing.
type StopWanted struct{}

// LeaseAcquired says that it is this VM's turn.
type LeaseAcquired struct{}

// LeaseLost says that the lease ran out or went to another VM, for instance
// because this VM was paused.
type LeaseLost struct{}

// PeersSeen says what the live peers do.
type PeersSeen struct {
	// Leaving counts those that leave now.
	Leaving int
	// Ahead counts those that wait for their turn and have a lower name.
	Ahead int
	// Alone says that this VM knows no other at all, live or dead. It then has no
	// turn to wait for, and no callers that could go elsewhere.
	Alone bool
}

// CallersGone says that no caller is connected and no request is in flight.
type CallersGone struct{}

// TimePassed says that the time of NextWake has come.
type TimePassed struct{}

func (StopWanted) event()    {}
func (LeaseAcquired) event() {}
func (LeaseLost) event()     {}
func (PeersSeen) event()     {}
func (CallersGone) event()   {}
func (TimePassed) event()    {}

// Decision is something for the holder of a Stop to do. It is one of
// AcquireLease, Announce, CloseCallers, ReleaseLease and Finish.
type Decision interface{ decision() }

// AcquireLease begins to wait for the lease that stops take turns under, in
// place of any lease held or waited for.
type AcquireLease struct{}

// Announce tells the peers, and through them the callers, where the stop stands.
type Announce struct {
	Stopping bool
	Leaving  bool
}

// CloseCallers takes no more connections of callers, finishes their requests and
// reports CallersGone.
type CloseCallers struct{}

// ReleaseLease gives the turn to the next VM, or stops waiting for it.
type ReleaseLease struct{}

// Finish ends the process.
type Finish struct{}

func (AcquireLease) decision() {}
func (Announce) decision()     {}
func (CloseCallers) decision() {}
func (ReleaseLease) decision() {}
func (Finish) decision()       {}
