package daisylog

import (
	"encoding/json"
	"io"

	"github.com/hashicorp/go-hclog"
)

// Decisions are encoded by encoding/json in the JSON format of hclog. hclog itself takes
// several times as long because it builds a map for each line. Each record type has the
// fields of one type of line.

// commonFields contains the fields that all records share.
type commonFields struct {
	Level     string `json:"@level"`
	Message   string `json:"@message"`
	Module    string `json:"@module"`
	Timestamp string `json:"@timestamp"`
	// SampledShare is the share of requests that are logged; it is omitted if all are logged.
	SampledShare float64 `json:"kept-share,omitempty"`
}

// subjectFields contains the fields of a Subject.
type subjectFields struct {
	Fleet    string `json:"fleet"`
	Service  string `json:"service"`
	Rank     string `json:"rank"`
	Request  uint64 `json:"request"`
	Name     string `json:"name,omitempty"`
	Route    string `json:"route,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Account  string `json:"account,omitempty"`
}

type sentRecord struct {
	commonFields
	subjectFields
	Endpoint      string `json:"endpoint"`
	Reason        string `json:"why"`
	Choice        string `json:"choice"`
	Considered    string `json:"considered"`
	FreeEndpoints int    `json:"free"`
	Waited        string `json:"waited"`
	Remaining     string `json:"left"`
	Attempt       uint64 `json:"attempt"`
	Instance      string `json:"instance,omitempty"`
	ConfigAge     string `json:"configuration-age,omitempty"`
	*reportFields
	*rateFields
}

// rateFields contains the rate limit of an endpoint that has one.
type rateFields struct {
	// RateLimit is in requests per second, RateUsed the share of it that this VM used.
	RateLimit float64 `json:"rate-limit"`
	RateUsed  float64 `json:"rate-used"`
}

// reportFields contains the fields of the endpoint's load report, if there is one.
type reportFields struct {
	InFlight int     `json:"report-in-flight"`
	Waiting  int     `json:"report-waiting"`
	Slowdown float64 `json:"report-slowdown"`
	Age      string  `json:"report-age"`
}

type attemptFailedRecord struct {
	commonFields
	subjectFields
	Endpoint     string `json:"endpoint"`
	Attempt      uint64 `json:"attempt"`
	Outcome      string `json:"outcome"`
	Cause        string `json:"cause"`
	ResponseTime string `json:"took"`
	Fingerprint  string `json:"fingerprint,omitempty"`
}

type answeredRecord struct {
	commonFields
	subjectFields
	Endpoint string `json:"endpoint"`
	Attempt  uint64 `json:"attempt"`
	Status   int    `json:"status"`
	Complete bool   `json:"whole"`
	Cause    string `json:"cause,omitempty"`
	Attempts int    `json:"attempts"`
	Duration string `json:"took"`
}

type refusedRecord struct {
	commonFields
	subjectFields
	Cause      string `json:"why"`
	Status     int    `json:"status"`
	Attempts   int    `json:"attempts"`
	Waited     string `json:"waited"`
	Remaining  string `json:"left"`
	Expected   string `json:"needs,omitempty"`
	RetryAfter string `json:"retry-after"`
}

type rejectedRecord struct {
	commonFields
	Name   string `json:"name"`
	Host   string `json:"host"`
	Path   string `json:"path"`
	Status int    `json:"status"`
	Reason string `json:"why"`

	ConfigAge      string `json:"configuration-age,omitempty"`
	ConfigAgeBound string `json:"configuration-age-bound,omitempty"`
	Account        string `json:"account,omitempty"`
}

type abandonedRecord struct {
	commonFields
	subjectFields
	Attempts int    `json:"attempts"`
	Duration string `json:"took"`
}

type canceledRecord struct {
	commonFields
	subjectFields
	Endpoint string `json:"endpoint"`
	Attempt  uint64 `json:"attempt"`
}

type changedRecord struct {
	commonFields
	Fleet     string `json:"fleet"`
	Service   string `json:"service"`
	Endpoint  string `json:"endpoint"`
	Condition string `json:"condition"`
}

type noticedRecord struct {
	commonFields
	Fleet    string `json:"fleet"`
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	Instance string `json:"instance,omitempty"`
	// Notice is "leaving", "pausing" or "malformed".
	Notice string `json:"notice"`
	// Pause is how long nothing is sent, and Asked how long the endpoint asked for.
	Pause string `json:"pause,omitempty"`
	Asked string `json:"asked,omitempty"`
	// Text is what could not be understood.
	Text     string `json:"text,omitempty"`
	FromPeer bool   `json:"from-peer"`
}

type rateLimitRecord struct {
	commonFields
	Fleet    string `json:"fleet"`
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	// RateLimit is in requests per second; null means no limit.
	RateLimit *float64 `json:"rate-limit"`
	VMs       int      `json:"vms"`
	FromPeer  bool     `json:"from-peer"`
	// ColdFor is how long the endpoint stays cold.
	ColdFor string `json:"cold-for,omitempty"`
}

type probedRecord struct {
	commonFields
	Fleet    string `json:"fleet"`
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
}

type crashedRecord struct {
	commonFields
	Fleet       string `json:"fleet"`
	Service     string `json:"service"`
	Endpoint    string `json:"endpoint"`
	Fingerprint string `json:"fingerprint"`
	Crashes     int    `json:"crashes"`
	Quarantine  string `json:"quarantine"`
	FromPeer    bool   `json:"from-peer"`
}

type quarantinedRecord struct {
	commonFields
	Fleet       string `json:"fleet"`
	Service     string `json:"service"`
	Fingerprint string `json:"fingerprint"`
	Crashes     int    `json:"crashes"`
	Quarantine  string `json:"quarantine"`
}

type acquittedRecord struct {
	commonFields
	Fleet       string `json:"fleet"`
	Service     string `json:"service"`
	Fingerprint string `json:"fingerprint"`
}

type droppedRecord struct{ commonFields }

type lendingRecord struct {
	commonFields
	Fleet      string `json:"fleet"`
	Service    string `json:"service"`
	Owner      string `json:"owner"`
	Zone       string `json:"availability-zone,omitempty"`
	InFallback bool   `json:"guessing"`
}

type divisionRecord struct {
	commonFields
	Fleet   string `json:"fleet"`
	Service string `json:"service"`
	Owner   string `json:"owner"`
	Divided bool   `json:"owner-for-each-zone"`
}

type quotaRecord struct {
	commonFields
	Fleet             string `json:"fleet"`
	Account           string `json:"account"`
	Limited           bool   `json:"limited"`
	Refused           int    `json:"refused"`
	CoordinatorSilent bool   `json:"coordinator-silent"`
}

func newEncoder(output io.Writer) *json.Encoder {
	e := json.NewEncoder(output)
	e.SetEscapeHTML(false)
	return e
}

// commonFields returns the common fields for the record of an entry. The text is its message.
func (l *Log) commonFields(e entry, text string) commonFields {
	c := commonFields{Level: hclog.Info.String(), Message: text, Module: module, Timestamp: e.at.Format(hclog.TimeFormatJSON)}
	if share := l.sampler.share(); share < 1 {
		c.SampledShare = share
	}
	return c
}
