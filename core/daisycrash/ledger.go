package daisycrash

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/core/daisyvm"
)

const (
	// MinCrashes is the number of crashes, without an answer in between, from which a
	// request is quarantined.
	MinCrashes = 3
	// maxChance is the highest probability with which a request that causes no crash may
	// have run into as many of them. It is low because it applies to each request anew.
	maxChance = 1e-4
	// priorAnswers is the number of answered requests that are assumed before any are known.
	priorAnswers = 10
	// Endpoints that crash under the same request within sameMoment are taken to end for one
	// reason, such as a loss of power, and also within sameCause if the request had been
	// sent to all of them before the first one crashed.
	sameMoment = 50 * time.Millisecond
	sameCause  = 250 * time.Millisecond
	// Of the crashes of a request within wave, maxPerWave count: a deployment may end each
	// endpoint that the request is sent to again within a moment.
	wave       = time.Second
	maxPerWave = 2
	// cooldown is the time for which a request is not sent again after each crash from the
	// one with the number MinCrashes on, until it is quarantined or answered.
	cooldown = 500 * time.Millisecond
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
	// maxRecords limits the requests that are remembered, maxCrashes the crashes of each, and
	// maxRecent the latest crashes of all.
	maxRecords = 128
	maxCrashes = 12
	maxRecent  = 512
)

// Ledger records the crashes of a service's endpoints and the requests that these were
// running. It is not safe for concurrent use. Times must not go back.
type Ledger struct {
	service daisyservice.ID
	// spread is the share by which this VM prolongs each quarantine.
	spread float64
	// vms is the number of VMs that run requests at the endpoints.
	vms     int
	records map[daisyrequest.Fingerprint]*record
	// heads counts the records by the head of their fingerprint.
	heads map[daisyrequest.Digest]int
	// answered counts the requests that were answered by the service's endpoints on this VM.
	answered history
	// recent has the latest crashes of the service's endpoints, also under requests that
	// were answered since.
	recent []Crash
}

// record has the crashes of one request since it was last answered, oldest first.
type record struct {
	crashes     []Crash
	quarantined bool
}

// NewLedger returns an empty ledger of a service on one VM.
func NewLedger(self daisyvm.Name, service daisyservice.ID) *Ledger {
	h := fnv.New32a()
	_, _ = h.Write([]byte(self))
	return &Ledger{
		service: service,
		spread:  maxSpread * float64(h.Sum32()) / math.MaxUint32,
		vms:     1,
		records: make(map[daisyrequest.Fingerprint]*record),
		heads:   make(map[daisyrequest.Digest]int),
	}
}

// SetVMs sets the number of VMs that run requests at the endpoints, including this one.
func (l *Ledger) SetVMs(vms int) { l.vms = max(vms, 1) }

// Answered notes that an endpoint of the service has run a request to its end.
func (l *Ledger) Answered(now time.Time) { l.answered.add(now) }

// Add records a crash, and reports false if it was known.
func (l *Ledger) Add(now time.Time, c Crash) bool {
	l.forget(now)
	r := l.records[c.Request]
	if r != nil && slices.ContainsFunc(r.crashes, c.same) {
		return false
	}
	if r == nil {
		l.makeRoom()
		r = &record{}
		l.records[c.Request] = r
		l.heads[c.Request.Head]++
	}
	r.crashes = append(r.crashes, c)
	sortByTime(r.crashes)
	r.crashes = r.crashes[max(len(r.crashes)-maxCrashes, 0):]
	if c.Service == l.service {
		l.recent = append(l.recent, c)
		l.recent = l.recent[max(len(l.recent)-maxRecent, 0):]
	}
	r.quarantined = r.quarantined || l.suffices(now, c.Request, r.crashes)
	return true
}

// Condemn quarantines a request with known crashes on another VM's verdict. It reports
// whether that is new.
func (l *Ledger) Condemn(f daisyrequest.Fingerprint) bool {
	r := l.records[f]
	if r == nil || r.quarantined {
		return false
	}
	r.quarantined = true
	return true
}

// same reports whether another crash of the request is the same one.
func (c Crash) same(o Crash) bool {
	return c.Endpoint == o.Endpoint && c.At.Sub(o.At).Abs() < sameCrash
}

