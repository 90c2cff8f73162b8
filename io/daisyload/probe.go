package daisyload

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisyconnection"
)

// ProbePath is where an endpoint answers a probe.
const ProbePath = "/.well-known/daisyyoke/load"

// Prober asks endpoints for their load over the connections of a pool.
type Prober struct{ pool *daisyconnection.Pool }

// NewProber gives a prober that uses the pool.
func NewProber(pool *daisyconnection.Pool) *Prober { return &Prober{pool: pool} }

// Probe asks one endpoint of a service. The context bounds how long it takes. It
// fails with daisyerror.Unavailable, daisyerror.Unknown or, for an answer
// without a valid report, daisyerror.InvalidRequest.
func (p *Prober) Probe(ctx context.Context, service daisyservice.Service, endpoint netip.AddrPort) (daisyendpoint.Report, error) {
	r := (&http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: endpoint.String(), Path: ProbePath},
		Host:   service.ID.Name + "." + string(service.ID.Fleet),
		Header: http.Header{"User-Agent": {"daisyyoke"}},
	}).WithContext(ctx)
	response, err := p.pool.RoundTrip(r, daisyconnection.Target{Address: endpoint, Protocol: service.Protocol})
	if err != nil {
		return daisyendpoint.Report{}, err
	}
	// The body is of no interest; a short one is read so that the connection can be used again.
	_, _ = response.Body.Read(make([]byte, 1))
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusInternalServerError {
		return daisyendpoint.Report{}, daisyerror.Unavailable.New("%v answered the probe with %d", endpoint, response.StatusCode)
	}
	return Parse(time.Now(), response.Header[Header])
}
