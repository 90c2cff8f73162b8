// Package daisyload parses the load reports of endpoints and probes endpoints for them.
package daisyload

import (
	"sync"
	"time"

	"github.com/dunglas/httpsfv"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
)

// Header is the name of the header field that carries a load report, an RFC 9651 dictionary:
//
//	Daisy-Load: in-flight=2, slots=3, draining=?0, rate-limit=1.5, leaving=?0
//
// The optional rate-limit is the number of requests per second that the endpoint accepts
// from all VMs together. Without it, the endpoint has no limit. With leaving=?1 the endpoint
// says that it is going to stop and cannot be used again before it has restarted.
const Header = "Daisy-Load"

// maxCount limits the numbers in a report, so that sums of false reports do not overflow.
const maxCount = 1 << 20

// Parse parses the values of the header field of a response that arrived at now.
// Unknown members are ignored; in-flight and slots are required. It fails with
// daisyerror.InvalidRequest.
func Parse(now time.Time, values []string) (daisyendpoint.Report, error) {
	d, err := httpsfv.UnmarshalDictionary(values)
	if err != nil {
		return daisyendpoint.Report{}, daisyerror.InvalidRequest.Wrap(err, Header)
	}
	inFlight, err := parseCount(d, "in-flight", 0)
	if err != nil {
		return daisyendpoint.Report{}, err
	}
	slots, err := parseCount(d, "slots", 1)
	if err != nil {
		return daisyendpoint.Report{}, err
	}
	draining, err := parseFlag(d, "draining")
	if err != nil {
		return daisyendpoint.Report{}, err
	}
	limit, err := parseRateLimit(d)
	if err != nil {
		return daisyendpoint.Report{}, err
	}
	return daisyendpoint.Report{At: now, InFlight: inFlight, Slots: slots, Draining: draining, RateLimit: limit}, nil
}

func parseRateLimit(d *httpsfv.Dictionary) (daisyendpoint.RateLimit, error) {
	m, ok := d.Get("rate-limit")
	if !ok {
		return daisyendpoint.Unlimited{}, nil
	}
	item, _ := m.(httpsfv.Item)
	perSecond, ok := item.Value.(float64)
	if n, isInteger := item.Value.(int64); isInteger {
		perSecond, ok = float64(n), true
	}
	limit, valid := daisyendpoint.NewRateLimit(perSecond)
	if !ok || !valid {
		return nil, daisyerror.InvalidRequest.New("%s: rate-limit has to be a number of requests per second, at least 0", Header)
	}
	return limit, nil
}

func parseCount(d *httpsfv.Dictionary, name string, minimum int64) (int, error) {
	m, _ := d.Get(name)
	item, _ := m.(httpsfv.Item)
	n, ok := item.Value.(int64)
	if !ok || n < minimum || n > maxCount {
		return 0, daisyerror.InvalidRequest.New("%s: %s has to be an integer from %d to %d", Header, name, minimum, maxCount)
	}
	return int(n), nil
}

func parseFlag(d *httpsfv.Dictionary, name string) (bool, error) {
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

// maxCached limits the header values that a Parser caches. A service has few distinct
// values: in-flight ranges from 0 to the number of slots of an endpoint.
const maxCached = 1024

// Parser caches parsed reports by header value, because the same few values recur in
// every response. It is safe for concurrent use.
type Parser struct {
	mu     sync.RWMutex
	cached map[string]daisyendpoint.Report
}

// NewParser returns a parser with an empty cache.
func NewParser() *Parser { return &Parser{cached: make(map[string]daisyendpoint.Report)} }

// Parse is like the function Parse, but caches the reports of single header values.
func (p *Parser) Parse(now time.Time, values []string) (daisyendpoint.Report, error) {
	if len(values) != 1 {
		return Parse(now, values)
	}
	p.mu.RLock()
	report, ok := p.cached[values[0]]
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
	if len(p.cached) >= maxCached {
		clear(p.cached)
	}
	p.cached[values[0]] = report
	return report, nil
}
