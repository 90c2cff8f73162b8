package daisysnapshot

import (
	"encoding/json"
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
)

type headDocument struct {
	Revision    uint64    `json:"revision"`
	Hash        string    `json:"hash"`
	PlanID      string    `json:"plan-id"`
	ConfirmedBy string    `json:"confirmed-by"`
	ConfirmedAt time.Time `json:"confirmed-at"`
}

// EncodeHead returns the value of the head row.
func EncodeHead(head daisyconfig.Head) ([]byte, error) {
	data, err := json.Marshal(headDocument{
		Revision:    uint64(head.Revision),
		Hash:        string(head.Hash),
		PlanID:      head.PlanID,
		ConfirmedBy: head.ConfirmedBy,
		ConfirmedAt: head.ConfirmedAt.UTC().Round(0),
	})
	if err != nil {
		return nil, daisyerror.Internal.Wrap(err, "encode head")
	}
	return data, nil
}

// DecodeHead decodes the value of the head row. It fails with daisyerror.InvalidRequest.
func DecodeHead(data []byte) (daisyconfig.Head, error) {
	var d headDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return daisyconfig.Head{}, daisyerror.InvalidRequest.Wrap(err, "decode head")
	}
	if d.Revision == 0 || d.Hash == "" {
		return daisyconfig.Head{}, daisyerror.InvalidRequest.New("head without a revision or a hash")
	}
	return daisyconfig.Head{
		Revision:    daisyconfig.Revision(d.Revision),
		Hash:        daisyconfig.Hash(d.Hash),
		PlanID:      d.PlanID,
		ConfirmedBy: d.ConfirmedBy,
		ConfirmedAt: d.ConfirmedAt,
	}, nil
}
