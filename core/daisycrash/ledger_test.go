package daisycrash_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisycrash"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
)

var (
	start   = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	service = daisyservice.ID{Fleet: "vigia-lar", Name: "lookups"}
)

func request(n int) daisyrequest.Fingerprint {
	var f daisyrequest.Fingerprint
	binary.BigEndian.PutUint64(f.Head[:], uint64(n))
	f.Body[0] = 1
	return f
}

func endpoint(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80)
}

// work is the time from the sending of a request to the crash of its endpoint.
const work = 100 * time.Millisecond

func crash(requestNumber, endpointNumber int, at time.Time) daisycrash.Crash {
	return daisycrash.Crash{Request: request(requestNumber), Service: service, Endpoint: endpoint(endpointNumber), Sent: at.Add(-work), At: at}
}

func newLedger() *daisycrash.Ledger { return daisycrash.NewLedger("vm-1", service) }

// addCrashes adds crashes of request 1 at different endpoints, one after the other, and
// returns the time of the last one.
func addCrashes(l *daisycrash.Ledger, n int) time.Time {
	now := start
	for i := range n {
		now = now.Add(time.Second)
		l.Add(now, crash(1, i, now))
	}
	return now
}

func quarantined(l *daisycrash.Ledger, now time.Time, n int) bool {
	_, ok := l.QuarantineEnd(now, request(n))
	return ok
}

func ExampleLedger() {
	l := newLedger()
	now := addCrashes(l, 3)
	_, ok := l.QuarantineEnd(now, request(1))
	fmt.Println("quarantined:", ok)
	l.Acquit(request(1))
	_, ok = l.QuarantineEnd(now, request(1))
	fmt.Println("after an answer:", ok)
	// Output:
	// quarantined: true
	// after an answer: false
}

// Guards against a request that is refused for a crash that several VMs report.
func TestReportsOfOneCrashCountOnce(t *testing.T) {
	l := newLedger()
	for i := range 5 {
		assert.Equal(t, l.Add(start, crash(1, 7, start.Add(time.Duration(i)*100*time.Millisecond))), i == 0)
	}
	assert.Assert(t, !quarantined(l, start.Add(time.Second), 1))
	assert.Assert(t, l.Add(start.Add(5*time.Second), crash(1, 7, start.Add(5*time.Second))))
	assert.Equal(t, l.Crashes(request(1)), 2)
}

// Guards against the refusal of innocent requests while a deployment ends endpoints: each
// has a request or two in work, which are sent again to one that is ended next.
func TestDeploymentThatEndsEndpointsQuarantinesNothing(t *testing.T) {
	l := newLedger()
	now := start
	for i := range 40 {
		now = now.Add(200 * time.Millisecond)
		for range 4 {
			l.Answered(now)
		}
		// Request 1 is unlucky: it was at every fifth endpoint, four times in a row.
		if i%5 == 4 && i < 20 {
			l.Add(now, crash(1, i, now))
		}
		l.Add(now, crash(100+i, i, now))
		l.Add(now, crash(200+i, i, now))
	}
	assert.Equal(t, l.Crashes(request(1)), 4)
	for _, n := range []int{1, 100, 200, 139, 239} {
		assert.Assert(t, !quarantined(l, now, n), "request %d", n)
	}
}

// Guards against the refusal of a popular request after a loss of power, at which it was
// running at many endpoints.
func TestEndpointsThatCrashTogetherAreOneEvent(t *testing.T) {
	l := newLedger()
	for i := range 12 {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		l.Add(at, crash(1, i, at))
	}
	assert.Assert(t, !quarantined(l, start.Add(time.Second), 1))
}

// Guards against the refusal of a request that a deployment hit each time that it was sent
// again.
func TestEndpointsThatCrashInAWaveAreTwoEvents(t *testing.T) {
	l := newLedger()
	for i := range 8 {
		at := start.Add(time.Duration(i) * work)
		l.Add(at, crash(1, i, at))
	}
	assert.Assert(t, !quarantined(l, start.Add(time.Second), 1))
	at := start.Add(5 * time.Second)
	l.Add(at, crash(1, 9, at))
	assert.Assert(t, quarantined(l, at, 1))
}

