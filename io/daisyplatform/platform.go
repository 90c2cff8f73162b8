// Package daisyplatform is the platform's service as daisyyoke sees it: a
// transactional table, an object store and a list of VMs, all of which have
// outages.
//
// Every operation gives a sealed Answer, so that a caller has to say what it does
// when a write is refused, when nobody knows whether it took effect, and when the
// service is away.
package daisyplatform

import (
	"context"
	"net/netip"

	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyvm"
)

const (
	// MaxValueSize bounds the value of a row, in bytes.
	MaxValueSize = 64 << 10
	// MaxObjectSize bounds an object, in bytes.
	MaxObjectSize = 8 << 20
	// MaxNameLength bounds the key of a row and the name of an object, in bytes.
	MaxNameLength = 256
)

// Version numbers the writes of a row, from 1 up; 0 stands for a row that does not exist.
type Version uint64

// Row is one row of the table.
type Row struct {
	Key     string
	Version Version
	Value   []byte
}

// Table is the transactional table. Reads may lag; writes never do.
type Table interface {
	// GetRow answers RowRead, NotFound or Unavailable.
	GetRow(ctx context.Context, key string) Answer
	// SwapRow writes a row whose version is still the expected one; 0 means that
	// the row does not exist yet. It answers RowWritten, Conflict, Unknown or Unavailable.
	SwapRow(ctx context.Context, key string, expected Version, value []byte) Answer
	// ListRows gives the rows whose keys begin with the prefix, in the order of
	// their keys. It answers RowsListed or Unavailable.
	ListRows(ctx context.Context, prefix string) Answer
}

// Objects is the object store. An object never changes once it is written.
type Objects interface {
	// PutObject answers ObjectWritten, also when the object is there already,
	// Unknown or Unavailable.
	PutObject(ctx context.Context, name string, data []byte) Answer
	// GetObject answers ObjectRead, NotFound or Unavailable.
	GetObject(ctx context.Context, name string) Answer
}

// ListedVM is a VM on the platform's list.
type ListedVM struct {
	Name daisyvm.Name
	Zone daisyfleet.ZoneID
	// Peers is its address for other VMs.
	Peers netip.AddrPort
	// Leaving says that the VM is about to go.
	Leaving bool
}

// VMs is the platform's list of live and leaving VMs, which lags.
type VMs interface {
	// ListVMs answers VMsListed or Unavailable.
	ListVMs(ctx context.Context) Answer
	// AnnounceVM tells the platform of a VM that has just started or is about to
	// go. It answers VMAnnounced, Unknown or Unavailable.
	AnnounceVM(ctx context.Context, vm ListedVM) Answer
}

// Platform is the whole of the platform's service.
type Platform interface {
	Table
	Objects
	VMs
}

// Answer is what became of an operation. It is one of RowRead, RowsListed,
// RowWritten, ObjectRead, ObjectWritten, VMsListed, VMAnnounced, Conflict,
// NotFound, Unknown and Unavailable.
type Answer interface{ answer() }

// RowRead brings a row.
type RowRead struct{ Row Row }

// RowsListed brings rows in the order of their keys.
type RowsListed struct{ Rows []Row }

// RowWritten says that a row was written and is now of this version.
type RowWritten struct{ Version Version }

// ObjectRead brings an object.
type ObjectRead struct{ Data []byte }

// ObjectWritten says that an object is kept.
type ObjectWritten struct{}

// VMsListed brings the list of VMs in the order of their names.
type VMsListed struct{ VMs []ListedVM }

// VMAnnounced says that the platform has taken an announcement.
type VMAnnounced struct{}

// Conflict says that a row was not written, since its version is not the expected one.
type Conflict struct{}

// NotFound says that there is no such row or object, at least not yet where the read went.
type NotFound struct{}

// Unknown says that a write may have taken effect, or may still do so.
type Unknown struct{ Err error }

// Unavailable says that nothing was read or written.
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

// AnswerName gives the kind of an answer in kebab case, for logs and counters.
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
