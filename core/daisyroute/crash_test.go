package daisyroute_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisycrash"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

var suspect = simRequest(26)

// suspectRequest returns an idempotent request that comes again.
func (h *harness) suspectRequest() daisyrequest.Request {
	r := h.request(1)
	r.Idempotent, r.Fingerprint = true, suspect
	return r
}

// breakOff ends an attempt by a closed connection, and reports what a check of the endpoint
// shows. It returns all decisions.
func (h *harness) breakOff(s daisyroute.Send, r daisyendpoint.Reachability) []daisyroute.Decision {
	h.t.Helper()
	h.now = h.now.Add(simWork)
	all := h.handle(daisyroute.AttemptResolved{Attempt: s.Attempt, Outcome: daisyrequest.BrokenOff{Closed: true}, Resendable: true})
	if len(ofType[daisyroute.CheckEndpoint](all)) > 0 {
		all = append(all, h.handle(daisyroute.EndpointChecked{Endpoint: s.Endpoint, Reachability: r})...)
	}
	return all
}

// crashes returns the findings of crashes of the suspect at n endpoints, one after the other.
func crashes(now time.Time, service daisyservice.ID, n int) daisyroute.FindingsReceived {
	var e daisyroute.FindingsReceived
	for i := range n {
		at := now.Add(time.Duration(i-n) * time.Second)
		e.Findings = append(e.Findings, daisycrash.Crash{Request: suspect, Service: service, Endpoint: address(100 + i), Sent: at.Add(-simWork), At: at})
	}
	return e
}

// Guards against the refusal of a request whose connections break for other reasons than a
// crash: resets under load, cuts, endpoints that leave.
func TestBreaksWithoutACrashQuarantineNothing(t *testing.T) {
	for _, r := range []daisyendpoint.Reachability{daisyendpoint.Accepting{}, daisyendpoint.Silent{}} {
		h := newHarness(t, newService(20, 2), nil)
		for range 10 {
			all := h.arrive(h.suspectRequest())
			for len(ofType[daisyroute.Send](all)) > 0 {
				all = h.breakOff(single[daisyroute.Send](t, all), r)
			}
			assert.Equal(t, single[daisyroute.Fail](t, all).Cause, daisyroute.AttemptsSpent, "%T", r)
			h.advance(10 * time.Second)
		}
		assert.Equal(t, len(h.dispatcher.Findings(h.now)), 0, "%T", r)
	}
}

// Guards against the end of an endpoint that was known to leave being taken for a crash.
func TestLeavingEndpointsDoNotCrash(t *testing.T) {
	h := newNoticeHarness(t, 3, nil)
	for range 3 {
		s := h.send(h.suspectRequest())
		service := incarnations(3, 2)
		for i := range service.Endpoints {
			service.Endpoints[i].Draining = service.Endpoints[i].Address == s.Endpoint
		}
		h.handle(daisyroute.ServiceChanged{Service: service})
		assert.Equal(t, len(ofType[daisyroute.CheckEndpoint](h.breakOff(s, daisyendpoint.Refusing{}))), 0)
		h.handle(daisyroute.ServiceChanged{Service: incarnations(3, 2)})
		h.advance(time.Second)
	}
	assert.Equal(t, len(h.dispatcher.Findings(h.now)), 0)
}

// Guards against requests that still reach endpoints after the verdict: those that wait, those
// that would be sent again, and those that arrive. What did not run says so.
func TestQuarantineAppliesToRequestsInHand(t *testing.T) {
	service := newService(2, 1)
	h := newHarness(t, service, nil)
	running := []daisyroute.Send{h.send(h.suspectRequest()), h.send(h.request(1))}
	waiting := h.suspectRequest()
	assert.Equal(t, len(h.arrive(waiting)), 0)
	f := single[daisyroute.Fail](t, h.handle(crashes(h.now, service.ID, daisycrash.MinCrashes)))
	assert.Equal(t, f.Request, waiting.ID)
	assert.Equal(t, f.Cause, daisyroute.CrashesEndpoints)
	q, ok := f.Failure.(daisyrequest.Quarantined)
	assert.Assert(t, ok && q.RetryAfter > time.Minute, "%#v", f.Failure)
	f = single[daisyroute.Fail](t, h.breakOff(running[0], daisyendpoint.Refusing{}))
	assert.Equal(t, f.Cause, daisyroute.CrashesEndpoints)
	assert.Equal(t, f.Failure, daisyrequest.Failure(daisyrequest.EndpointFailed{}))
	_, ok = single[daisyroute.Fail](t, h.arrive(h.suspectRequest())).Failure.(daisyrequest.Quarantined)
	assert.Assert(t, ok)
	h.answer(running[1].Attempt, 200, simWork)
	h.send(h.request(1))
}

