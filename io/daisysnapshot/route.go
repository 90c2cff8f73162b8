package daisysnapshot

import (
	"time"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

type routeDocument struct {
	Name       string         `json:"name"`
	Host       string         `json:"host"`
	Prefix     string         `json:"prefix"`
	Rank       string         `json:"rank"`
	Idempotent bool           `json:"idempotent,omitempty"`
	Timeout    string         `json:"timeout"`
	Target     string         `json:"target"`
	Attempts   int            `json:"attempts,omitempty"`
	Public     bool           `json:"public,omitempty"`
	Revision   uint64         `json:"revision,omitempty"`
	Parts      []partDocument `json:"parts"`
}

type partDocument struct {
	Fleet   string `json:"fleet,omitempty"`
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

type limitsDocument struct {
	HeaderBytes int    `json:"header-bytes,omitempty"`
	BodyBytes   int64  `json:"body-bytes,omitempty"`
	HeaderTime  string `json:"header-time"`
	IdleTime    string `json:"idle-time"`
}

func newRouteDocument(r daisypath.Route) routeDocument {
	d := routeDocument{
		Name:       r.Name,
		Host:       r.Host,
		Prefix:     r.Prefix,
		Rank:       string(r.Rank),
		Idempotent: r.Idempotent,
		Timeout:    r.Timeout.String(),
		Target:     r.Target.String(),
		Attempts:   r.Attempts,
		Public:     r.Public,
		Revision:   r.Revision,
	}
	for _, p := range r.Parts {
		d.Parts = append(d.Parts, partDocument{Fleet: string(p.Service.Fleet), Service: p.Service.Name, Weight: p.Weight})
	}
	return d
}

func (d routeDocument) route(fleet daisyfleet.Name) (daisypath.Route, error) {
	timeout, err := time.ParseDuration(d.Timeout)
	if err != nil {
		return daisypath.Route{}, daisyerror.InvalidRequest.Wrap(err, "route %q: timeout", d.Name)
	}
	target, err := time.ParseDuration(d.Target)
	if err != nil {
		return daisypath.Route{}, daisyerror.InvalidRequest.Wrap(err, "route %q: target", d.Name)
	}
	r := daisypath.Route{
		Name:       d.Name,
		Host:       d.Host,
		Prefix:     d.Prefix,
		Rank:       daisyrank.Name(d.Rank),
		Idempotent: d.Idempotent,
		Timeout:    timeout,
		Target:     target,
		Attempts:   d.Attempts,
		Public:     d.Public,
		Revision:   d.Revision,
	}
	for _, p := range d.Parts {
		id := daisyservice.ID{Fleet: daisyfleet.Name(p.Fleet), Name: p.Service}
		// A part that names no fleet belongs to the fleet of its route.
		if p.Fleet == "" {
			id.Fleet = fleet
		}
		r.Parts = append(r.Parts, daisypath.Part{Service: id, Weight: p.Weight})
	}
	return r, nil
}

func newLimitsDocument(l daisyconfig.CallerLimits) *limitsDocument {
	return &limitsDocument{
		HeaderBytes: l.HeaderBytes,
		BodyBytes:   l.BodyBytes,
		HeaderTime:  l.HeaderTime.String(),
		IdleTime:    l.IdleTime.String(),
	}
}

func (d limitsDocument) limits() (daisyconfig.CallerLimits, error) {
	headerTime, err := time.ParseDuration(d.HeaderTime)
	if err != nil {
		return daisyconfig.CallerLimits{}, daisyerror.InvalidRequest.Wrap(err, "header time of callers")
	}
	idleTime, err := time.ParseDuration(d.IdleTime)
	if err != nil {
		return daisyconfig.CallerLimits{}, daisyerror.InvalidRequest.Wrap(err, "idle time of callers")
	}
	return daisyconfig.CallerLimits{HeaderBytes: d.HeaderBytes, BodyBytes: d.BodyBytes, HeaderTime: headerTime, IdleTime: idleTime}, nil
}
