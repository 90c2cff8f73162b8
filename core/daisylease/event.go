package daisylease

// Event is something that a Claim learns. It is one of RowRead, RowMissing,
// RowFailed, Written, Refused, WriteUnknown, WriteFailed, NoteWanted,
// ReleaseWanted and TimePassed.
type Event interface{ event() }

// RowRead brings the row of the lease, which may lag.
type RowRead struct {
	Record Record
	Token  Token
}

// RowMissing says that there is no row, or not yet where the read went.
type RowMissing struct{}

// RowFailed says that the row could not be read.
type RowFailed struct{}

// Written says that the write took effect.
type Written struct{ Token Token }

// Refused says that the write did not take effect, since the row has another version.
type Refused struct{}

// WriteUnknown says that the write may have taken effect.
type WriteUnknown struct{}

// WriteFailed says that the write did not take effect and may be tried again.
type WriteFailed struct{}

// NoteWanted asks for a note to be written under the lease.
type NoteWanted struct{ Note string }

// ReleaseWanted asks for the lease to be given back.
type ReleaseWanted struct{}

// TimePassed says that the time of NextWake has come.
type TimePassed struct{}

func (RowRead) event()       {}
func (RowMissing) event()    {}
func (RowFailed) event()     {}
func (Written) event()       {}
func (Refused) event()       {}
func (WriteUnknown) event()  {}
func (WriteFailed) event()   {}
func (NoteWanted) event()    {}
func (ReleaseWanted) event() {}
func (TimePassed) event()    {}

// Decision is something for the holder of a Claim to do. It is one of ReadRow,
// WriteRow, Acquired, NoteWritten, Lost and Released.
type Decision interface{ decision() }

// ReadRow reads the row of the lease.
type ReadRow struct{}

// WriteRow writes the row if it still has the expected version; 0 means that there is no row.
type WriteRow struct {
	Record   Record
	Expected Token
}

// Acquired says that the lease is held from now on.
type Acquired struct{ Token Token }

// NoteWritten says that the note wanted last is written.
type NoteWritten struct{}

// Lost says that the lease is held no longer; the claim has ended.
type Lost struct{}

// Released says that the lease was given back; the claim has ended.
type Released struct{}

func (ReadRow) decision()     {}
func (WriteRow) decision()    {}
func (Acquired) decision()    {}
func (NoteWritten) decision() {}
func (Lost) decision()        {}
func (Released) decision()    {}