// Guards against endpoints that crash faster than it can be told whether a request causes it.
func TestRequestCoolsDownAfterCrashes(t *testing.T) {
	l := newLedger()
	at := start.Add(work)
	l.Add(at, crash(1, 0, at))
	assert.Assert(t, l.Cooldown(request(1), []daisycrash.Crash{crash(1, 1, at)}).IsZero())
	end := l.Cooldown(request(1), []daisycrash.Crash{crash(1, 1, at), crash(1, 2, at)})
	assert.Assert(t, end.After(at) && !end.After(at.Add(time.Second)), "%v", end)
	assert.Assert(t, l.Acquit(request(1)))
	assert.Assert(t, l.Cooldown(request(1), nil).IsZero())
}

// Guards against a request that goes on crashing endpoints while others crash too.
func TestRequestIsQuarantinedBesideOtherCrashes(t *testing.T) {
	l := newLedger()
	now := start
	for i := range daisycrash.MinCrashes + 2 {
		now = now.Add(time.Second)
		for range 10 {
			l.Answered(now)
		}
		l.Add(now, crash(1, i, now))
		l.Add(now, crash(100+i, i, now))
		l.Add(now, crash(200+i, 50+i, now))
	}
	assert.Assert(t, quarantined(l, now, 1))
	assert.Assert(t, !quarantined(l, now, 100))
}

// Guards against a request that is tried ever again after its quarantine, and against one
// that is never tried again.
func TestQuarantineEndsAndDoubles(t *testing.T) {
	l := newLedger()
	now := addCrashes(l, 3)
	var last time.Duration
	for i := range 12 {
		end, ok := l.QuarantineEnd(now, request(1))
		assert.Assert(t, ok)
		length := end.Sub(now)
		assert.Assert(t, length >= min(2*last, 24*time.Hour) && length <= 30*time.Hour, "%v after %v", length, last)
		last = min(length, 24*time.Hour)
		now = end
		assert.Assert(t, !quarantined(l, now, 1))
		assert.Assert(t, l.Add(now, crash(1, 10+i, now)))
	}
	now = now.Add(32 * time.Hour)
	assert.Equal(t, len(l.Findings(now)), 0)
	assert.Assert(t, !l.Suspects(request(1).Head))
}

// Guards against memory that grows with the number of requests in work when endpoints crash,
// and against the loss of what is quarantined for it.
func TestLedgerIsBounded(t *testing.T) {
	l := newLedger()
	now := addCrashes(l, 3)
	for i := range 5000 {
		now = now.Add(time.Millisecond)
		l.Add(now, crash(10+i, i%1000, now))
	}
	assert.Assert(t, quarantined(l, now, 1))
	const records, crashesOfTheFirst, verdicts = 128, 3, 1
	assert.Equal(t, len(l.Findings(now)), records-1+crashesOfTheFirst+verdicts)
}

// Guards against a VM that starts later and lets a quarantined request through.
func TestFindingsCarryTheQuarantine(t *testing.T) {
	l, later := newLedger(), daisycrash.NewLedger("vm-2", service)
	for i := range 4 {
		l.Add(start, crash(1, i, start.Add(time.Duration(i)*time.Second)))
	}
	now := start.Add(time.Minute)
	// A VM that has just started does not know how many requests were answered.
	for i := range 40 {
		later.Add(now, crash(100+i, 100+i, now))
	}
	for _, finding := range l.Findings(now) {
		switch f := finding.(type) {
		case daisycrash.Crash:
			later.Add(now, f)
		case daisycrash.Verdict:
			assert.Assert(t, later.Condemn(f.Request))
		case daisycrash.Acquittal:
		}
	}
	assert.Assert(t, quarantined(later, now, 1))
	assert.Equal(t, later.Crashes(request(1)), 4)
}
