package daisylog

import (
	"net/netip"
	"strings"
)

func (l *Log) print(e entry) {
	switch n := e.line.(type) {
	case Sent:
		l.write(e, "request sent", n.record())
	case AttemptFailed:
		l.write(e, "attempt failed", &attemptFailedRecord{subjectFields: n.fields(), Endpoint: n.Endpoint.String(),
			Attempt: uint64(n.Attempt), Outcome: n.Outcome, Cause: n.Cause, Took: n.Took.String()})
	case Answered:
		l.write(e, "request answered", &answeredRecord{subjectFields: n.fields(), Endpoint: n.Endpoint.String(),
			Attempt: uint64(n.Attempt), Status: n.Status, Whole: n.Whole, Attempts: n.Attempts, Took: n.Took.String()})
	case Refused:
		l.write(e, "request refused", &refusedRecord{subjectFields: n.fields(), Why: n.Why, Status: n.Status,
			Attempts: n.Attempts, Waited: n.Waited.String(), RetryAfter: n.RetryAfter.String()})
	case Rejected:
		l.write(e, "request rejected", &rejectedRecord{Name: string(n.Name), Host: n.Host, Path: n.Path, Status: n.Status, Why: n.Why})
	case Abandoned:
		l.write(e, "request abandoned", &abandonedRecord{subjectFields: n.fields(), Attempts: n.Attempts, Took: n.Took.String()})
	case Canceled:
		l.write(e, "attempt canceled", &canceledRecord{subjectFields: n.fields(), Endpoint: n.Endpoint.String(), Attempt: uint64(n.Attempt)})
	case Changed:
		l.write(e, "endpoint changed", &changedRecord{Fleet: string(n.Service.Fleet), Service: n.Service.Name,
			Endpoint: n.Endpoint.String(), Condition: n.Condition})
	case Lending:
		l.write(e, "lending changed", &lendingRecord{Fleet: string(n.Service.Fleet), Service: n.Service.Name,
			Owner: string(n.Owner), Guessing: n.Guessing})
	case message:
		// A log has nowhere to report that its own output fails.
		_, _ = l.output.Write(n.text)
	}
}

func (l *Log) write(e entry, text string, r record) {
	l.decisions.write(e.at, text, l.sampler.share(), r)
}

func (n Sent) record() *sentRecord {
	r := &sentRecord{
		subjectFields: n.fields(),
		Endpoint:      n.Endpoint.String(),
		Why:           n.Why,
		Choice:        n.Choice,
		Considered:    addresses(n.Considered),
		Free:          n.Free,
		Waited:        n.Waited.String(),
		Left:          n.Left.String(),
		Attempt:       uint64(n.Attempt),
		Instance:      string(n.Instance),
	}
	if !n.Report.At.IsZero() {
		r.reportFields = &reportFields{
			InFlight: n.Report.InFlight,
			Waiting:  n.Report.Waiting,
			Slowdown: n.Report.Slowdown,
			Age:      n.ReportAge.String(),
		}
	}
	return r
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
