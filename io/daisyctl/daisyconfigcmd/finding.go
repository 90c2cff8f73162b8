package daisyconfigcmd

import (
	"fmt"

	"daisyyoke/core/daisylint"
	"daisyyoke/core/daisypath"
	"daisyyoke/io/daisyoperator"
)

// Finding is the document of one finding of config check.
type Finding struct {
	Severity string `json:"severity"`
	Kind     string `json:"kind"`
	Line     int    `json:"line,omitempty"`
	Text     string `json:"text"`
}

const (
	severityError   = "error"
	severityWarning = "warning"
)

func encodeFinding(finding daisylint.Finding) Finding {
	d := Finding{Severity: severityWarning}
	if daisylint.IsError(finding) {
		d.Severity = severityError
	}
	switch f := finding.(type) {
	case daisylint.Invalid:
		d.Kind, d.Line, d.Text = "invalid", f.Line, f.Text
	case daisylint.Adjusted:
		d.Kind, d.Text = "adjusted", fmt.Sprintf("%s: %s; %s", f.Adjustment.Entry, f.Adjustment.Problem, f.Adjustment.Effect)
	case daisylint.KeysHeld:
		d.Kind = "keys-held"
		d.Text = fmt.Sprintf("account %s/%s: %d of its %d keys belong to account %s, which comes first", f.Fleet, f.Account, f.Held, f.Total, f.Holder)
	case daisylint.QuotaAboveCapacity:
		d.Kind = "quota-above-capacity"
		d.Text = fmt.Sprintf("account %s/%s: its quota of %g requests a second is above the %.0f that the slots can serve", f.Fleet, f.Account, f.Quota.PerSecond, f.Capacity)
	case daisylint.ServiceEvacuated:
		d.Kind, d.Text = "service-evacuated", fmt.Sprintf("service %s: all its endpoints are in evacuated availability zones: %v", f.Service, f.Zones)
	case daisylint.PlanWarning:
		d.Kind, d.Text = "plan-warning", daisyoperator.DescribeWarning(f.Warning)
	default:
		d.Kind, d.Text = describeRouteFinding(finding)
	}
	return d
}

func describeRouteFinding(finding daisylint.Finding) (kind, text string) {
	switch f := finding.(type) {
	case daisylint.RouteHidden:
		return "route-hidden", fmt.Sprintf("%s: never matches; route %s comes first with the same host and prefix", routeTitle(f.Route), f.By.Name)
	case daisylint.RouteUnmatchable:
		return "route-unmatchable", routeTitle(f.Route) + ": never matches; the prefix has to begin with a slash, and the host is matched without a port"
	case daisylint.RouteWithoutService:
		return "route-without-service", routeTitle(f.Route) + ": no service of it has a weight above 0"
	case daisylint.PartUnused:
		return "part-unused", fmt.Sprintf("%s: service %s gets no requests with weight %d", routeTitle(f.Route), f.Part.Service, f.Part.Weight)
	case daisylint.TimeoutBelowTarget:
		if f.Route.Timeout <= 0 {
			return "timeout-below-target", fmt.Sprintf("%s: all requests time out at once, since its timeout is %s", routeTitle(f.Route), f.Route.Timeout)
		}
		return "timeout-below-target", fmt.Sprintf("%s: its timeout %s is below its latency target %s", routeTitle(f.Route), f.Route.Timeout, f.Route.Target)
	case daisylint.AttemptsUnused:
		return "attempts-unused", fmt.Sprintf("%s: only the first of its %d attempts can be used, since it is not idempotent", routeTitle(f.Route), f.Route.Attempts)
	}
	return "unknown", fmt.Sprintf("%T", finding)
}

func routeTitle(r daisypath.Route) string {
	return fmt.Sprintf("route %s (%s%s)", r.Name, r.Host, r.Prefix)
}
