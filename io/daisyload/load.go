// Package daisyload reads what endpoints report of their load, and asks them for it.
package daisyload

import (
	"sync"
	"time"

	"github.com/dunglas/httpsfv"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
)

// Header is the name of the header with a report, a dictionary of RFC 9651:
//
//	Daisy-Load: in-flight=2, slots=3, draining=?0
const Header = "Daisy-Load"

// maxCount bounds what a report may say, so that a false one overflows nothing.
const maxCount = 1 << 20

// Parse reads the values of the header that arrived at now. Unknown members are
// ignored; in-flight and slots have to be there. It fails with daisyerror.InvalidRequest.
func Parse(now time.Time, values []string) (daisyendpoint.Report, error) {
	d, err := httpsfv.UnmarshalDictionary(values)
	if err != nil {
		return daisyendpoint.Report{}, daisyerror.InvalidRequest.Wrap(err, Header)
	}
	inFlight, err := count(d, "in-flight", 0)
	if err != nil {
		return daisyendpoint.Report{}, err
	}
	slots, err := count(d, "slots", 1)
	if err != nil {
		return daisyendpoint.Report{}, err
	}
	draining, err := flag(d, "draining")
	if err != nil {
		return daisyendpoint.Report{}, err
	}
	return daisyendpoint.Report{At: now, InFlight: inFlight, Slots: slots, Draining: draining}, nil
}

func count(d *httpsfv.Dictionary, name string, least int64) (int, error) {
	m, _ := d.Get(name)
	item, _ := m.(httpsfv.Item)
	n, ok := item.Value.(int64)
	if !ok || n < least || n > maxCount {
		return 0, daisyerror.InvalidRequest.New("%s: %s has to be an integer from %d to %d", Header, name, least, maxCount)
	}
	return int(n), nil
}

func flag(d *httpsfv.Dictionary, name string) (bool, error) {
	m, ok := d.Get(name)
	if !ok {
		return false, nil
	}
	item, _ := m.(httpsfv.Item)
	b, ok := item.Value.(bool)
	if !ok {
		return false, daisyerror.InvalidRequest.New("%s: %s has to be a boolean", Header, name)
	}
	return b, nil
}

// maxKnown bounds the values that a Parser remembers. A service has few: the
// requests in flight of an endpoint, up to its slots.
const maxKnown = 1024

// Parser remembers what it has read, because the same few values come with
// every answer. It is safe for concurrent use.
type Parser struct {
	mu    sync.RWMutex
	known map[string]daisyendpoint.Report
}

// NewParser gives a parser that remembers nothing yet.
func NewParser() *Parser { return &Parser{known: make(map[string]daisyendpoint.Report)} }

// Parse does the same as the function Parse.
func (p *Parser) Parse(now time.Time, values []string) (daisyendpoint.Report, error) {
	if len(values) != 1 {
		return Parse(now, values)
	}
	p.mu.RLock()
	report, ok := p.known[values[0]]
	p.mu.RUnlock()
	if ok {
		report.At = now
		return report, nil
	}
	report, err := Parse(now, values)
	if err != nil {
		return report, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.known) >= maxKnown {
		clear(p.known)
	}
	p.known[values[0]] = report
	return report, nil
}
