package daisystand

import (
	"net/http"

	"daisyyoke/io/daisyplatform"
)

// Platform is a stand-in for the platform's service, in memory, with faults that
// can be changed while it runs: GET faultsPath shows them, POST replaces them.
type Platform struct {
	faulty  *daisyplatform.Faulty
	handler *daisyplatform.Handler
}

// NewPlatform gives an empty platform without faults. The seed makes its random
// choices repeatable.
func NewPlatform(seed uint64) *Platform {
	faulty := daisyplatform.NewFaulty(daisyplatform.NewEmbedded(), seed)
	return &Platform{faulty: faulty, handler: daisyplatform.NewHandler(faulty)}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults ...daisyplatform.Fault) { p.faulty.SetFaults(faults...) }

// ServeHTTP answers one request.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == faultsPath {
		p.serveFaults(w, r)
		return
	}
	p.handler.ServeHTTP(w, r)
}
