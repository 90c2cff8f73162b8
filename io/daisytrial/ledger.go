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
	shortestTime = int64(10 * time.Microsecond)
	longestTime  = int64(time.Hour)
	// digits is the number of significant digits that a histogram keeps.
	digits = 3
)

// Kind groups calls that belong together in a report.
type Kind struct {
	Service daisyservice.ID
	Rank    daisyrank.Name
}

// Counts are the fates of the calls of one kind.
type Counts struct {
	Requests, Served, Refused, Failed, Cut, MixedUp, NoAnswer int
	times                                                     *hdrhistogram.Histogram
}

// Quantile gives the time within which a share of the served calls were answered.
func (c *Counts) Quantile(q float64) time.Duration {
	return time.Duration(c.times.ValueAtQuantile(q))
}

type entry struct {
	call Call
	fate Fate
}

// Ledger keeps the fate of every call. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	entries []entry
}

// Record adds the fate of a call.
func (l *Ledger) Record(call Call, fate Fate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, entry{call: call, fate: fate})
}

// Row is the counts of one kind.
type Row struct {
	Kind   Kind
	Counts *Counts
}

// Rows gives the counts by kind, in the order of fleet, service and rank.
func (l *Ledger) Rows() []Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	byKind := make(map[Kind]*Counts)
	var rows []Row
	for _, e := range l.entries {
		k := Kind{Service: e.call.Stream.Service, Rank: e.call.Stream.Rank}
		if byKind[k] == nil {
			byKind[k] = &Counts{times: hdrhistogram.New(shortestTime, longestTime, digits)}
			rows = append(rows, Row{Kind: k, Counts: byKind[k]})
		}
		byKind[k].add(e.fate)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Kind.Service.String(), b.Kind.Service.String()), cmp.Compare(a.Kind.Rank, b.Kind.Rank))
	})
	return rows
}

func (c *Counts) add(fate Fate) {
	c.Requests++
	switch f := fate.(type) {
	case Served:
		c.Served++
		_ = c.times.RecordValue(int64(f.Took))
	case Refused:
		c.Refused++
	case Failed:
		c.Failed++
	case Cut:
		c.Cut++
	case MixedUp:
		c.MixedUp++
	case NoAnswer:
		c.NoAnswer++
	}
}

// Causes counts why calls were cut or got no answer.
func (l *Ledger) Causes() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	causes := make(map[string]int)
	for _, e := range l.entries {
		switch f := e.fate.(type) {
		case Cut:
			causes["cut: "+rootOf(f.Cause)]++
		case NoAnswer:
			causes["no answer: "+rootOf(f.Cause)]++
		case Served, Refused, Failed, MixedUp:
		}
	}
	return causes
}

// rootOf names the innermost cause, which is free of addresses.
func rootOf(err error) string {
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

// Audit is what the ledger and the endpoints' own counts show together.
type Audit struct {
	// Lost counts calls that got no answer at all, not even a failure.
	Lost int
	// Cut counts answers that broke off.
	Cut int
	// MixedUp counts answers to another request.
	MixedUp int
	// Doubled counts calls of POST that ran more than once.
	Doubled int
	// FalseNotRun counts calls that were promised not to have run, and ran.
	FalseNotRun int
	// BrokenOff counts calls that a fault of the trial broke off by its nature, for
	// instance those under way at a killed VM. They break no promise.
	BrokenOff int
	// NeverRan counts calls that were served though no endpoint ran them.
	NeverRan int
}

// Sound says that nothing was lost, cut, mixed up, doubled or promised falsely.
func (a Audit) Sound() bool { return a == Audit{BrokenOff: a.BrokenOff} }

// Audit compares the ledger with how often the endpoints ran each key, and sets
// apart what the outages of the trial broke off.
func (l *Ledger) Audit(ran map[string]int, outages ...Outage) Audit {
	l.mu.Lock()
	defer l.mu.Unlock()
	var a Audit
	for _, e := range l.entries {
		runs := ran[e.call.Key]
		if e.call.Stream.Method == http.MethodPost && runs > 1 {
			a.Doubled++
		}
		switch f := e.fate.(type) {
		case Served:
			a.NeverRan += one(runs == 0 && f.Status < http.StatusInternalServerError)
		case Refused:
			a.FalseNotRun += one(runs > 0)
		case Cut:
			covered := one(coversAny(outages, f.Span))
			a.BrokenOff += covered
			a.Cut += 1 - covered
		case MixedUp:
			a.MixedUp++
		case NoAnswer:
			covered := one(f.Span.VM.IsValid() && coversAny(outages, f.Span))
			a.BrokenOff += covered
			a.Lost += 1 - covered
		case Failed:
		}
	}
	return a
}

func coversAny(outages []Outage, span Span) bool {
	return slices.ContainsFunc(outages, func(o Outage) bool { return o.covers(span) })
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}
