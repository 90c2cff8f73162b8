package daisytrial

import "time"

// Document is the machine-readable report of a trial.
type Document struct {
	Kinds []KindDocument `json:"kinds"`
	Audit AuditDocument  `json:"audit"`
}

// KindDocument is the counts and latency percentiles of one kind of calls.
type KindDocument struct {
	Service    string  `json:"service"`
	Rank       string  `json:"rank"`
	Requests   int     `json:"requests"`
	Served     int     `json:"served"`
	Refused    int     `json:"refused"`
	Failed     int     `json:"failed"`
	Truncated  int     `json:"cut"`
	NoResponse int     `json:"no-answer"`
	P50        float64 `json:"p50-milliseconds"`
	P99        float64 `json:"p99-milliseconds"`
	P999       float64 `json:"p999-milliseconds"`
}

// AuditDocument is an audit in the report.
type AuditDocument struct {
	Lost           int `json:"lost"`
	Truncated      int `json:"cut"`
	Mismatched     int `json:"mixed-up"`
	Duplicated     int `json:"doubled"`
	FalseNotRun    int `json:"false-not-run"`
	BrokenByOutage int `json:"broken-off-by-the-trial"`
	NeverRan       int `json:"never-ran"`
}

// Document returns the report of the ledger with an audit.
func (l *Ledger) Document(audit Audit) Document {
	d := Document{Audit: AuditDocument(audit)}
	for _, r := range l.Rows() {
		c := r.Counts
		d.Kinds = append(d.Kinds, KindDocument{
			Service:    r.Kind.Service.String(),
			Rank:       string(r.Kind.Rank),
			Requests:   c.Requests,
			Served:     c.Served,
			Refused:    c.Refused,
			Failed:     c.Failed,
			Truncated:  c.Truncated,
			NoResponse: c.NoResponse,
			P50:        milliseconds(c.Quantile(50)),
			P99:        milliseconds(c.Quantile(99)),
			P999:       milliseconds(c.Quantile(99.9)),
		})
	}
	return d
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
