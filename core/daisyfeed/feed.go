// Package daisyfeed replicates rows of the platform's store to each VM.
//
// A Follower replicates one topic. It reads changes from the store, and requests them
// from other VMs that know later ones, since the store may be unavailable to all VMs or
// to this one only. The store's versions order all changes, whatever their source. Every
// call to the store has a price, so a few VMs read on behalf of all and send the changes
// to the others. They also confirm, about once a second, that there were none: a VM that
// gets no such Bookmark for too long asks the store itself, so that a change is known
// everywhere in time as long as one VM reaches the store.
//
// A store that is restored from a backup loses its latest changes and assigns their
// versions again. Versions are therefore ordered within an Era only. What was in force at
// the end of an era holds until its writer has written it again.
package daisyfeed

import (
	"cmp"
	"time"

	"daisyyoke/core/daisyvm"
)

// Topic is a kind of rows. Each topic is replicated separately.
type Topic int

const (
	// Configuration is what operators declare.
	Configuration Topic = iota
	// Endpoints is what endpoints report about themselves.
	Endpoints
	// Topics is the number of topics.
	Topics int = iota
)

// String returns the topic in kebab case.
func (t Topic) String() string {
	switch t {
	case Configuration:
		return "configuration"
	case Endpoints:
		return "endpoints"
	}
	return "unknown"
}

// Version orders all changes of the store in one era; 0 precedes the first one.
type Version uint64

// Era is the number of times that the store was restored from a backup; 0 if it never was
// or does not say. Later eras are later, whatever the versions.
type Era uint64

// Written orders the values that one writer gave a row, across eras; the zero value is
// unknown.
type Written struct {
	// Started is when the writer started by its own clock, in milliseconds since 1970; 0
	// if its sequence continues across restarts.
	Started  int64
	Sequence uint64
}

// Compare returns a negative number if w was written before o, 0 if they are the same,
// and a positive number if w was written after o.
func (w Written) Compare(o Written) int {
	return cmp.Or(cmp.Compare(w.Started, o.Started), cmp.Compare(w.Sequence, o.Sequence))
}

// Row is a row, or a tombstone for a removed one.
type Row struct {
	Key     string
	Version Version
	Value   []byte
	// Removed reports whether the row was removed; it has no value then.
	Removed bool
	// Era is the era of Version.
	Era Era
	// Written orders the value among those of its writer. Of a removed row it is that of
	// its last value.
	Written Written
}

// Event is an input to a Follower. It is one of RowsRead, RowsChanged, HistoryLost,
// ReadFailed, RoleChanged, PeerVersionKnown, ChangesRequested, ChangesReceived and
// TimePassed.
type Event interface{ event() }

// RowsRead carries all rows of the topic as of a version.
type RowsRead struct {
	Rows []Row
	AsOf Version
	Era  Era
	// Clock is the store's own clock at the reply; 0 if it does not say.
	Clock time.Duration
}

// RowsChanged carries the changes after the requested version, up to AsOf.
type RowsChanged struct {
	Rows []Row
	AsOf Version
	Era  Era
	// Clock is as in RowsRead.
	Clock time.Duration
	// Late reports whether the reply took longer than the store was asked to wait. The
	// store may have been unavailable meanwhile, so a late reply starts the grace period.
	Late bool
}

// HistoryLost reports that the store does not have the requested changes, because it no
// longer keeps them or because it was restored from a backup without them.
type HistoryLost struct{ Era Era }

// ReadFailed reports that the store did not reply, or refused the request.
type ReadFailed struct{}

// RoleChanged reports whether this VM reads the store for the others, and who they are.
type RoleChanged struct {
	// Position is the index of this VM in an order of all VMs on which they agree.
	Position int
	Reader   bool
	// Second reports whether this VM is a reader after another one.
	Second bool
	Peers  []daisyvm.Name
}

// PeerVersionKnown reports the latest change known to another VM.
type PeerVersionKnown struct {
	From daisyvm.Name
	Last Version
	Era  Era
	// Holding reports whether rows or removals of earlier eras are in force there.
	Holding bool
	// InForce is the order of the latest value that is in force there, and zero if unknown.
	InForce Written
}

// ChangesRequested reports that another VM requests the changes after a version.
type ChangesRequested struct {
	From  daisyvm.Name
	After Version
	Era   Era
}

// ChangesReceived carries changes from another VM.
type ChangesReceived struct {
	From    daisyvm.Name
	Changes Changes
}

// Changes holds all changes after one version up to another.
type Changes struct {
	Rows  []Row
	After Version
	Last  Version
	// Complete reports whether Rows holds all rows; any other row was removed.
	Complete bool
	// Era is the era of the rows and versions.
	Era Era
	// Held holds the rows and removals of earlier eras that are in force, if Complete is
	// set, and HoldTime how much longer they are at most.
	Held     []Row
	HoldTime time.Duration
	// Grace is how much longer removed rows are kept because the store was unavailable.
	Grace time.Duration
	// Bookmark is the latest point at which the sender knew Last to be the newest change; the
	// zero value if it knows of none.
	Bookmark Bookmark
}

// Bookmark is a point in the history of the store, in one era. A topic is known up to a
// bookmark if all its changes before that point are known.
type Bookmark struct {
	// Version is the newest version of the store at that point, of whatever topic.
	Version Version
	// Clock is the store's own clock at that point; 0 if it does not say.
	Clock time.Duration
}

// TimePassed reports that the time returned by NextWake has come.
type TimePassed struct{}

func (RowsRead) event()         {}
func (RowsChanged) event()      {}
func (HistoryLost) event()      {}
func (ReadFailed) event()       {}
func (RoleChanged) event()      {}
func (PeerVersionKnown) event() {}
func (ChangesRequested) event() {}
func (ChangesReceived) event()  {}
func (TimePassed) event()       {}

// Decision is an action that the controller of a Follower has to carry out. It is one of
// ReadRows, AwaitChanges, RequestChanges, SendChanges, Publish, StoreLost, StoreRecovered
// and StoreRestored.
type Decision interface{ decision() }

// ReadRows reads all rows from the store. The result is RowsRead or ReadFailed.
type ReadRows struct{}

// AwaitChanges requests the changes after a version from the store. The result is
// RowsChanged, HistoryLost or ReadFailed.
type AwaitChanges struct {
	After Version
	// Wait is how long the store may hold the request until there is a change.
	Wait time.Duration
}

// RequestChanges requests the changes after a version from another VM, which may never
// reply.
type RequestChanges struct {
	To    daisyvm.Name
	After Version
	Era   Era
}

// SendChanges sends changes to another VM, whether or not it requested them.
type SendChanges struct {
	To      daisyvm.Name
	Changes Changes
}

// Publish reports that the result of Rows has changed.
type Publish struct{}

// StoreLost reports that the store has stopped replying.
type StoreLost struct{}

// StoreRecovered reports that the store replies again after an outage.
type StoreRecovered struct{ Outage time.Duration }

// StoreRestored reports that the store was restored from a backup. Held is the number of
// rows and removals that stay in force although the store may have lost them.
type StoreRestored struct {
	Era  Era
	Held int
}

func (ReadRows) decision()       {}
func (AwaitChanges) decision()   {}
func (RequestChanges) decision() {}
func (SendChanges) decision()    {}
func (Publish) decision()        {}
func (StoreLost) decision()      {}
func (StoreRecovered) decision() {}
func (StoreRestored) decision()  {}
