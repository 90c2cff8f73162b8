package daisyoperator

import (
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyplan"
	"daisyyoke/io/daisyintent"
)

func encodeRecord(r daisyplan.Record) Plan {
	p := Plan{
		ID:           string(r.ID),
		State:        daisyplan.StateName(r.State),
		BaseRevision: uint64(r.Base),
		CreatedAt:    r.CreatedAt,
		CreatedBy:    r.CreatedBy,
		ExpiresAt:    r.Expires,
		Changes:      []string{},
		Effects:      []string{},
		Warnings:     []string{},
	}
	if s, ok := r.State.(daisyplan.Confirmed); ok {
		p.Revision = uint64(s.Revision)
		p.ConfirmedBy = s.By
		p.ConfirmedAt = optionalTime(s.At)
	}
	return p
}

func optionalTime(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}

func encodePlan(plan daisyplan.Plan) Plan {
	p := encodeRecord(plan.Record)
	for _, c := range plan.Changes {
		p.Changes = append(p.Changes, DescribeChange(c))
	}
	for _, e := range plan.Impacts {
		p.Effects = append(p.Effects, DescribeImpact(e))
	}
	for _, e := range plan.WithdrawnEndpoints {
		p.Effects = append(p.Effects, "no new work for endpoint "+e.Service.String()+"/"+e.Address.String())
	}
	for _, w := range plan.Warnings {
		p.Warnings = append(p.Warnings, DescribeWarning(w))
	}
	return p
}

func encodeConfig(s *daisyconfig.Snapshot) (Config, error) {
	text, err := daisyintent.Encode(s.Intent)
	if err != nil {
		return Config{}, err
	}
	return Config{
		Revision:    uint64(s.Revision),
		Hash:        string(s.Hash),
		ConfirmedAt: s.ConfirmedAt,
		ConfirmedBy: s.ConfirmedBy,
		PlanID:      s.PlanID,
		IntentYAML:  string(text),
	}, nil
}

func encodeRevision(s daisyconfig.Head) Revision {
	return Revision{
		Revision:    uint64(s.Revision),
		Hash:        string(s.Hash),
		PlanID:      s.PlanID,
		ConfirmedAt: s.ConfirmedAt,
		ConfirmedBy: s.ConfirmedBy,
	}
}
