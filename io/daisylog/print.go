package daisylog

import (
	"net/netip"
	"strings"
	"time"

	"daisyyoke/core/daisyendpoint"
)

// encodeEntry writes the record of a line to the output buffer.
func (l *Log) encodeEntry(e entry) {
	switch n := e.line.(type) {
	case Sent:
		l.encode(n.record(l.commonFields(e, "request sent")))
	case AttemptFailed:
		l.encode(&attemptFailedRecord{commonFields: l.commonFields(e, "attempt failed"), subjectFields: n.fields(), Endpoint: n.Endpoint.String(),
			Attempt: uint64(n.Attempt), Outcome: n.Outcome, Cause: n.Cause, ResponseTime: n.ResponseTime.String(), Fingerprint: n.Fingerprint.String()})
	case Answered:
		l.encode(&answeredRecord{commonFields: l.commonFields(e, "request answered"), subjectFields: n.fields(), Endpoint: n.Endpoint.String(),
			Attempt: uint64(n.Attempt), Status: n.Status, Complete: n.Complete, Cause: n.Cause, Attempts: n.Attempts, Duration: n.Duration.String()})
	case Refused:
		l.encode(n.record(l.commonFields(e, "request refused")))
	case Rejected:
		l.encode(&rejectedRecord{commonFields: l.commonFields(e, "request rejected"), Name: string(n.Name), Host: n.Host, Path: n.Path, Status: n.Status, Reason: n.Reason, ConfigAge: knownAge(n.ConfigAge),
			ConfigAgeBound: ageBound(n.ConfigAgeBound), Account: string(n.Account)})
	case Abandoned:
		l.encode(&abandonedRecord{commonFields: l.commonFields(e, "request abandoned"), subjectFields: n.fields(), Attempts: n.Attempts, Duration: n.Duration.String()})
	case Canceled:
		l.encode(&canceledRecord{commonFields: l.commonFields(e, "attempt canceled"), subjectFields: n.fields(), Endpoint: n.Endpoint.String(), Attempt: uint64(n.Attempt)})
	case EndpointChanged:
		l.encode(&changedRecord{commonFields: l.commonFields(e, "endpoint changed"), Fleet: string(n.Service.Fleet), Service: n.Service.Name,
			Endpoint: n.Endpoint.String(), Condition: n.Condition})
	case EndpointNoticed:
		l.encode(n.record(l.commonFields(e, "endpoint notice")))
	case RateLimitChanged:
		l.encode(&rateLimitRecord{commonFields: l.commonFields(e, "endpoint rate limit changed"), Fleet: string(n.Service.Fleet), Service: n.Service.Name,
			Endpoint: n.Endpoint.String(), RateLimit: perSecond(n.RateLimit), VMs: n.VMs, FromPeer: n.FromPeer, ColdFor: knownAge(n.ColdFor)})
	case Probed:
		l.encode(&probedRecord{commonFields: l.commonFields(e, "endpoint probed"), Fleet: string(n.Service.Fleet), Service: n.Service.Name,
			Endpoint: n.Endpoint.String()})
	case EndpointCrashed:
		l.encode(&crashedRecord{commonFields: l.commonFields(e, "endpoint crashed under a request"), Fleet: string(n.Service.Fleet), Service: n.Service.Name,
			Endpoint: n.Endpoint.String(), Fingerprint: n.Fingerprint.String(), Crashes: n.Crashes, Quarantine: n.Quarantine.String(), FromPeer: n.FromPeer})
	case RequestQuarantined:
		l.encode(&quarantinedRecord{commonFields: l.commonFields(e, "request quarantined"), Fleet: string(n.Service.Fleet), Service: n.Service.Name,
			Fingerprint: n.Fingerprint.String(), Crashes: n.Crashes, Quarantine: n.Quarantine.String()})
	case RequestAcquitted:
		l.encode(&acquittedRecord{commonFields: l.commonFields(e, "request acquitted"), Fleet: string(n.Service.Fleet), Service: n.Service.Name,
			Fingerprint: n.Fingerprint.String()})
	case FindingDropped:
		l.encode(&droppedRecord{commonFields: l.commonFields(e, "finding not shared with other services")})
	case LendingChanged:
		l.encode(&lendingRecord{commonFields: l.commonFields(e, "lending changed"), Fleet: string(n.Service.Fleet), Service: n.Service.Name,
			Owner: string(n.Owner), Zone: n.Zone.Zone, InFallback: n.InFallback})
	case DivisionChanged:
		l.encode(&divisionRecord{commonFields: l.commonFields(e, "division changed"), Fleet: string(n.Service.Fleet), Service: n.Service.Name,
			Owner: string(n.Owner), Divided: n.Divided})
	case QuotaChanged:
		l.encode(&quotaRecord{commonFields: l.commonFields(e, "quota"), Fleet: string(n.Fleet), Account: string(n.Account),
			Limited: n.Limited, Refused: n.Refused, CoordinatorSilent: n.CoordinatorSilent})
	case message:
		// A log has nowhere to report that its own output fails.
		_, _ = l.output.Write(n.text)
	}
}

