package daisystand

import (
	"net/http"
	"time"

	"daisyyoke/io/daisyplatform"
)

// Platform is a simulated platform service that stores its data in memory. Its faults can
// be changed at run time: GET faultsPath returns them, POST replaces them.
type Platform struct {
	faulty  *daisyplatform.Faulty
	handler *daisyplatform.Handler
}

// NewPlatform returns an empty platform without faults. The seed makes the random
// choices of faults repeatable.
func NewPlatform(seed uint64) *Platform {
	faulty := daisyplatform.NewFaulty(daisyplatform.NewEmbedded(), seed)
	return &Platform{faulty: faulty, handler: daisyplatform.NewHandler(faulty)}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults ...daisyplatform.Fault) { p.faulty.SetFaults(faults...) }

// Restore restores the platform from a backup of the given age, at most
// daisyplatform.MaxLag.
func (p *Platform) Restore(age time.Duration) { p.faulty.Restore(age) }

// ServeHTTP serves the faults document and the requests to the platform.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == faultsPath {
		p.serveFaults(w, r)
		return
	}
	p.handler.ServeHTTP(w, r)
}
