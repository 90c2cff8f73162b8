package daisysnapshot

import (
	"encoding/json"
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyplan"
)

type recordDocument struct {
	ID           string        `json:"id"`
	Base         uint64        `json:"base"`
	BaseHash     string        `json:"base-hash,omitempty"`
	IntentHash   string        `json:"intent-hash"`
	CreatedAt    time.Time     `json:"created-at"`
	CreatedBy    string        `json:"created-by"`
	Expires      time.Time     `json:"expires"`
	ChangeCount  int           `json:"changes"`
	WarningCount int           `json:"warnings"`
	State        stateDocument `json:"state"`
}

type stateDocument struct {
	Name     string    `json:"name"`
	Revision uint64    `json:"revision,omitempty"`
	By       string    `json:"by,omitempty"`
	At       time.Time `json:"at,omitzero"`
}

// EncodePlanRecord returns the value of the row that stores a plan.
func EncodePlanRecord(record daisyplan.Record) ([]byte, error) {
	data, err := json.Marshal(recordDocument{
		ID:           string(record.ID),
		Base:         uint64(record.Base),
		BaseHash:     string(record.BaseHash),
		IntentHash:   string(record.IntentHash),
		CreatedAt:    record.CreatedAt.UTC().Round(0),
		CreatedBy:    record.CreatedBy,
		Expires:      record.Expires.UTC().Round(0),
		ChangeCount:  record.ChangeCount,
		WarningCount: record.WarningCount,
		State:        newStateDocument(record.State),
	})
	if err != nil {
		return nil, daisyerror.Internal.Wrap(err, "encode plan")
	}
	return data, nil
}

func newStateDocument(state daisyplan.State) stateDocument {
	d := stateDocument{Name: daisyplan.StateName(state)}
	switch s := state.(type) {
	case daisyplan.Confirming:
		d.By, d.At = s.By, s.At.UTC().Round(0)
	case daisyplan.Confirmed:
		d.Revision, d.By, d.At = uint64(s.Revision), s.By, s.At.UTC().Round(0)
	case daisyplan.Discarded:
		d.By, d.At = s.By, s.At.UTC().Round(0)
	case daisyplan.Superseded:
		d.Revision, d.By = uint64(s.Revision), s.By
	case daisyplan.Open, daisyplan.Expired:
	}
	return d
}

// DecodePlanRecord decodes the value of the row that stores a plan. It fails with
// daisyerror.InvalidRequest.
func DecodePlanRecord(data []byte) (daisyplan.Record, error) {
	var d recordDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return daisyplan.Record{}, daisyerror.InvalidRequest.Wrap(err, "decode plan")
	}
	state, err := d.State.state()
	if err != nil {
		return daisyplan.Record{}, err
	}
	return daisyplan.Record{
		ID:           daisyplan.ID(d.ID),
		Base:         daisyconfig.Revision(d.Base),
		BaseHash:     daisyconfig.Hash(d.BaseHash),
		IntentHash:   daisyconfig.Hash(d.IntentHash),
		CreatedAt:    d.CreatedAt,
		CreatedBy:    d.CreatedBy,
		Expires:      d.Expires,
		ChangeCount:  d.ChangeCount,
		WarningCount: d.WarningCount,
		State:        state,
	}, nil
}

func (d stateDocument) state() (daisyplan.State, error) {
	switch d.Name {
	case daisyplan.StateName(daisyplan.Open{}):
		return daisyplan.Open{}, nil
	case daisyplan.StateName(daisyplan.Confirming{}):
		return daisyplan.Confirming{By: d.By, At: d.At}, nil
	case daisyplan.StateName(daisyplan.Confirmed{}):
		return daisyplan.Confirmed{Revision: daisyconfig.Revision(d.Revision), By: d.By, At: d.At}, nil
	case daisyplan.StateName(daisyplan.Discarded{}):
		return daisyplan.Discarded{By: d.By, At: d.At}, nil
	case daisyplan.StateName(daisyplan.Superseded{}):
		return daisyplan.Superseded{Revision: daisyconfig.Revision(d.Revision), By: d.By}, nil
	case daisyplan.StateName(daisyplan.Expired{}):
		return daisyplan.Expired{}, nil
	}
	return nil, daisyerror.InvalidRequest.New("plan in state %q", d.Name)
}