func (l *Log) encode(record any) {
	// A log has nowhere to report that its own output fails.
	_ = l.decisions.Encode(record)
}

func (n Refused) record(c commonFields) *refusedRecord {
	r := &refusedRecord{
		commonFields:  c,
		subjectFields: n.fields(),
		Cause:         n.Cause,
		Status:        n.Status,
		Attempts:      n.Attempts,
		Waited:        n.Waited.String(),
		Remaining:     n.Remaining.String(),
		RetryAfter:    n.RetryAfter.String(),
	}
	if n.Expected > 0 {
		r.Expected = n.Expected.String()
	}
	return r
}

func (n EndpointNoticed) record(c commonFields) *noticedRecord {
	r := &noticedRecord{
		commonFields: c,
		Fleet:        string(n.Service.Fleet),
		Service:      n.Service.Name,
		Endpoint:     n.Endpoint.String(),
		Instance:     string(n.Instance),
		FromPeer:     n.FromPeer,
	}
	switch x := n.Notice.(type) {
	case daisyendpoint.Leaving:
		r.Notice = "leaving"
	case daisyendpoint.Pausing:
		r.Notice, r.Pause, r.Asked = "pausing", x.For.String(), x.Asked.String()
	case daisyendpoint.Malformed:
		r.Notice, r.Text = "malformed", x.Text
	}
	return r
}

func (n Sent) record(c commonFields) *sentRecord {
	r := &sentRecord{
		commonFields:  c,
		subjectFields: n.fields(),
		Endpoint:      n.Endpoint.String(),
		Reason:        n.Reason,
		Choice:        n.Choice,
		Considered:    addresses(n.Considered),
		FreeEndpoints: n.FreeEndpoints,
		Waited:        n.Waited.String(),
		Remaining:     n.Remaining.String(),
		Attempt:       uint64(n.Attempt),
		Instance:      string(n.Instance),
		ConfigAge:     knownAge(n.ConfigAge),
	}
	if !n.Report.At.IsZero() {
		r.reportFields = &reportFields{
			InFlight: n.Report.InFlight,
			Waiting:  n.Report.Waiting,
			Slowdown: n.Report.Slowdown,
			Age:      n.ReportAge.String(),
		}
	}
	if limit := perSecond(n.RateLimit); limit != nil {
		r.rateFields = &rateFields{RateLimit: *limit, RateUsed: n.RateUsed}
	}
	return r
}

// knownAge returns an age or another time span as text; empty if it is 0 or not known.
func knownAge(age time.Duration) string {
	if age == 0 {
		return ""
	}
	return age.String()
}

// ageBound returns the bound for which a request was rejected, or an empty string.
func ageBound(bound time.Duration) string {
	if bound < 0 {
		return "unknown"
	}
	return knownAge(bound)
}

// perSecond returns a rate limit in requests per second, or nil if there is none.
func perSecond(limit daisyendpoint.RateLimit) *float64 {
	l, ok := limit.(daisyendpoint.Limited)
	if !ok {
		return nil
	}
	rate := l.PerSecond()
	return &rate
}

func (s Subject) fields() subjectFields {
	return subjectFields{
		Fleet:    string(s.Service.Fleet),
		Service:  s.Service.Name,
		Rank:     string(s.Rank),
		Request:  uint64(s.Request),
		Name:     string(s.Name),
		Route:    s.Route,
		Revision: s.Revision,
		Account:  string(s.Account),
	}
}

func addresses(a []netip.AddrPort) string {
	var b strings.Builder
	for i, x := range a {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(x.String())
	}
	return b.String()
}
