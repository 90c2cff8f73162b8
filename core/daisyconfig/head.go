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
