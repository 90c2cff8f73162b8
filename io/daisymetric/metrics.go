// Package daisymetric provides the metrics of a VM in the Prometheus text format.
//
// Metric names are in snake case because the exposition format allows no hyphens.
package daisymetric

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyquota"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyservice"
)

// Metrics holds the metrics of one VM. Its methods do nothing on a nil pointer,
// and all of them are safe for concurrent use.
type Metrics struct {
	set      *metrics.Set
	help     helpTexts
	ranks    cache[rankKey, *Rank]
	counters cache[string, *metrics.Counter]
	probes   cache[probeKey, *metrics.Counter]
	limits   cache[endpointKey, *metrics.Gauge]
	cold     cache[endpointKey, *metrics.Gauge]
	limited  cache[endpointKey, *metrics.Counter]

	configAge *metrics.Histogram

	// accounts are the client accounts with metrics under their own names.
	accountsMu sync.RWMutex
	accounts   map[daisyquota.Key]bool
	quotas     cache[quotaKey, *metrics.Counter]
	quotaWait  *metrics.Histogram
}

type quotaKey struct {
	account daisyquota.Key
	outcome string
}

type endpointKey struct {
	service  daisyservice.ID
	endpoint netip.AddrPort
}

func (k endpointKey) name(metric string) string {
	return fmt.Sprintf(`%s{fleet=%q,service=%q,endpoint="%v"}`, metric, string(k.service.Fleet), k.service.Name, k.endpoint)
}

type rankKey struct {
	service daisyservice.ID
	rank    daisyrank.Name
}

type probeKey struct {
	service daisyservice.ID
	result  string
}

// New returns metrics whose values are all zero.
func New() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		set:       set,
		configAge: set.GetOrCreateHistogram("daisyyoke_configuration_age_seconds"),
		quotaWait: set.GetOrCreateHistogram("daisyyoke_quota_wait_seconds"),
	}
}

// WritePrometheus writes all metrics, and those of the process, in the Prometheus text
// format. It fails if writing to w fails.
func (m *Metrics) WritePrometheus(w io.Writer) error {
	var text bytes.Buffer
	m.set.WritePrometheus(&text)
	metrics.WriteProcessMetrics(&text)
	return m.help.write(w, &text)
}

// AddGauge adds a gauge with a help text. Its value is read each time the metrics are
// written. The name may contain labels.
func (m *Metrics) AddGauge(name, help string, read func() float64) {
	if m != nil {
		m.help.add(name, help)
		m.set.GetOrCreateGauge(name, read)
	}
}

// Rank returns the metrics of one rank of a service.
func (m *Metrics) Rank(service daisyservice.ID, rank daisyrank.Name) *Rank {
	if m == nil {
		return nil
	}
	return m.ranks.get(rankKey{service: service, rank: rank}, func() *Rank {
		return newRank(m.set, service, rank)
	})
}

// Probe counts a probe of an endpoint of the service.
func (m *Metrics) Probe(service daisyservice.ID, ok bool) {
	if m == nil {
		return
	}
	result := "failed"
	if ok {
		result = "answered"
	}
	m.probes.get(probeKey{service: service, result: result}, func() *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf(`daisyyoke_probes_total{fleet=%q,service=%q,result=%q}`,
			string(service.Fleet), service.Name, result))
	}).Inc()
}

// SetRateLimit sets the rate limit of an endpoint.
func (m *Metrics) SetRateLimit(service daisyservice.ID, endpoint netip.AddrPort, limit daisyendpoint.RateLimit) {
	if m == nil {
		return
	}
	// The exposition format has no value for the absence of a limit but this.
	perSecond := math.Inf(1)
	if l, ok := limit.(daisyendpoint.Limited); ok {
		perSecond = l.PerSecond()
	}
	key := endpointKey{service: service, endpoint: endpoint}
	m.limits.get(key, func() *metrics.Gauge {
		return m.set.GetOrCreateGauge(key.name("daisyyoke_endpoint_rate_limit"), nil)
	}).Set(perSecond)
}

