// Package daisyplan works out what an intent would change in the configuration
// in force, and what that means for the services.
//
// A plan is a function of two immutable values, the snapshot it was made from
// and the intent, so that any VM can show it again from its Record.
package daisyplan

import (
	"time"

	"daisyyoke/core/daisyconfig"
)

// ID identifies a plan: the day it was made and a random part, in kebab case.
type ID string

// Lifetime is how long a plan can be confirmed.
const Lifetime = 24 * time.Hour

// Record is what is kept of a plan.
type Record struct {
	ID ID
	// Base is the revision it was made from, and the only one that it can follow.
	Base daisyconfig.Revision
	// BaseHash names the snapshot of Base; it is empty when Base is 0.
	BaseHash daisyconfig.Hash
	// IntentHash names the object that holds the intent.
	IntentHash   daisyconfig.Hash
	CreatedAt    time.Time
	CreatedBy    string
	Expires      time.Time
	State        State
	ChangeCount  int
	WarningCount int
}

// Plan is a record with all that it means.
type Plan struct {
	Record
	Intent   daisyconfig.Intent
	Changes  []Change
	Impacts  []Impact
	Warnings []Warning
	// Losing are the endpoints that get no new work any more.
	Losing []daisyconfig.EndpointID
}

// Make gives the plan that leads from the configuration in force to the intent.
// The base is nil when nothing has been confirmed yet. The record is filled in
// but for its ID, its hash of the intent and its creator.
func Make(base *daisyconfig.Snapshot, intent daisyconfig.Intent, now time.Time) Plan {
	var before daisyconfig.Intent
	p := Plan{Intent: intent}
	if base != nil {
		before = base.Intent
		p.Base = base.Revision
		p.BaseHash = base.Hash
	}
	p.Changes = compare(before, intent)
	p.Impacts = weigh(before, intent)
	p.Losing = losing(p.Changes)
	p.Warnings = warn(before, intent, p)
	p.CreatedAt = now
	p.Expires = now.Add(Lifetime)
	p.State = Open{}
	p.ChangeCount = len(p.Changes)
	p.WarningCount = len(p.Warnings)
	return p
}
