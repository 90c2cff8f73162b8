package daisyoperator

import (
	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyplan"
	"daisyyoke/core/daisyvm"
)

// Command is what an operator asks for, free of any encoding. It is one of
// CreatePlan, RestorePlan, ListPlans, ViewPlan, ConfirmPlan, DiscardPlan,
// ViewConfig, ListServices, ListEndpoints, PlanEndpoint, ListVMs and DrainVM.
type Command interface{ command() }

// CreatePlan makes a plan from an intent.
type CreatePlan struct{ Intent daisyconfig.Intent }

// RestorePlan makes a plan that goes back to the intent of an earlier revision.
type RestorePlan struct{ Revision daisyconfig.Revision }

// ListPlans gives all plans.
type ListPlans struct{}

// ViewPlan gives one plan.
type ViewPlan struct{ ID daisyplan.ID }

// ConfirmPlan puts a plan in force.
type ConfirmPlan struct{ ID daisyplan.ID }

// DiscardPlan ends a plan that is not confirmed.
type DiscardPlan struct{ ID daisyplan.ID }

// ViewConfig gives a confirmed configuration; revision 0 means the one in force.
type ViewConfig struct{ Revision daisyconfig.Revision }

// ListServices gives the services.
type ListServices struct{}

// ListEndpoints gives the endpoints.
type ListEndpoints struct{}

// PlanEndpoint makes a plan that drains or resumes endpoints.
type PlanEndpoint struct{ Request EndpointRequest }

// ListVMs gives the VMs.
type ListVMs struct{}

// DrainVM begins a planned stop of a VM.
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
