package daisyconfig

// Event is an input of a Follower. It is one of HeadAnnounced, HeadRead,
// HeadMissing, HeadFailed, SnapshotOffered, SnapshotRead, SnapshotFailed,
// SnapshotAsked, SnapshotConfirmed and TimePassed.
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
type HeadRead struct{ Head Head }

// HeadMissing is the Event that a read found no head in the table. The table may
// have one that is not yet visible to the read.
type HeadMissing struct{}

// HeadFailed is the Event that the table could not be read.
type HeadFailed struct{}

// SnapshotOffered is the Event that another VM has sent a snapshot. The
// snapshot's hash was computed from the received data.
type SnapshotOffered struct {
	From     Peer
	Snapshot *Snapshot
}

// SnapshotRead is the Event that a snapshot was read from the object store. The
// snapshot's hash was computed from the received data.
type SnapshotRead struct{ Snapshot *Snapshot }

// SnapshotFailed is the Event that a snapshot could not be read from the object store.
type SnapshotFailed struct{ Hash Hash }

// SnapshotAsked is the Event that another VM has requested the snapshot in force.
type SnapshotAsked struct{ From Peer }

// SnapshotConfirmed is the Event that a snapshot was confirmed on this VM.
type SnapshotConfirmed struct{ Snapshot *Snapshot }

// TimePassed is the Event that the time returned by NextWake has been reached.
type TimePassed struct{}

func (HeadAnnounced) event()     {}
func (HeadRead) event()          {}
func (HeadMissing) event()       {}
func (HeadFailed) event()        {}
func (SnapshotOffered) event()   {}
func (SnapshotRead) event()      {}
func (SnapshotFailed) event()    {}
func (SnapshotAsked) event()     {}
func (SnapshotConfirmed) event() {}
func (TimePassed) event()        {}
