package daisyconfig

// Event is an input of a Follower. It is one of HeadAnnounced, HeadRead,
// HeadMissing, HeadReadFailed, SnapshotReceived, SnapshotRead, SnapshotReadFailed,
// SnapshotRequested, SnapshotConfirmed and TimePassed.
type Event interface{ event() }

// HeadAnnounced is the Event that another VM has announced the configuration that
// it has in force.
type HeadAnnounced struct {
	From     Peer
	Revision Revision
	Hash     Hash
}

// HeadRead is the Event that the head was read from the platform's table. A read
// of the table can return an older head.
type HeadRead struct {
	Head Head
	Era  Era
}

// HeadMissing is the Event that a read found no head in the table. The table may
// have one that is not yet visible to the read.
type HeadMissing struct{ Era Era }

// HeadReadFailed is the Event that the table could not be read.
type HeadReadFailed struct{}

// SnapshotReceived is the Event that another VM has sent a snapshot. The
// snapshot's hash was computed from the received data.
type SnapshotReceived struct {
	From     Peer
	Snapshot *Snapshot
}

// SnapshotRead is the Event that a snapshot was read from the object store. The
// snapshot's hash was computed from the received data.
type SnapshotRead struct{ Snapshot *Snapshot }

// SnapshotReadFailed is the Event that a snapshot could not be read from the object store.
type SnapshotReadFailed struct{ Hash Hash }

// SnapshotRequested is the Event that another VM has requested the snapshot in force.
type SnapshotRequested struct{ From Peer }

// SnapshotConfirmed is the Event that a snapshot was confirmed on this VM.
type SnapshotConfirmed struct{ Snapshot *Snapshot }

// TimePassed is the Event that the time returned by NextWake has been reached.
type TimePassed struct{}

func (HeadAnnounced) event()      {}
func (HeadRead) event()           {}
func (HeadMissing) event()        {}
func (HeadReadFailed) event()     {}
func (SnapshotReceived) event()   {}
func (SnapshotRead) event()       {}
func (SnapshotReadFailed) event() {}
func (SnapshotRequested) event()  {}
func (SnapshotConfirmed) event()  {}
func (TimePassed) event()         {}
