package daisylog

import (
	"encoding/json"
	"io"

	"github.com/hashicorp/go-hclog"
)

// Decisions are written in the format of hclog by encoding/json: hclog takes several
// times as long, because it builds a map of each line. A record has the fields of one
// kind of line.

// head has the fields of every record.
type head struct {
	Level     string `json:"@level"`
	Message   string `json:"@message"`
	Module    string `json:"@module"`
	Timestamp string `json:"@timestamp"`
	// KeptShare is the share of the requests that are logged; absent when that is all.
	KeptShare float64 `json:"kept-share,omitempty"`
}

type subjectFields struct {
	Fleet    string `json:"fleet"`
	Service  string `json:"service"`
	Rank     string `json:"rank"`
	Request  uint64 `json:"request"`
	Name     string `json:"name,omitempty"`
	Route    string `json:"route,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
}

type sentRecord struct {
	head
	subjectFields
	Endpoint   string `json:"endpoint"`
	Why        string `json:"why"`
	Choice     string `json:"choice"`
	Considered string `json:"considered"`
	Free       int    `json:"free"`
	Waited     string `json:"waited"`
	Left       string `json:"left"`
	Attempt    uint64 `json:"attempt"`
	Instance   string `json:"instance,omitempty"`
	*reportFields
}

type reportFields struct {
	InFlight int     `json:"report-in-flight"`
	Waiting  int     `json:"report-waiting"`
	Slowdown float64 `json:"report-slowdown"`
	Age      string  `json:"report-age"`
}

type attemptFailedRecord struct {
	head
	subjectFields
	Endpoint string `json:"endpoint"`
	Attempt  uint64 `json:"attempt"`
	Outcome  string `json:"outcome"`
	Cause    string `json:"cause"`
	Took     string `json:"took"`
}

type answeredRecord struct {
	head
	subjectFields
	Endpoint string `json:"endpoint"`
	Attempt  uint64 `json:"attempt"`
	Status   int    `json:"status"`
	Whole    bool   `json:"whole"`
	Attempts int    `json:"attempts"`
	Took     string `json:"took"`
}

type refusedRecord struct {
	head
	subjectFields
	Why        string `json:"why"`
	Status     int    `json:"status"`
	Attempts   int    `json:"attempts"`
	Waited     string `json:"waited"`
	Left       string `json:"left"`
	Needs      string `json:"needs,omitempty"`
	RetryAfter string `json:"retry-after"`
}

type rejectedRecord struct {
	head
	Name   string `json:"name"`
	Host   string `json:"host"`
	Path   string `json:"path"`
	Status int    `json:"status"`
	Why    string `json:"why"`
}

type abandonedRecord struct {
	head
	subjectFields
	Attempts int    `json:"attempts"`
	Took     string `json:"took"`
}

type canceledRecord struct {
	head
	subjectFields
	Endpoint string `json:"endpoint"`
	Attempt  uint64 `json:"attempt"`
}

type changedRecord struct {
	head
	Fleet     string `json:"fleet"`
	Service   string `json:"service"`
	Endpoint  string `json:"endpoint"`
	Condition string `json:"condition"`
}

type lendingRecord struct {
	head
	Fleet    string `json:"fleet"`
	Service  string `json:"service"`
	Owner    string `json:"owner"`
	Guessing bool   `json:"guessing"`
}

func newEncoder(output io.Writer) *json.Encoder {
	e := json.NewEncoder(output)
	e.SetEscapeHTML(false)
	return e
}

// head begins the record of an entry.
func (l *Log) head(e entry, text string) head {
	h := head{Level: hclog.Info.String(), Message: text, Module: module, Timestamp: e.at.Format(hclog.TimeFormatJSON)}
	if share := l.sampler.share(); share < 1 {
		h.KeptShare = share
	}
	return h
}
