package daisycontroller

import (
	"net/netip"

	"daisyyoke/core/daisycrash"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisylog"
)

// findingQueueSize is the number of findings that wait to be shared with the other services.
// Endpoints take seconds to crash again, so that more than a few at a time are rare.
const findingQueueSize = 256

// ownFinding is a finding of a shard. A request that crashes the endpoints of one service may
// be sent to another one next, because its route changes or is split.
type ownFinding struct {
	from    *routeShard
	finding daisycrash.Finding
}

// shareFinding passes a finding on to the shards of the other services.
func (c *Route) shareFinding(own ownFinding) {
	for _, s := range *c.shards.Load() {
		if s != own.from {
			s.handle(daisyroute.FindingsReceived{Findings: []daisycrash.Finding{own.finding}})
		}
	}
}

// ReceiveFindings handles what another VM has found out about requests that may crash
// endpoints.
func (c *Route) ReceiveFindings(message daisymessage.CrashFindings) {
	c.options.Metrics.MessageReceived(message)
	for _, s := range *c.shards.Load() {
		s.handle(daisyroute.FindingsReceived{Findings: message.Findings})
	}
}

// knownFindings returns the findings that a new shard has to know. All shards know the same.
func (c *Route) knownFindings() []daisycrash.Finding {
	for _, s := range *c.shards.Load() {
		return s.findings()
	}
	return nil
}

// Suspects reports whether a request to a service, with this head of its fingerprint, may be
// one that crashes endpoints, depending on its body.
func (c *Route) Suspects(service daisyservice.ID, head daisyrequest.Digest) bool {
	s := c.shard(service)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Suspects(head)
}

func (s *routeShard) findings() []daisycrash.Finding {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Findings(now())
}

// check starts a check of an endpoint. The caller must hold s.mu.
func (s *routeShard) check(endpoint netip.AddrPort) {
	s.route.probes.add(endpointCheck{shard: s, endpoint: endpoint})
}

func (s *routeShard) finishCheck(endpoint netip.AddrPort, reachability daisyendpoint.Reachability) {
	s.handle(daisyroute.EndpointChecked{Endpoint: endpoint, Reachability: reachability})
}

// noteFinding logs a finding that concerns this service and shares the shard's own. The
// caller must hold s.mu.
func (s *routeShard) noteFinding(noted daisyroute.FindingNoted) {
	s.logFinding(noted)
	if !noted.Own {
		return
	}
	select {
	case s.route.findings <- ownFinding{from: s, finding: noted.Finding}:
	default:
		s.route.options.Log.Write(daisylog.FindingDropped{})
	}
}

func (s *routeShard) logFinding(noted daisyroute.FindingNoted) {
	service := s.service.Load()
	if service == nil {
		return
	}
	switch f := noted.Finding.(type) {
	case daisycrash.Crash:
		if f.Service != service.ID {
			return
		}
		s.route.options.Metrics.EndpointCrash(service.ID)
		s.route.options.Log.Write(daisylog.EndpointCrashed{
			Service:     service.ID,
			Endpoint:    f.Endpoint,
			Fingerprint: f.Request,
			Crashes:     noted.Crashes,
			Quarantine:  noted.Quarantine,
			FromPeer:    !noted.Own,
		})
	case daisycrash.Verdict:
		if f.Service == service.ID {
			s.route.options.Log.Write(daisylog.RequestQuarantined{Service: service.ID, Fingerprint: f.Request, Crashes: noted.Crashes, Quarantine: noted.Quarantine})
		}
	case daisycrash.Acquittal:
		if noted.Own {
			s.route.options.Log.Write(daisylog.RequestAcquitted{Service: service.ID, Fingerprint: f.Request})
		}
	}
}
