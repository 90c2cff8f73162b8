package daisyoperator

import (
	"context"
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyplan"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

// Plans creates, stores and confirms plans.
type Plans interface {
	Create(ctx context.Context, intent daisyconfig.Intent, operator string) (daisyplan.Plan, error)
	List(ctx context.Context) ([]daisyplan.Record, error)
	View(ctx context.Context, id daisyplan.ID) (daisyplan.Plan, error)
	Confirm(ctx context.Context, id daisyplan.ID, operator string) (daisyplan.Plan, error)
	Discard(ctx context.Context, id daisyplan.ID, operator string) error
	DrainEndpoint(ctx context.Context, id daisyconfig.EndpointID, operator string) (daisyplan.Plan, error)
	ResumeEndpoint(ctx context.Context, id daisyconfig.EndpointID, operator string) (daisyplan.Plan, error)
	// Restore creates a plan that restores the intent of an earlier revision.
	Restore(ctx context.Context, revision daisyconfig.Revision, operator string) (daisyplan.Plan, error)
}

// Configs provides confirmed configurations.
type Configs interface {
	// InForce returns nil while no configuration is in force.
	InForce() *daisyconfig.Snapshot
	View(ctx context.Context, revision daisyconfig.Revision) (*daisyconfig.Snapshot, error)
	History(ctx context.Context, limit int) ([]daisyconfig.Head, error)
}

// Work provides the number of requests and attempts in progress on this VM.
type Work interface {
	ServiceWork(id daisyservice.ID) (inFlight, waiting int)
	// EndpointStatus returns the state of an endpoint as seen by the VM.
	EndpointStatus(id daisyconfig.EndpointID) daisyroute.EndpointStatus
}

// Membership lists the VMs and starts their planned stops.
type Membership interface {
	ListVMs() []VM
	Drain(ctx context.Context, name daisyvm.Name) error
}

// maxHistoryEntries bounds the audit trail in one response.
const maxHistoryEntries = 100

// Operations executes operators' commands.
type Operations struct {
	Plans      Plans
	Configs    Configs
	Work       Work
	Membership Membership
}

// Result is the result of a command: one of the documents of this package.
type Result any

// Handle executes an operator's command. It fails with the types of daisyerror.
func (o *Operations) Handle(ctx context.Context, operator string, command Command) (Result, error) {
	switch c := command.(type) {
	case CreatePlan:
		return encodePlanResult(o.Plans.Create(ctx, c.Intent, operator))
	case ListPlans:
		return o.listPlans(ctx)
	case ViewPlan:
		return encodePlanResult(o.Plans.View(ctx, c.ID))
	case ConfirmPlan:
		return encodePlanResult(o.Plans.Confirm(ctx, c.ID, operator))
	case DiscardPlan:
		return o.discardPlan(ctx, c.ID, operator)
	case RestorePlan:
		return encodePlanResult(o.Plans.Restore(ctx, c.Revision, operator))
	case ViewConfig:
		return o.viewConfig(ctx, c.Revision)
	case ListServices:
		return o.listServices(), nil
	case ListEndpoints:
		return o.listEndpoints(), nil
	case PlanEndpoint:
		return o.planEndpoint(ctx, c.Request, operator)
	case ListVMs:
		return o.Membership.ListVMs(), nil
	case DrainVM:
		return o.drainVM(ctx, c.Name)
	}
	return nil, daisyerror.Internal.New("no answer to a command of type %T", command)
}

func encodePlanResult(p daisyplan.Plan, err error) (Result, error) {
	if err != nil {
		return nil, err
	}
	return encodePlan(p), nil
}

func (o *Operations) listPlans(ctx context.Context) (Result, error) {
	records, err := o.Plans.List(ctx)
	if err != nil {
		return nil, err
	}
	plans := make([]Plan, 0, len(records))
	for _, r := range records {
		plans = append(plans, encodeRecord(r))
	}
	return plans, nil
}

func (o *Operations) discardPlan(ctx context.Context, id daisyplan.ID, operator string) (Result, error) {
	if err := o.Plans.Discard(ctx, id, operator); err != nil {
		return nil, err
	}
	return encodePlanResult(o.Plans.View(ctx, id))
}

func (o *Operations) viewConfig(ctx context.Context, revision daisyconfig.Revision) (Result, error) {
	s, err := o.snapshot(ctx, revision)
	if err != nil {
		return nil, err
	}
	c, err := encodeConfig(s)
	if err != nil {
		return nil, err
	}
	for _, v := range o.Membership.ListVMs() {
		c.InForce = append(c.InForce, InForce{VM: v.Name, Revision: v.Revision})
	}
	// The history is best effort: it holds the entries that the object store returned
	// before the first error.
	history, _ := o.Configs.History(ctx, maxHistoryEntries)
	for _, h := range history {
		c.History = append(c.History, encodeRevision(h))
	}
	return c, nil
}

func (o *Operations) snapshot(ctx context.Context, revision daisyconfig.Revision) (*daisyconfig.Snapshot, error) {
	if revision != 0 {
		return o.Configs.View(ctx, revision)
	}
	s := o.Configs.InForce()
	if s == nil {
		return nil, daisyerror.NotFound.New("no configuration is in force yet; make a plan and confirm it")
	}
	return s, nil
}

func (o *Operations) services() []daisyservice.Service {
	s := o.Configs.InForce()
	if s == nil {
		return nil
	}
	var services []daisyservice.Service
	for _, f := range s.Intent.Fleets {
		services = append(services, f.Services...)
	}
	return services
}

func (o *Operations) listServices() []Service {
	list := []Service{}
	for _, s := range o.services() {
		inFlight, waiting := o.Work.ServiceWork(s.ID)
		v := Service{
			Fleet:     string(s.ID.Fleet),
			Service:   s.ID.Name,
			Endpoints: len(s.Endpoints),
			Slots:     s.Slots(),
			InFlight:  inFlight,
			Waiting:   waiting,
		}
		for _, r := range s.Ranks {
			v.Ranks = append(v.Ranks, string(r.Name))
		}
		for _, e := range s.Endpoints {
			if e.Draining {
				v.Draining++
			}
		}
		list = append(list, v)
	}
	return list
}

func (o *Operations) listEndpoints() []Endpoint {
	list := []Endpoint{}
	for _, s := range o.services() {
		for _, e := range s.Endpoints {
			status := o.Work.EndpointStatus(daisyconfig.EndpointID{Service: s.ID, Address: e.Address})
			document := Endpoint{
				Fleet:       string(s.ID.Fleet),
				Service:     s.ID.Name,
				Address:     e.Address,
				Zone:        e.Zone.String(),
				Slots:       e.Slots,
				Connections: e.Connections,
				InFlight:    status.InFlight,
				State:       status.Condition.String(),
				Pause:       status.ResumesIn.Round(time.Millisecond).String(),
			}
			if l, ok := status.RateLimit.(daisyendpoint.Limited); ok {
				perSecond := l.PerSecond()
				document.RateLimit, document.RateUsed = &perSecond, status.RateUsed
			}
			list = append(list, document)
		}
	}
	return list
}

func (o *Operations) planEndpoint(ctx context.Context, request EndpointRequest, operator string) (Result, error) {
	id, err := o.findEndpoint(request)
	if err != nil {
		return nil, err
	}
	if request.Draining {
		return encodePlanResult(o.Plans.DrainEndpoint(ctx, id, operator))
	}
	return encodePlanResult(o.Plans.ResumeEndpoint(ctx, id, operator))
}

func (o *Operations) findEndpoint(request EndpointRequest) (daisyconfig.EndpointID, error) {
	var found []daisyconfig.EndpointID
	for _, s := range o.services() {
		if !request.matches(s.ID) {
			continue
		}
		for _, e := range s.Endpoints {
			if e.Address == request.Address {
				found = append(found, daisyconfig.EndpointID{Service: s.ID, Address: e.Address})
			}
		}
	}
	switch len(found) {
	case 0:
		return daisyconfig.EndpointID{}, daisyerror.NotFound.New("no endpoint %s in the configuration in force", request.Address)
	case 1:
		return found[0], nil
	}
	return daisyconfig.EndpointID{}, daisyerror.InvalidRequest.New(
		"endpoint %s serves %d services, %s and %s among them; choose one with --fleet and --service",
		request.Address, len(found), found[0].Service, found[1].Service)
}

func (r EndpointRequest) matches(id daisyservice.ID) bool {
	return (r.Fleet == "" || r.Fleet == string(id.Fleet)) && (r.Service == "" || r.Service == id.Name)
}

func (o *Operations) drainVM(ctx context.Context, name daisyvm.Name) (Result, error) {
	if err := o.Membership.Drain(ctx, name); err != nil {
		return nil, err
	}
	for _, v := range o.Membership.ListVMs() {
		if v.Name == string(name) {
			return v, nil
		}
	}
	return VM{Name: string(name), State: "leaving"}, nil
}
