package daisyconfig

// Decision is something for the holder of a Follower to do. It is one of ReadHead,
// ReadSnapshot, AskPeer, GivePeer, PutInForce and ReportConflict.
type Decision interface{ decision() }

// ReadHead reads the head row. The holder answers with HeadRead, HeadMissing or HeadFailed.
type ReadHead struct{}

// ReadSnapshot reads a snapshot from the object store. The holder answers with
// SnapshotRead or SnapshotFailed.
type ReadSnapshot struct{ Hash Hash }

// AskPeer asks another VM for a snapshot. An answer may never come.
type AskPeer struct {
	To   Peer
	Hash Hash
}

// GivePeer sends the snapshot in force to another VM.
type GivePeer struct {
	To       Peer
	Snapshot *Snapshot
}

// PutInForce makes a snapshot the configuration in force.
type PutInForce struct{ Snapshot *Snapshot }

// ReportConflict says that two snapshots carry the same revision, which a sound
// platform makes impossible. The one that the platform's table names is kept.
type ReportConflict struct {
	Revision Revision
	InForce  Hash
	Other    Hash
}

func (ReadHead) decision()       {}
func (ReadSnapshot) decision()   {}
func (AskPeer) decision()        {}
func (GivePeer) decision()       {}
func (PutInForce) decision()     {}
func (ReportConflict) decision() {}

// Waiting says why a VM has no configuration in force. It is one of
// NothingConfirmed, NoSource and Fetching.
type Waiting interface{ waiting() }

// NothingConfirmed says that the platform knows of no confirmed configuration.
type NothingConfirmed struct{}

// NoSource says that neither the platform nor another VM has answered.
type NoSource struct{}

// Fetching says that a configuration is known and its snapshot is on its way.
type Fetching struct{ Revision Revision }

func (NothingConfirmed) waiting() {}
func (NoSource) waiting()         {}
func (Fetching) waiting()         {}

// WaitingText gives the reason as an operator reads it.
func WaitingText(waiting Waiting) string {
	switch waiting.(type) {
	case NothingConfirmed:
		return "no configuration has been confirmed yet"
	case NoSource:
		return "neither the platform nor another VM answers"
	case Fetching:
		return "fetching the configuration"
	}
	return ""
}
