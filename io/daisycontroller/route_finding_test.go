package daisycontroller_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisycrash"
	"daisyyoke/core/daisyendpoint"
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisycontroller"
)

// crashedEndpoints is a checker of endpoints of which none accepts connections.
type crashedEndpoints struct{}

func (crashedEndpoints) Check(context.Context, netip.AddrPort) daisyendpoint.Reachability {
	return daisyendpoint.Refusing{}
}

var suspect = daisyrequest.Fingerprint{Head: daisyrequest.Digest{1}, Body: daisyrequest.Digest{2}}

// beginSuspect begins a request that comes again, and returns the first decision on it.
func beginSuspect(t *testing.T, routes *daisycontroller.Route, service string) (*daisycontroller.Ticket, daisyroute.Decision) {
	t.Helper()
	ticket, err := routes.Begin(daisyrequest.Request{
		Service:     daisyservice.ID{Fleet: "vigia-lar", Name: service},
		Arrived:     time.Now(),
		Deadline:    time.Now().Add(time.Minute),
		Fingerprint: suspect,
	})
	assert.NilError(t, err)
	t.Cleanup(ticket.Close)
	synctest.Wait()
	return ticket, <-ticket.Decisions()
}

// crashUnderSuspect crashes an endpoint of a service under the suspect.
func crashUnderSuspect(t *testing.T, routes *daisycontroller.Route, service string) {
	t.Helper()
	ticket, decision := beginSuspect(t, routes, service)
	s, ok := decision.(daisyroute.Send)
	assert.Assert(t, ok, "%#v", decision)
	time.Sleep(100 * time.Millisecond)
	ticket.Resolve(daisycontroller.Resolution{Attempt: s.Attempt, Outcome: daisyrequest.BrokenOff{Closed: true}})
	time.Sleep(5 * time.Second)
	synctest.Wait()
}

func assertRefused(t *testing.T, routes *daisycontroller.Route, service string, refused bool) {
	t.Helper()
	_, decision := beginSuspect(t, routes, service)
	f, ok := decision.(daisyroute.Fail)
	assert.Equal(t, ok && f.Cause == daisyroute.CrashesEndpoints, refused, "%s: %#v", service, decision)
}

// Guards against a request that crashes the endpoints of one service and then, because its
// route is split or has changed, those of another one, or of one that is declared later.
func TestQuarantineHoldsForAllServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{
			Self:    daisyvm.VM{Name: "vm-1"},
			Sender:  &countingSender{sent: make(map[daisyvm.Name]int)},
			Checker: crashedEndpoints{},
			Policy:  daisyroute.LeastOfTwo{},
		})
		defer routes.Close()
		routes.Apply(snapshotOf("a", "b"))
		crashUnderSuspect(t, routes, "a")
		crashUnderSuspect(t, routes, "b")
		assertRefused(t, routes, "b", false)
		crashUnderSuspect(t, routes, "a")
		assertRefused(t, routes, "a", true)
		assertRefused(t, routes, "b", true)
		routes.Apply(snapshotOf("a", "b", "c"))
		assertRefused(t, routes, "c", true)
	})
}

// Guards against a VM that does not learn from the others which requests crash endpoints.
func TestReceivedFindingsHoldForAllServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		routes := daisycontroller.NewRoute(daisycontroller.RouteOptions{Self: daisyvm.VM{Name: "vm-1"}, Policy: daisyroute.LeastOfTwo{}})
		defer routes.Close()
		routes.Apply(snapshotOf("a", "b"))
		a := daisyservice.ID{Fleet: "vigia-lar", Name: "a"}
		crash := daisycrash.Crash{Request: suspect, Service: a, Endpoint: netip.MustParseAddrPort("10.0.0.1:80"), Sent: time.Now(), At: time.Now()}
		routes.ReceiveFindings(daisymessage.CrashFindings{Findings: []daisycrash.Finding{crash, daisycrash.Verdict{Request: suspect, Service: a}}})
		for _, service := range []string{"a", "b"} {
			assertRefused(t, routes, service, true)
		}
		assert.Assert(t, routes.Suspects(a, suspect.Head))
		routes.ReceiveFindings(daisymessage.CrashFindings{Findings: []daisycrash.Finding{daisycrash.Acquittal{Request: suspect}}})
		for _, service := range []string{"a", "b"} {
			assertRefused(t, routes, service, false)
		}
	})
}
