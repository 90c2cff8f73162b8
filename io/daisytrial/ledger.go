package daisytrial

import (
	"cmp"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/joomcode/errorx"

	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

const (
	minLatency = int64(10 * time.Microsecond)
	maxLatency = int64(time.Hour)
	// significantDigits is the precision of the latency histograms.
	significantDigits = 3
)

// Kind is the key by which a report groups calls.
type Kind struct {
	Service daisyservice.ID
	Rank    daisyrank.Name
}

// Counts are the numbers of calls of one kind by outcome, and the latencies of those served.
type Counts struct {
	Requests, Served, Refused, Failed, Truncated, Mismatched, NoResponse int
	latencies                                                            *hdrhistogram.Histogram
}

// Quantile returns the time within which q percent of the served calls were answered.
func (c *Counts) Quantile(q float64) time.Duration {
	return time.Duration(c.latencies.ValueAtQuantile(q))
}

type entry struct {
	call    Call
	outcome Outcome
}

// Ledger records the outcome of every call. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries []entry
}

// Record adds the outcome of a call.
func (l *Ledger) Record(call Call, outcome Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, entry{call: call, outcome: outcome})
}

// Row is the counts of one kind.
type Row struct {
	Kind   Kind
	Counts *Counts
}

// Rows returns the counts by kind, sorted by fleet, service and rank.
func (l *Ledger) Rows() []Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	byKind := make(map[Kind]*Counts)
	var rows []Row
	for _, e := range l.entries {
		k := Kind{Service: e.call.Stream.Service, Rank: e.call.Stream.Rank}
		if byKind[k] == nil {
			byKind[k] = &Counts{latencies: hdrhistogram.New(minLatency, maxLatency, significantDigits)}
			rows = append(rows, Row{Kind: k, Counts: byKind[k]})
		}
		byKind[k].add(e.outcome)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Kind.Service.String(), b.Kind.Service.String()), cmp.Compare(a.Kind.Rank, b.Kind.Rank))
	})
	return rows
}

func (c *Counts) add(outcome Outcome) {
	c.Requests++
	switch o := outcome.(type) {
	case Served:
		c.Served++
		_ = c.latencies.RecordValue(int64(o.Duration))
	case Refused:
		c.Refused++
	case Failed:
		c.Failed++
	case Truncated:
		c.Truncated++
	case Mismatched:
		c.Mismatched++
	case NoResponse:
		c.NoResponse++
	}
}

// Causes counts the truncated responses and missing responses by cause.
func (l *Ledger) Causes() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	causes := make(map[string]int)
	for _, e := range l.entries {
		switch o := e.outcome.(type) {
		case Truncated:
			causes["cut: "+rootCause(o.Cause)]++
		case NoResponse:
			causes["no answer: "+rootCause(o.Cause)]++
		case Served, Refused, Failed, Mismatched:
		}
	}
	return causes
}

// rootCause returns the message of the innermost cause. It contains no addresses, so that
// equal causes are counted together.
func rootCause(err error) string {
	for {
		var next error
		if x := errorx.Cast(err); x != nil {
			next = x.Cause()
		} else {
			next = errors.Unwrap(err)
		}
		if next == nil {
			return err.Error()
		}
		err = next
	}
}

// Audit is the result of comparing the ledger with the counts of the endpoints.
type Audit struct {
	// Lost counts calls that got no response at all, not even a failure.
	Lost int
	// Truncated counts responses that were broken off.
	Truncated int
	// Mismatched counts responses that belong to another request.
	Mismatched int
	// Duplicated counts POST calls that ran more than once.
	Duplicated int
	// FalseNotRun counts calls that were reported as not run, but ran.
	FalseNotRun int
	// BrokenByOutage counts calls that were broken off by an injected outage, such as
	// those in flight at a killed VM. They are expected and violate no guarantee.
	BrokenByOutage int
	// NeverRan counts calls that were served although no endpoint ran them.
	NeverRan int
}

// Sound reports whether the audit found no violation.
func (a Audit) Sound() bool { return a == Audit{BrokenByOutage: a.BrokenByOutage} }

// Audit compares the ledger with ran, the number of times that the endpoints ran each
// key. Calls that were broken off by one of the outages are counted separately.
func (l *Ledger) Audit(ran map[string]int, outages ...Outage) Audit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var a Audit
	for _, e := range l.entries {
		runs := ran[e.call.Key]
		if e.call.Stream.Method == http.MethodPost && runs > 1 {
			a.Duplicated++
		}
		switch o := e.outcome.(type) {
		case Served:
			a.NeverRan += boolToInt(runs == 0 && o.Status < http.StatusInternalServerError)
		case Refused:
			a.FalseNotRun += boolToInt(runs > 0)
		case Truncated:
			covered := boolToInt(coversAny(outages, o.Span))
			a.BrokenByOutage += covered
			a.Truncated += 1 - covered
		case Mismatched:
			a.Mismatched++
		case NoResponse:
			covered := boolToInt(o.Span.VM.IsValid() && coversAny(outages, o.Span))
			a.BrokenByOutage += covered
			a.Lost += 1 - covered
		case Failed:
		}
	}
	return a
}

func coversAny(outages []Outage, span Span) bool {
	return slices.ContainsFunc(outages, func(o Outage) bool { return o.covers(span) })
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
