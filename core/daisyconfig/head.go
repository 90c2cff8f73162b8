package daisyconfig

import "time"

// Head names the confirmed configuration; the platform's table keeps one.
type Head struct {
	Revision    Revision
	Hash        Hash
	PlanID      string
	ConfirmedBy string
	ConfirmedAt time.Time
}

// Head gives the head that names the snapshot.
func (s *Snapshot) Head() Head {
	return Head{
		Revision:    s.Revision,
		Hash:        s.Hash,
		PlanID:      s.PlanID,
		ConfirmedBy: s.ConfirmedBy,
		ConfirmedAt: s.ConfirmedAt,
	}
}
