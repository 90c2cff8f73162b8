// Package daisyplatform is the interface to the platform's service: a transactional
// table, an object store and a list of VMs, each of which may be unavailable. It has an
// HTTP client, an HTTP handler, and an in-memory implementation with optional faults.
//
// Every operation returns an Answer, a sealed interface, so that the calling code has to
// handle a rejected write, a write with an unknown outcome, and an unavailable service.
package daisyplatform

import (
	"context"
	"net/netip"
	"time"

	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyvm"
)

const (
	// MaxValueSize is the maximum size of the value of a row, in bytes.
	MaxValueSize = 64 << 10
	// MaxObjectSize is the maximum size of an object, in bytes.
	MaxObjectSize = 8 << 20
	// MaxNameLength is the maximum length of the key of a row and of the name of an
	// object, in bytes.
	MaxNameLength = 256
)

// Version is the number of a write to a row, counted from 1; 0 stands for a row that does
// not exist. A platform that was restored from a backup assigns no version again: it puts
// its Era into the upper 32 bits, so that a write that expects a version which the restore
// lost is refused.
type Version uint64

// Era is the number of times that the platform was restored from a backup. Only in a later
// era may a row have a lower version than before, or be missing again.
type Era uint64

// eraShift is the number of the bits of a Version that count the writes in one era.
const eraShift = 32

// Era returns the era in which the version was assigned.
func (v Version) Era() Era { return Era(v >> eraShift) }

// Row is one row of the table.
type Row struct {
	Key     string
	Version Version
	Value   []byte
}

// Table is the transactional table. Reads may return an outdated version; writes always
// check against the current one.
type Table interface {
	// GetRow answers RowRead, NotFound or Unavailable.
	GetRow(ctx context.Context, key string) Answer
	// SwapRow writes a row if its version is still the expected one; 0 means that the
	// row does not exist yet. It answers RowWritten, Conflict, Unknown or Unavailable.
	SwapRow(ctx context.Context, key string, expected Version, value []byte) Answer
	// ListRows returns the rows whose keys begin with the prefix, in the order of their
	// keys. It answers RowsListed or Unavailable.
	ListRows(ctx context.Context, prefix string) Answer
}

// ObjectStore is the object store. Objects are immutable: a second write under the same
// name changes nothing.
type ObjectStore interface {
	// PutObject answers ObjectWritten, also if the object exists already, Unknown or
	// Unavailable.
	PutObject(ctx context.Context, name string, data []byte) Answer
	// GetObject answers ObjectRead, NotFound or Unavailable.
	GetObject(ctx context.Context, name string) Answer
}

// ListedVM is an entry of the platform's list of VMs.
type ListedVM struct {
	Name daisyvm.Name
	Zone daisyfleet.ZoneID
	// Peers is the address that other VMs connect to.
	Peers netip.AddrPort
	// Leaving is set if the VM is about to stop.
	Leaving bool
}

// VMs is the platform's list of live and leaving VMs. It may be outdated.
type VMs interface {
	// ListVMs answers VMsListed or Unavailable.
	ListVMs(ctx context.Context) Answer
	// AnnounceVM tells the platform that a VM runs or, with Leaving set, is about to
	// stop. It answers VMAnnounced, Unknown or Unavailable.
	AnnounceVM(ctx context.Context, vm ListedVM) Answer
}

// Platform is the complete interface to the platform's service.
type Platform interface {
	Table
	ObjectStore
	VMs
}

// Answer is the result of an operation. It is one of RowRead, RowsListed,
// RowWritten, ObjectRead, ObjectWritten, VMsListed, VMAnnounced, Conflict,
// NotFound, Unknown and Unavailable.
type Answer interface{ answer() }

// RowRead carries the row that was read, and the era of the platform.
type RowRead struct {
	Row Row
	Era Era
}

// RowsListed carries the matching rows in the order of their keys.
type RowsListed struct{ Rows []Row }

// RowWritten states that a row was written and which version it has now.
type RowWritten struct{ Version Version }

// ObjectRead carries the object that was read.
type ObjectRead struct{ Data []byte }

// ObjectWritten states that an object is stored under the name.
type ObjectWritten struct{}

// VMsListed carries the list of VMs in the order of their names.
type VMsListed struct {
	VMs []ListedVM
	// Clock is the platform's own clock at the reply, in the given Era; 0 if it does not say.
	Clock time.Duration
	Era   Era
}

// VMAnnounced states that the platform has stored an announcement.
type VMAnnounced struct{}

// Conflict states that a row was not written because its version is not the expected one.
type Conflict struct{}

// NotFound states that the row or object does not exist, or is not visible to a lagging
// read yet. A row or object that existed may be missing in a later Era.
type NotFound struct{ Era Era }

// Unknown states that a write may have taken effect, or may still do so.
type Unknown struct{ Err error }

// Unavailable states that nothing was read or written. Err is a daisyerror.InvalidRequest
// if retrying cannot succeed.
type Unavailable struct{ Err error }

func (RowRead) answer()       {}
func (RowsListed) answer()    {}
func (RowWritten) answer()    {}
func (ObjectRead) answer()    {}
func (ObjectWritten) answer() {}
func (VMsListed) answer()     {}
func (VMAnnounced) answer()   {}
func (Conflict) answer()      {}
func (NotFound) answer()      {}
func (Unknown) answer()       {}
func (Unavailable) answer()   {}

// AnswerName returns the kind of an answer in kebab case, for logs and metrics.
func AnswerName(answer Answer) string {
	switch answer.(type) {
	case RowRead, RowsListed, ObjectRead, VMsListed:
		return "read"
	case RowWritten, ObjectWritten, VMAnnounced:
		return "written"
	case Conflict:
		return "conflict"
	case NotFound:
		return "not-found"
	case Unknown:
		return "unknown"
	case Unavailable:
		return "unavailable"
	}
	return "unknown"
}
