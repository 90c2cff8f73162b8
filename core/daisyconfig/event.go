package daisyconfig

// Event is something that a Follower learns. It is one of HeadAnnounced, HeadRead,
// HeadMissing, HeadFailed, SnapshotOffered, SnapshotRead, SnapshotFailed,
// SnapshotAsked, SnapshotConfirmed and TimePassed.
type Event interface{ event() }

// HeadAnnounced says what another VM has in force.
type HeadAnnounced struct {
	From     Peer
	Revision Revision
	Hash     Hash
}

// HeadRead brings the head from the platform's table, which may lag.
type HeadRead struct{ Head Head }

// HeadMissing says that the table has no head, or not yet where the read went.
type HeadMissing struct{}

// HeadFailed says that the table could not be read.
type HeadFailed struct{}

// SnapshotOffered brings a snapshot from another VM. Its hash was computed from what arrived.
type SnapshotOffered struct {
	From     Peer
	Snapshot *Snapshot
}

// SnapshotRead brings a snapshot from the object store. Its hash was computed from what arrived.
type SnapshotRead struct{ Snapshot *Snapshot }

// SnapshotFailed says that the object store did not give a snapshot.
type SnapshotFailed struct{ Hash Hash }

// SnapshotAsked says that another VM asks for the snapshot in force.
type SnapshotAsked struct{ From Peer }

// SnapshotConfirmed brings a snapshot that was confirmed on this VM.
type SnapshotConfirmed struct{ Snapshot *Snapshot }

// TimePassed says that the time of NextWake has come.
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
