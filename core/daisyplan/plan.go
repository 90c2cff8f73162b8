// Package daisyplan computes the changes that an intent would make to the
// configuration in force, and their effect on the services.
//
// A plan is a pure function of two immutable values, the base snapshot and the
// intent, so that any VM can recompute it from its Record.
package daisyplan

import (
	"time"

	"daisyyoke/core/daisyconfig"
)

// ID identifies a plan. It consists of the day of creation and a random part, in kebab case.
type ID string

// Lifetime is the time from the creation of a plan until it expires.
const Lifetime = 24 * time.Hour

// Record is the part of a plan that is stored.
type Record struct {
	ID ID
	// Base is the revision that the plan was made from. The plan can be confirmed
	// only while Base is the newest revision.
	Base daisyconfig.Revision
	// BaseHash is the hash of the snapshot of Base; empty if Base is 0.
	BaseHash daisyconfig.Hash
	// IntentHash is the hash that identifies the stored intent object.
	IntentHash   daisyconfig.Hash
	CreatedAt    time.Time
	CreatedBy    string
	Expires      time.Time
	State        State
	ChangeCount  int
	WarningCount int
}

// Plan is a Record together with its intent and everything computed from it.
type Plan struct {
	Record
	Intent   daisyconfig.Intent
	Changes  []Change
	Impacts  []Impact
	Warnings []Warning
	// WithdrawnEndpoints lists the endpoints that stop receiving new requests, except those of
	// zones that are evacuated, which a Change names.
	WithdrawnEndpoints []daisyconfig.EndpointID
}

// New returns the plan that replaces the configuration in force, base, by the
// intent. The base is nil if no configuration has been confirmed yet. New sets
// all fields of the record except ID, IntentHash and CreatedBy.
func New(base *daisyconfig.Snapshot, intent daisyconfig.Intent, now time.Time) Plan {
	var before daisyconfig.Intent
	p := Plan{Intent: intent}
	if base != nil {
		before = base.Intent
		p.Base = base.Revision
		p.BaseHash = base.Hash
	}
	p.Changes = compareIntents(before, intent)
	p.Impacts = computeImpacts(before, intent)
	p.WithdrawnEndpoints = withdrawnEndpoints(p.Changes)
	p.Warnings = computeWarnings(before, intent, p)
	p.CreatedAt = now
	p.Expires = now.Add(Lifetime)
	p.State = Open{}
	p.ChangeCount = len(p.Changes)
	p.WarningCount = len(p.Warnings)
	return p
}
