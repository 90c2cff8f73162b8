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

// ProbePath is the path on which an endpoint answers load probes.
const ProbePath = "/.well-known/daisyyoke/load"

// Prober probes endpoints for their load over the connections of a pool.
type Prober struct{ pool *daisyconnection.Pool }

// NewProber returns a prober that uses the pool.
func NewProber(pool *daisyconnection.Pool) *Prober { return &Prober{pool: pool} }

// Probe requests the load report of one endpoint of a service. It has no timeout other
// than that of ctx. It fails with daisyerror.Unavailable, daisyerror.Unknown or, for a
// response without a valid report, daisyerror.InvalidRequest.
func (p *Prober) Probe(ctx context.Context, service daisyservice.Service, endpoint netip.AddrPort) (daisyendpoint.Report, daisyendpoint.Notice, error) {
	r := (&http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: endpoint.String(), Path: ProbePath},
		Host:   service.ID.Name + "." + string(service.ID.Fleet),
		Header: http.Header{"User-Agent": {"daisyyoke"}},
	}).WithContext(ctx)
	response, err := p.pool.RoundTrip(r, daisyconnection.Target{Address: endpoint, Protocol: service.Protocol})
	if err != nil {
		return daisyendpoint.Report{}, nil, err
	}
	// The body is not used. One read drains an empty or short body, so that the connection can be reused.
	_, _ = response.Body.Read(make([]byte, 1))
	_ = response.Body.Close()
	now := time.Now()
	notice := ParseNotice(now, response.StatusCode, response.Header)
	if response.StatusCode >= http.StatusInternalServerError {
		return daisyendpoint.Report{}, notice, daisyerror.Unavailable.New("%v answered the probe with %d", endpoint, response.StatusCode)
	}
	report, err := Parse(now, response.Header[Header])
	return report, notice, err
}