// SetCold sets whether an endpoint is cold.
func (m *Metrics) SetCold(service daisyservice.ID, endpoint netip.AddrPort, cold bool) {
	if m == nil {
		return
	}
	value := 0.0
	if cold {
		value = 1
	}
	key := endpointKey{service: service, endpoint: endpoint}
	m.cold.get(key, func() *metrics.Gauge {
		return m.set.GetOrCreateGauge(key.name("daisyyoke_endpoint_cold"), nil)
	}).Set(value)
}

// LimitedSend counts an attempt or a probe at an endpoint with a rate limit.
func (m *Metrics) LimitedSend(service daisyservice.ID, endpoint netip.AddrPort) {
	if m == nil {
		return
	}
	key := endpointKey{service: service, endpoint: endpoint}
	m.limited.get(key, func() *metrics.Counter {
		return m.set.GetOrCreateCounter(key.name("daisyyoke_endpoint_limited_sends_total"))
	}).Inc()
}

// EndpointNotice counts what endpoints of a service asked for.
func (m *Metrics) EndpointNotice(service daisyservice.ID, notice daisyendpoint.Notice) {
	if m == nil {
		return
	}
	kind := "malformed"
	switch notice.(type) {
	case daisyendpoint.Leaving:
		kind = "leaving"
	case daisyendpoint.Pausing:
		kind = "pausing"
	case daisyendpoint.Malformed:
	}
	m.counter(fmt.Sprintf(`daisyyoke_endpoint_notices_total{fleet=%q,service=%q,kind=%q}`, string(service.Fleet), service.Name, kind)).Inc()
}

// MalformedResponse counts a response of an endpoint of the service that is not valid.
func (m *Metrics) MalformedResponse(service daisyservice.ID, kind string) {
	if m == nil {
		return
	}
	m.counter(fmt.Sprintf(`daisyyoke_malformed_responses_total{fleet=%q,service=%q,kind=%q}`, string(service.Fleet), service.Name, kind)).Inc()
}

// EndpointCrash counts a crash of an endpoint of a service under a request. A crash under
// several requests counts for each.
func (m *Metrics) EndpointCrash(service daisyservice.ID) {
	if m == nil {
		return
	}
	m.counter(fmt.Sprintf(`daisyyoke_endpoint_crashes_total{fleet=%q,service=%q}`, string(service.Fleet), service.Name)).Inc()
}

// FilterResponse counts a request to which the filter chain responded with this HTTP status.
func (m *Metrics) FilterResponse(status int) {
	if m != nil {
		m.counter(fmt.Sprintf(`daisyyoke_refused_by_filters_total{status="%d"}`, status)).Inc()
	}
}

// ConfigAge counts a request by how long before its arrival the configuration that it is
// handled by was last known to be the newest.
func (m *Metrics) ConfigAge(age time.Duration) {
	if m != nil {
		m.configAge.Update(seconds(age))
	}
}

// OutdatedRejection counts a request that was rejected because its key may have been revoked.
func (m *Metrics) OutdatedRejection() {
	if m != nil {
		m.counter("daisyyoke_rejected_as_outdated_total").Inc()
	}
}

// PlatformOperation counts an operation on the platform by the kind of its answer.
func (m *Metrics) PlatformOperation(operation, answer string) {
	if m != nil {
		m.counter(fmt.Sprintf(`daisyyoke_platform_operations_total{operation=%q,answer=%q}`, operation, answer)).Inc()
	}
}

func (m *Metrics) counter(name string) *metrics.Counter {
	return m.counters.get(name, func() *metrics.Counter { return m.set.GetOrCreateCounter(name) })
}

// cache holds metrics by a key that is cheaper to build than their names.
type cache[K comparable, V any] struct {
	mu    sync.RWMutex
	items map[K]V
}

func (c *cache[K, V]) get(key K, create func() V) V {
	c.mu.RLock()
	v, ok := c.items[key]
	c.mu.RUnlock()
	if ok {
		return v
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if v, ok := c.items[key]; ok {
		return v
	}
	if c.items == nil {
		c.items = make(map[K]V)
	}
	v = create()
	c.items[key] = v
	return v
}

// seconds returns a duration in seconds, the base unit of Prometheus.
func seconds(d time.Duration) float64 { return d.Seconds() }
