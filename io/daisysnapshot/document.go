package daisysnapshot

import (
	"net/netip"
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

type snapshotDocument struct {
	Revision    uint64         `json:"revision"`
	Previous    string         `json:"previous,omitempty"`
	PlanID      string         `json:"plan-id,omitempty"`
	ConfirmedBy string         `json:"confirmed-by,omitempty"`
	ConfirmedAt time.Time      `json:"confirmed-at"`
	Intent      intentDocument `json:"intent"`
	// Evacuated are availability zones as FLEET/NAME.
	Evacuated   []string             `json:"evacuated,omitempty"`
	Adjustments []adjustmentDocument `json:"adjustments,omitempty"`
}

type intentDocument struct {
	Fleets []fleetDocument `json:"fleets"`
}

type fleetDocument struct {
	Name              string            `json:"name"`
	AvailabilityZones []zoneDocument    `json:"availability-zones,omitempty"`
	Ranks             []rankDocument    `json:"ranks,omitempty"`
	Services          []serviceDocument `json:"services,omitempty"`
	Routes            []routeDocument   `json:"routes,omitempty"`
	CallerLimits      *limitsDocument   `json:"caller-limits,omitempty"`
	Accounts          []accountDocument `json:"accounts,omitempty"`
	KeysRequired      bool              `json:"keys-required,omitempty"`
}

type zoneDocument struct {
	Name string `json:"name"`
	City string `json:"city,omitempty"`
	// Evacuated applies to the endpoints of the zone too.
	Evacuated bool `json:"evacuated,omitempty"`
}

type rankDocument struct {
	Name   string  `json:"name"`
	Target string  `json:"target"`
	Worth  float64 `json:"worth"`
	Floor  float64 `json:"floor"`
}

type serviceDocument struct {
	Name        string             `json:"name"`
	Ranks       []string           `json:"ranks,omitempty"`
	DefaultRank int                `json:"default-rank"`
	Protocol    string             `json:"protocol,omitempty"`
	HealthPath  string             `json:"health-path,omitempty"`
	Connections int                `json:"connections,omitempty"`
	ColdStart   string             `json:"cold-start,omitempty"`
	ColdRate    float64            `json:"cold-rate-per-second,omitempty"`
	Endpoints   []endpointDocument `json:"endpoints,omitempty"`
}

type endpointDocument struct {
	Address     netip.AddrPort `json:"address"`
	Zone        string         `json:"availability-zone,omitempty"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections,omitempty"`
	Draining    bool           `json:"draining,omitempty"`
	Instance    string         `json:"instance,omitempty"`
	Started     int64          `json:"started-milliseconds,omitempty"`
	Evacuated   bool           `json:"evacuated,omitempty"`
	ColdFor     string         `json:"cold-for,omitempty"`
}

func newSnapshotDocument(s *daisyconfig.Snapshot) snapshotDocument {
	return snapshotDocument{
		Revision:    uint64(s.Revision),
		Previous:    string(s.Previous),
		PlanID:      s.PlanID,
		ConfirmedBy: s.ConfirmedBy,
		ConfirmedAt: s.ConfirmedAt.UTC().Round(0),
		Intent:      newIntentDocument(s.Intent),
		Evacuated:   encodeZones(s.Evacuated),
		Adjustments: newAdjustmentDocuments(s.Adjustments),
	}
}

func newIntentDocument(i daisyconfig.Intent) intentDocument {
	var d intentDocument
	for _, f := range i.Fleets {
		d.Fleets = append(d.Fleets, newFleetDocument(f))
	}
	return d
}

func newFleetDocument(f daisyconfig.Fleet) fleetDocument {
	d := fleetDocument{Name: string(f.Name), KeysRequired: f.KeysRequired}
	for _, z := range f.AvailabilityZones {
		d.AvailabilityZones = append(d.AvailabilityZones, zoneDocument{Name: z.ID.Zone, City: z.City, Evacuated: z.Evacuated})
	}
	for _, r := range f.Ranks {
		d.Ranks = append(d.Ranks, rankDocument{
			Name:   string(r.Name),
			Target: r.Target.String(),
			Worth:  r.Worth,
			Floor:  r.Floor,
		})
	}
	for _, s := range f.Services {
		d.Services = append(d.Services, newServiceDocument(s))
	}
	for _, r := range f.Routes {
		d.Routes = append(d.Routes, newRouteDocument(r))
	}
	for _, a := range f.Accounts {
		d.Accounts = append(d.Accounts, newAccountDocument(a))
	}
	if f.CallerLimits != (daisyconfig.CallerLimits{}) {
		d.CallerLimits = newLimitsDocument(f.CallerLimits)
	}
	return d
}

func newServiceDocument(s daisyservice.Service) serviceDocument {
	d := serviceDocument{
		Name:        s.ID.Name,
		DefaultRank: int(s.DefaultRank),
		HealthPath:  s.HealthPath,
		Connections: s.Connections,
		ColdStart:   encodeDuration(s.ColdStart),
		ColdRate:    s.ColdRate,
	}
	if s.Protocol != daisyservice.HTTP1 {
		d.Protocol = s.Protocol.String()
	}
	for _, r := range s.Ranks {
		d.Ranks = append(d.Ranks, string(r.Name))
	}
	for _, e := range s.Endpoints {
		d.Endpoints = append(d.Endpoints, endpointDocument{
			Address:     e.Address,
			Zone:        e.Zone.Zone,
			Slots:       e.Slots,
			Connections: e.Connections,
			Draining:    e.Draining,
			Instance:    string(e.Instance),
			Started:     e.Started,
			Evacuated:   e.Evacuated,
			ColdFor:     encodeDuration(e.ColdFor),
		})
	}
	return d
}

func (d snapshotDocument) snapshot() (*daisyconfig.Snapshot, error) {
	intent, err := d.Intent.intent()
	if err != nil {
		return nil, err
	}
	if d.Revision == 0 {
		return nil, daisyerror.InvalidRequest.New("snapshot without a revision")
	}
	evacuated, err := decodeZones(d.Evacuated)
	if err != nil {
		return nil, err
	}
	return &daisyconfig.Snapshot{
		Revision:    daisyconfig.Revision(d.Revision),
		Previous:    daisyconfig.Hash(d.Previous),
		PlanID:      d.PlanID,
		ConfirmedBy: d.ConfirmedBy,
		ConfirmedAt: d.ConfirmedAt,
		Intent:      intent,
		Evacuated:   evacuated,
		Adjustments: d.adjustments(),
	}, nil
}

func (d intentDocument) intent() (daisyconfig.Intent, error) {
	var i daisyconfig.Intent
	for _, f := range d.Fleets {
		fleet, err := f.fleet()
		if err != nil {
			return daisyconfig.Intent{}, err
		}
		i.Fleets = append(i.Fleets, fleet)
	}
	return i, nil
}

func (d fleetDocument) fleet() (daisyconfig.Fleet, error) {
	f := daisyconfig.Fleet{Name: daisyfleet.Name(d.Name), KeysRequired: d.KeysRequired}
	if !daisyfleet.ValidName(d.Name) {
		return f, daisyerror.InvalidRequest.New("fleet name %q", d.Name)
	}
	for _, z := range d.AvailabilityZones {
		id := daisyfleet.ZoneID{Fleet: f.Name, Zone: z.Name}
		f.AvailabilityZones = append(f.AvailabilityZones, daisyfleet.AvailabilityZone{ID: id, City: z.City, Evacuated: z.Evacuated})
	}
	for _, r := range d.Ranks {
		target, err := time.ParseDuration(r.Target)
		if err != nil {
			return f, daisyerror.InvalidRequest.Wrap(err, "rank %q of fleet %s", r.Name, f.Name)
		}
		f.Ranks = append(f.Ranks, daisyrank.Rank{Name: daisyrank.Name(r.Name), Target: target, Worth: r.Worth, Floor: r.Floor})
	}
	for _, s := range d.Services {
		service, err := s.service(f)
		if err != nil {
			return f, err
		}
		f.Services = append(f.Services, service)
	}
	for _, r := range d.Routes {
		route, err := r.route(f.Name)
		if err != nil {
			return f, err
		}
		f.Routes = append(f.Routes, route)
	}
	for _, a := range d.Accounts {
		account, err := a.account()
		if err != nil {
			return f, err
		}
		f.Accounts = append(f.Accounts, account)
	}
	if d.CallerLimits != nil {
		limits, err := d.CallerLimits.limits()
		if err != nil {
			return f, err
		}
		f.CallerLimits = limits
	}
	return f, nil
}

func (d serviceDocument) service(fleet daisyconfig.Fleet) (daisyservice.Service, error) {
	s := daisyservice.Service{
		ID:          daisyservice.ID{Fleet: fleet.Name, Name: d.Name},
		DefaultRank: daisyrank.Index(d.DefaultRank),
		HealthPath:  d.HealthPath,
		Connections: d.Connections,
		ColdRate:    d.ColdRate,
	}
	for _, n := range d.Ranks {
		r, ok := findRank(fleet.Ranks, daisyrank.Name(n))
		if !ok {
			return s, daisyerror.InvalidRequest.New("service %s: rank %q is not declared", s.ID, n)
		}
		s.Ranks = append(s.Ranks, r)
	}
	if d.DefaultRank < 0 || d.DefaultRank > 0 && d.DefaultRank >= len(s.Ranks) {
		return s, daisyerror.InvalidRequest.New("service %s: default rank %d", s.ID, d.DefaultRank)
	}
	var ok bool
	if s.Protocol, ok = parseProtocol(d.Protocol); !ok {
		return s, daisyerror.InvalidRequest.New("service %s: protocol %q", s.ID, d.Protocol)
	}
	var err error
	if s.ColdStart, err = decodeDuration(d.ColdStart); err != nil {
		return s, err
	}
	s.Endpoints, err = d.endpoints(s.ID, fleet)
	return s, err
}

func (d serviceDocument) endpoints(service daisyservice.ID, fleet daisyconfig.Fleet) ([]daisyendpoint.Endpoint, error) {
	var endpoints []daisyendpoint.Endpoint
	for _, e := range d.Endpoints {
		coldFor, err := decodeDuration(e.ColdFor)
		if err != nil {
			return nil, err
		}
		if !e.Address.IsValid() || e.Slots < 0 || e.Connections < 0 {
			return nil, daisyerror.InvalidRequest.New("service %s: endpoint %s", service, e.Address)
		}
		zone := daisyfleet.ZoneID{Fleet: fleet.Name, Zone: e.Zone}
		endpoints = append(endpoints, daisyendpoint.Endpoint{
			Address:     e.Address,
			Zone:        zone,
			Slots:       e.Slots,
			Connections: e.Connections,
			Draining:    e.Draining,
			Instance:    daisyendpoint.Instance(e.Instance),
			Started:     e.Started,
			Evacuated:   e.Evacuated || fleet.Evacuated(zone),
			ColdFor:     coldFor,
		})
	}
	return endpoints, nil
}

// encodeDuration returns a time in the notation of time.ParseDuration; empty if it is 0.
func encodeDuration(t time.Duration) string {
	if t == 0 {
		return ""
	}
	return t.String()
}

func decodeDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	t, err := time.ParseDuration(text)
	if err != nil {
		return 0, daisyerror.InvalidRequest.Wrap(err, "time %q", text)
	}
	return t, nil
}

// parseProtocol parses the name of a protocol. An empty name means HTTP/1, which
// the encoding omits.
func parseProtocol(name string) (daisyservice.Protocol, bool) {
	if name == "" {
		return daisyservice.HTTP1, true
	}
	for _, p := range []daisyservice.Protocol{daisyservice.HTTP1, daisyservice.HTTP2} {
		if p.String() == name {
			return p, true
		}
	}
	return daisyservice.HTTP1, false
}

func findRank(ranks []daisyrank.Rank, name daisyrank.Name) (daisyrank.Rank, bool) {
	for _, r := range ranks {
		if r.Name == name {
			return r, true
		}
	}
	return daisyrank.Rank{}, false
}
