package daisyconfig

// Decision is an action that the controller of a Follower has to carry out. It is
// one of ReadHead, ReadSnapshot, RequestSnapshot, SendSnapshot, PutInForce, RestoreHead
// and ReportConflict.
type Decision interface{ decision() }

// ReadHead is the Decision to read the head row from the platform's table. The
// controller passes on the result as HeadRead, HeadMissing or HeadReadFailed.
type ReadHead struct{}

// ReadSnapshot is the Decision to read a snapshot from the object store. The
// controller passes on the result as SnapshotRead or SnapshotReadFailed.
type ReadSnapshot struct{ Hash Hash }

// RequestSnapshot is the Decision to request a snapshot from another VM. The request
// or its answer can be lost.
type RequestSnapshot struct {
	To   Peer
	Hash Hash
}

// SendSnapshot is the Decision to send the snapshot in force to another VM.
type SendSnapshot struct {
	To       Peer
	Snapshot *Snapshot
}

// PutInForce is the Decision to make a snapshot the configuration in force.
type PutInForce struct{ Snapshot *Snapshot }

// RestoreHead is the Decision to write the snapshot in force and its head to the platform
// again, because the platform was restored from a backup that lacks them. The head is
// written only over an older one.
type RestoreHead struct{ Snapshot *Snapshot }

// ReportConflict is the Decision to report that two snapshots have the same
// revision, which cannot happen unless the platform is faulty. The Follower keeps
// the snapshot in force unless the platform's table names the other one.
type ReportConflict struct {
	Revision Revision
	InForce  Hash
	Other    Hash
}

func (ReadHead) decision()        {}
func (ReadSnapshot) decision()    {}
func (RequestSnapshot) decision() {}
func (SendSnapshot) decision()    {}
func (PutInForce) decision()      {}
func (RestoreHead) decision()     {}
func (ReportConflict) decision()  {}

// WaitReason is the reason why a VM has no configuration in force. It is one of
// NothingConfirmed, NoSource and Fetching.
type WaitReason interface{ waitReason() }

// NothingConfirmed means that the platform's table has no confirmed configuration.
type NothingConfirmed struct{}

// NoSource means that neither the platform nor another VM has answered.
type NoSource struct{}

// Fetching means that a confirmed revision is known and its snapshot is being fetched.
type Fetching struct{ Revision Revision }

func (NothingConfirmed) waitReason() {}
func (NoSource) waitReason()         {}
func (Fetching) waitReason()         {}

// DescribeWaitReason returns a description of the reason for operators.
func DescribeWaitReason(reason WaitReason) string {
	switch reason.(type) {
	case NothingConfirmed:
		return "no configuration has been confirmed yet"
	case NoSource:
		return "neither the platform nor another VM answers"
	case Fetching:
		return "fetching the configuration"
	}
	return ""
}
