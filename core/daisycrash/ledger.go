package daisycrash

import (
	"cmp"
	"hash/fnv"
	"math"
	"net/netip"
	"slices"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyvm"
)

const (
	// MinCrashes is the number of crashes, without an answer in between, from which a
	// request is quarantined.
	MinCrashes = 3
	// minCrashesInOutage is the same while more endpoints crash that were not running the
	// request than that were: something else ends them, such as a deployment.
	minCrashesInOutage = 5
	// firstQuarantine is the length of a quarantine after MinCrashes. It doubles with each
	// further crash, up to maxQuarantine.
	firstQuarantine = 10 * time.Minute
	maxQuarantine   = 24 * time.Hour
	// maxSpread is the share of a quarantine by which VMs prolong it differently, so that
	// not all of them try the request again at once.
	maxSpread = 0.25
	// retention is how long crashes are remembered after the last one and its quarantine.
	retention = time.Hour
	// sameCrash is the longest time between two reports of one crash. An endpoint takes
	// longer to start again.
	sameCrash = time.Second
	// maxRecords limits the requests that are remembered, maxCrashes the crashes of each,
	// and maxRecent the crashes of all.
	maxRecords = 128
	maxCrashes = 12
	maxRecent  = 256
)

// Ledger records crashes of endpoints and the requests that these were running. It is not
// safe for concurrent use. Times must not go back.
type Ledger struct {
	// spread is the share by which this VM prolongs each quarantine.
	spread  float64
	records map[daisyrequest.Fingerprint]*record
	// heads counts the records by the head of their fingerprint.
	heads map[daisyrequest.Digest]int
	// recent has the latest crashes, each once, whatever the endpoint was running.
	recent []crash
}

// record has the crashes of one request since it was last answered, oldest first.
type record struct {
	crashes     []Crash
	quarantined bool
}

// crash is one crash of an endpoint.
type crash struct {
	endpoint netip.AddrPort
	at       time.Time
}

// NewLedger returns an empty ledger of a VM.
func NewLedger(self daisyvm.Name) *Ledger {
	h := fnv.New32a()
	_, _ = h.Write([]byte(self))
	return &Ledger{
		spread:  maxSpread * float64(h.Sum32()) / math.MaxUint32,
		records: make(map[daisyrequest.Fingerprint]*record),
		heads:   make(map[daisyrequest.Digest]int),
	}
}

// Add records a crash, and reports false if it was known.
func (l *Ledger) Add(now time.Time, c Crash) bool {
	l.forget(now)
	r := l.records[c.Request]
	if r != nil && slices.ContainsFunc(r.crashes, func(o Crash) bool { return isSameCrash(o.Endpoint, o.At, c) }) {
		return false
	}
	if r == nil {
		l.makeRoom()
		r = &record{}
		l.records[c.Request] = r
		l.heads[c.Request.Head]++
	}
	r.crashes = append(r.crashes, c)
	slices.SortStableFunc(r.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	r.crashes = r.crashes[max(len(r.crashes)-maxCrashes, 0):]
	l.addRecent(c)
	r.quarantined = r.quarantined || len(r.crashes) >= l.required(r)
	return true
}

func isSameCrash(endpoint netip.AddrPort, at time.Time, c Crash) bool {
	return endpoint == c.Endpoint && at.Sub(c.At).Abs() < sameCrash
}

func (l *Ledger) addRecent(c Crash) {
	if slices.ContainsFunc(l.recent, func(o crash) bool { return isSameCrash(o.endpoint, o.at, c) }) {
		return
	}
	l.recent = append(l.recent, crash{endpoint: c.Endpoint, at: c.At})
	l.recent = l.recent[max(len(l.recent)-maxRecent, 0):]
}

// required returns the number of crashes from which a request is quarantined.
func (l *Ledger) required(r *record) int {
	since := r.crashes[0].At
	others := -len(r.crashes)
	for _, c := range l.recent {
		if !c.at.Before(since.Add(-sameCrash)) {
			others++
		}
	}
	if others > len(r.crashes) {
		return minCrashesInOutage
	}
	return MinCrashes
}

// Acquit forgets the crashes of a request that an endpoint has run to its end. It reports
// whether there were any.
func (l *Ledger) Acquit(f daisyrequest.Fingerprint) bool {
	if l.records[f] == nil {
		return false
	}
	l.remove(f)
	return true
}

// QuarantineEnd returns when the quarantine of a request ends, and reports whether it is
// quarantined.
func (l *Ledger) QuarantineEnd(now time.Time, f daisyrequest.Fingerprint) (time.Time, bool) {
	r := l.records[f]
	if r == nil || !r.quarantined {
		return time.Time{}, false
	}
	end := l.end(r)
	return end, now.Before(end)
}

// end returns the end of a request's quarantine.
func (l *Ledger) end(r *record) time.Time {
	length := min(firstQuarantine<<max(len(r.crashes)-MinCrashes, 0), maxQuarantine)
	return r.last().Add(length + time.Duration(l.spread*float64(length)))
}

func (r *record) last() time.Time { return r.crashes[len(r.crashes)-1].At }

// Crashes returns the number of crashes of a request since it was last answered.
func (l *Ledger) Crashes(f daisyrequest.Fingerprint) int {
	r := l.records[f]
	if r == nil {
		return 0
	}
	return len(r.crashes)
}

// Suspects reports whether there are crashes of requests that differ from one with this
// head in their bodies at most.
func (l *Ledger) Suspects(head daisyrequest.Digest) bool { return l.heads[head] > 0 }

// Findings returns all crashes that are remembered, oldest first.
func (l *Ledger) Findings(now time.Time) []Finding {
	l.forget(now)
	var crashes []Crash
	for _, r := range l.records {
		crashes = append(crashes, r.crashes...)
	}
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), a.Endpoint.Compare(b.Endpoint),
			slices.Compare(a.Request.Head[:], b.Request.Head[:]), slices.Compare(a.Request.Body[:], b.Request.Body[:]))
	})
	findings := make([]Finding, 0, len(crashes))
	for _, c := range crashes {
		findings = append(findings, c)
	}
	return findings
}

// forget removes what is remembered no longer.
func (l *Ledger) forget(now time.Time) {
	for f, r := range l.records {
		end := r.last()
		if r.quarantined {
			end = l.end(r)
		}
		if !now.Before(end.Add(retention)) {
			l.remove(f)
		}
	}
	l.recent = slices.DeleteFunc(l.recent, func(c crash) bool { return !now.Before(c.at.Add(retention)) })
}

// makeRoom removes the record with the least evidence if there are too many.
func (l *Ledger) makeRoom() {
	if len(l.records) < maxRecords {
		return
	}
	var least daisyrequest.Fingerprint
	var found *record
	for f, r := range l.records {
		if found == nil || cmp.Or(cmp.Compare(len(r.crashes), len(found.crashes)), r.last().Compare(found.last())) < 0 {
			least, found = f, r
		}
	}
	l.remove(least)
}

func (l *Ledger) remove(f daisyrequest.Fingerprint) {
	delete(l.records, f)
	l.heads[f.Head]--
	if l.heads[f.Head] == 0 {
		delete(l.heads, f.Head)
	}
}