// Guards against a quarantine that lasts although an endpoint has run the request: an answer
// ends it on all VMs, an error or a limit of an endpoint does not.
func TestAnswerEndsQuarantine(t *testing.T) {
	other := daisyvm.VM{Name: "vm-1", Incarnation: 1}
	for status, ends := range map[int]bool{200: true, 404: true, 429: false, 503: false} {
		service := newService(4, 2)
		h := newHarness(t, service, nil)
		h.handle(daisyroute.PeersChanged{VMs: []daisyvm.VM{self, other}})
		s := h.send(h.suspectRequest())
		h.handle(crashes(h.now, service.ID, daisycrash.MinCrashes))
		told := 0
		for _, m := range ofType[daisyroute.SendMessage](h.answer(s.Attempt, status, simWork)) {
			if f, ok := m.Message.(daisymessage.CrashFindings); ok {
				assert.DeepEqual(t, f.Findings, []daisycrash.Finding{daisycrash.Acquittal{Request: suspect}})
				told++
			}
		}
		assert.Equal(t, told == 1, ends, "status %d", status)
		assert.Equal(t, len(ofType[daisyroute.Send](h.arrive(h.suspectRequest()))) == 1, ends, "status %d", status)
	}
}

// Guards against a quarantined request that reaches endpoints through a VM that has just
// started, also if that is the owner of the service.
func TestStartedVMsAreToldOfQuarantines(t *testing.T) {
	vms := []daisyvm.VM{self, {Name: "vm-1", Incarnation: 1}, {Name: "vm-2", Incarnation: 1}}
	for restarted := 1; restarted < len(vms); restarted++ {
		service := newService(4, 2)
		told := make(map[daisyvm.Name]int)
		for i, v := range vms {
			if i == restarted {
				continue
			}
			d := newHarness(t, service, nil)
			d.dispatcher = daisyroute.NewDispatcher(daisyroute.Options{Self: v, Service: service, Random: rand.New(rand.NewPCG(1, 2))})
			d.handle(daisyroute.PeersChanged{VMs: vms})
			d.handle(crashes(d.now, service.ID, daisycrash.MinCrashes))
			after := append([]daisyvm.VM(nil), vms...)
			after[restarted].Incarnation++
			for _, m := range ofType[daisyroute.SendMessage](d.handle(daisyroute.PeersChanged{VMs: after})) {
				if f, ok := m.Message.(daisymessage.CrashFindings); ok {
					told[m.To] += len(f.Findings)
				}
			}
		}
		// Each crash and the verdict, by one VM.
		assert.DeepEqual(t, told, map[daisyvm.Name]int{vms[restarted].Name: daisycrash.MinCrashes + 1})
	}
}

// Guards against a check of an endpoint for each request that broke off there.
func TestBreaksAtOneEndpointAreCheckedOnce(t *testing.T) {
	h := newHarness(t, newService(1, 8), nil)
	checks := make(map[netip.AddrPort]int)
	for range 8 {
		s := h.send(h.suspectRequest())
		for _, c := range ofType[daisyroute.CheckEndpoint](h.handle(daisyroute.AttemptResolved{Attempt: s.Attempt, Outcome: daisyrequest.BrokenOff{Closed: true}})) {
			checks[c.Endpoint]++
		}
	}
	assert.Equal(t, checks[address(0)], 1)
}
