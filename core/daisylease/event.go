package daisylease

// Event is an input to a Claim. It is one of RowRead, RowMissing, ReadFailed, Written,
// WriteRefused, WriteUnknown, WriteFailed, NoteWanted, ReleaseWanted and TimePassed.
type Event interface{ event() }

// RowRead carries the lease's row, which may be out of date.
type RowRead struct {
	Record Record
	Token  Token
	Era    Era
}

// RowMissing reports that the row does not exist, or is not visible to this read yet.
type RowMissing struct{ Era Era }

// ReadFailed reports that the row could not be read.
type ReadFailed struct{}

// Written reports that the write took effect.
type Written struct{ Token Token }

// WriteRefused reports that the write did not take effect because the row has another
// version.
type WriteRefused struct{}

// WriteUnknown reports that the write may or may not have taken effect.
type WriteUnknown struct{}

// WriteFailed reports that the write did not take effect and may be retried.
type WriteFailed struct{}

// NoteWanted asks for a note to be stored with the lease.
type NoteWanted struct{ Note string }

// ReleaseWanted asks for the lease to be released.
type ReleaseWanted struct{}

// TimePassed reports that the time returned by NextWake has come.
type TimePassed struct{}

func (RowRead) event()       {}
func (RowMissing) event()    {}
func (ReadFailed) event()    {}
func (Written) event()       {}
func (WriteRefused) event()  {}
func (WriteUnknown) event()  {}
func (WriteFailed) event()   {}
func (NoteWanted) event()    {}
func (ReleaseWanted) event() {}
func (TimePassed) event()    {}

// Decision is an action that the controller of a Claim has to carry out. It is one of
// ReadRow, WriteRow, Acquired, NoteWritten, Lost and Released.
type Decision interface{ decision() }

// ReadRow reads the lease's row.
type ReadRow struct{}

// WriteRow writes the row if it still has the expected version; 0 means that the row
// must not exist.
type WriteRow struct {
	Record   Record
	Expected Token
}

// Acquired reports that the lease is held from now on.
type Acquired struct{ Token Token }

// NoteWritten reports that the latest requested note is stored. The report is missing if
// the first write that carries the note fails to acquire the lease, because it is refused
// or takes longer than the holder's TTL: later writes store the note without a report.
type NoteWritten struct{}

// Lost reports that the lease is no longer held and the claim has ended.
type Lost struct{}

// Released reports that the lease was released and the claim has ended.
type Released struct{}

func (ReadRow) decision()     {}
func (WriteRow) decision()    {}
func (Acquired) decision()    {}
func (NoteWritten) decision() {}
func (Lost) decision()        {}
func (Released) decision()    {}
