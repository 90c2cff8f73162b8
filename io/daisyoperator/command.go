package daisyoperator

import (
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyplan"
	"daisyyoke/core/daisyvm"
)

// Command is an operator's command, independent of its encoding. It is one of
// CreatePlan, RestorePlan, ListPlans, ViewPlan, ConfirmPlan, DiscardPlan,
// ViewConfig, ListServices, ListEndpoints, PlanEndpoint, ListVMs and DrainVM.
type Command interface{ command() }

// CreatePlan creates a plan from an intent.
type CreatePlan struct{ Intent daisyconfig.Intent }

// RestorePlan creates a plan that restores the intent of an earlier revision.
type RestorePlan struct{ Revision daisyconfig.Revision }

// ListPlans returns the plans created yesterday and today (UTC).
type ListPlans struct{}

// ViewPlan returns one plan.
type ViewPlan struct{ ID daisyplan.ID }

// ConfirmPlan puts a plan in force.
type ConfirmPlan struct{ ID daisyplan.ID }

// DiscardPlan discards a plan that is not confirmed.
type DiscardPlan struct{ ID daisyplan.ID }

// ViewConfig returns a confirmed configuration; revision 0 means the one in force.
type ViewConfig struct{ Revision daisyconfig.Revision }

// ListServices returns the services in the configuration in force.
type ListServices struct{}

// ListEndpoints returns the endpoints in the configuration in force.
type ListEndpoints struct{}

// PlanEndpoint creates a plan that drains or resumes an endpoint.
type PlanEndpoint struct{ Request EndpointRequest }

// ListVMs returns the VMs.
type ListVMs struct{}

// DrainVM starts the planned stop of a VM.
type DrainVM struct{ Name daisyvm.Name }

func (CreatePlan) command()    {}
func (RestorePlan) command()   {}
func (ListPlans) command()     {}
func (ViewPlan) command()      {}
func (ConfirmPlan) command()   {}
func (DiscardPlan) command()   {}
func (ViewConfig) command()    {}
func (ListServices) command()  {}
func (ListEndpoints) command() {}
func (PlanEndpoint) command()  {}
func (ListVMs) command()       {}
func (DrainVM) command()       {}
