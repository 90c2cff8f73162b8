package daisyconfig

import "time"

// Head identifies a confirmed configuration. The platform's table stores the head
// of the newest one.
type Head struct {
	Revision    Revision
	Hash        Hash
	PlanID      string
	ConfirmedBy string
	ConfirmedAt time.Time
}

// Era is the number of times that the platform was restored from a backup. In a later era
// the table may have an older head, or none.
type Era uint64

// Head returns the head that identifies the snapshot.
func (s *Snapshot) Head() Head {
	return Head{
		Revision:    s.Revision,
		Hash:        s.Hash,
		PlanID:      s.PlanID,
		ConfirmedBy: s.ConfirmedBy,
		ConfirmedAt: s.ConfirmedAt,
	}
}