func sortByTime(crashes []Crash) {
	slices.SortStableFunc(crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
}

// Cooldown returns until when a request is not sent that is not quarantined, given the crashes
// that are suspected beside the known ones; the zero time if it may be sent.
func (l *Ledger) Cooldown(f daisyrequest.Fingerprint, suspected []Crash) time.Time {
	crashes := suspected
	if r := l.records[f]; r != nil {
		crashes = append(crashes, r.crashes...)
	}
	if len(crashes) < MinCrashes {
		return time.Time{}
	}
	sortByTime(crashes)
	return crashes[len(crashes)-1].At.Add(cooldown)
}

// suffices reports whether crashes of one request are too many to be a coincidence, given how
// many of the other requests ended with a crash meanwhile.
func (l *Ledger) suffices(now time.Time, f daisyrequest.Fingerprint, crashes []Crash) bool {
	events := independent(crashes)
	if events < MinCrashes {
		return false
	}
	since := crashes[0].Sent
	crashed := 0
	for _, c := range l.recent {
		if c.Request != f && !c.At.Before(since) && !l.explained(c) {
			crashed++
		}
	}
	answered := l.vms*l.answered.since(now, since) + priorAnswers
	share := float64(crashed) / float64(answered+crashed)
	return math.Pow(share, float64(events)) <= maxChance
}

// explained reports whether a quarantined request was running at the endpoint that crashed.
func (l *Ledger) explained(c Crash) bool {
	for _, r := range l.records {
		if r.quarantined && slices.ContainsFunc(r.crashes, c.same) {
			return true
		}
	}
	return false
}

// independent returns the number of crashes that are taken to have causes of their own. The
// crashes must be sorted by time.
func independent(crashes []Crash) int {
	n, inWave := 0, 0
	var last, waveStart time.Time
	for _, c := range crashes {
		since := c.At.Sub(last)
		if n > 0 && since < sameCause && (since < sameMoment || c.Sent.Before(last)) {
			continue
		}
		if n == 0 || c.At.Sub(waveStart) >= wave {
			waveStart, inWave = c.At, 0
		}
		if inWave++; inWave <= maxPerWave {
			n++
			last = c.At
		}
	}
	return n
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

// Findings returns the crashes that are remembered, the oldest first, and after them the
// verdicts.
func (l *Ledger) Findings(now time.Time) []Finding {
	l.forget(now)
	var crashes []Crash
	for _, r := range l.records {
		crashes = append(crashes, r.crashes...)
	}
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), a.Endpoint.Compare(b.Endpoint), compareFingerprints(a.Request, b.Request))
	})
	var findings, verdicts []Finding
	for _, c := range crashes {
		findings = append(findings, c)
		if r := l.records[c.Request]; r.quarantined && c == r.crashes[0] {
			verdicts = append(verdicts, Verdict{Request: c.Request, Service: c.Service})
		}
	}
	return append(findings, verdicts...)
}

// compareFingerprints orders fingerprints, so that equal inputs have equal results.
func compareFingerprints(a, b daisyrequest.Fingerprint) int {
	return cmp.Or(slices.Compare(a.Head[:], b.Head[:]), slices.Compare(a.Body[:], b.Body[:]))
}

// forget removes what is remembered no longer.
func (l *Ledger) forget(now time.Time) {
	l.recent = slices.DeleteFunc(l.recent, func(c Crash) bool { return now.Sub(c.At) >= retention })
	for f, r := range l.records {
		end := r.last()
		if r.quarantined {
			end = l.end(r)
		}
		if !now.Before(end.Add(retention)) {
			l.remove(f)
		}
	}
}

// makeRoom removes the record with the least evidence if there are too many.
func (l *Ledger) makeRoom() {
	if len(l.records) < maxRecords {
		return
	}
	var least daisyrequest.Fingerprint
	var found *record
	for f, r := range l.records {
		if found == nil || cmp.Or(cmp.Compare(len(r.crashes), len(found.crashes)), r.last().Compare(found.last()), compareFingerprints(f, least)) < 0 {
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
