package daisycredit

import (
	"math"
	"time"
)

const (
	// minOwnerTimeout and maxOwnerTimeout bound how long a borrower whose requests wait for a
	// credit on demand relies on an owner that does not answer. The least is several round
	// trips between availability zones and a processor that is withheld for most of 100 ms,
	// the most is what the most urgent requests can lose.
	minOwnerTimeout = 120 * time.Millisecond
	maxOwnerTimeout = 240 * time.Millisecond
	// ownerTimeoutFactor relates that time to the time that answers have taken lately.
	ownerTimeoutFactor = 4
	// maxRoundTrip is the round-trip time to an owner that is not late.
	maxRoundTrip = 10 * time.Millisecond
	// answerTimeWeight is the weight of the latest answer in the smoothed time.
	answerTimeWeight = 0.25
	// minHold and maxHold bound how long a borrower then stays in fallback mode. The time
	// doubles while the owner remains slow: an owner that is late because it has too many
	// messages gets fewer, and the borrower does not change its mode several times a second.
	// With at most 2 s, nearly twice as many requests were refused under constant overload.
	minHold = 250 * time.Millisecond
	maxHold = 4 * time.Second
	// maxRecoveryTime is the time within which the owner has to begin a term afterwards. It
	// allows for one period of the processor time that the VM of either of them gets.
	maxRecoveryTime = 100 * time.Millisecond
	// holdMemory is how long the owner has to answer in time for the next hold to be short.
	holdMemory = 20 * time.Second
)

// answerTimer tracks how long an owner takes to answer reports of waiting requests.
type answerTimer struct {
	// asked is the sequence number of the first such report that is not answered yet, and
	// askedAt when it was sent; zero if there is none.
	asked   uint64
	askedAt time.Time
	// smoothed is the moving average of the time that answers took; 0 if there was none.
	smoothed time.Duration
}

func (t *answerTimer) ask(now time.Time, sequence uint64) {
	if t.asked == 0 {
		t.asked, t.askedAt = sequence, now
	}
}

func (t *answerTimer) receive(now time.Time, acknowledged uint64) {
	if t.asked == 0 || acknowledged < t.asked {
		return
	}
	sample := now.Sub(t.askedAt)
	if t.smoothed == 0 {
		t.smoothed = sample
	}
	t.smoothed += time.Duration(answerTimeWeight * float64(sample-t.smoothed))
	t.stop()
}

// stop forgets the report that is not answered yet.
func (t *answerTimer) stop() { t.asked, t.askedAt = 0, time.Time{} }

// timeout returns how long to wait for an answer.
func (t *answerTimer) timeout() time.Duration {
	return min(max(ownerTimeoutFactor*t.smoothed, minOwnerTimeout), maxOwnerTimeout)
}

// hold is the time for which a borrower stays in fallback mode after its owner was slow.
type hold struct {
	until time.Time
	last  time.Duration
	// term is the latest term that the owner began meanwhile. Once there is one, the owner
	// knows that the previous one has ended, and leaves the borrower its share of the
	// endpoints' rate limits.
	term Term
	// askedAt is when the borrower asked for a term after the hold, in the report with the
	// sequence number asked; zero if it has not.
	askedAt time.Time
	asked   uint64
}

// begin starts a hold. Those of different VMs have different lengths, so that the VMs do not
// all ask the owner at the same time afterwards.
func (h *hold) begin(now time.Time, spread float64) {
	if now.Sub(h.until) >= holdMemory {
		h.last = 0
	}
	h.last = min(max(2*h.last, minHold), maxHold)
	h.until = now.Add(time.Duration((0.75 + 0.5*spread) * float64(h.last)))
	h.askedAt = time.Time{}
}

func (h *hold) active(now time.Time) bool { return now.Before(h.until) }

// ask records that the borrower asks for a term.
func (h *hold) ask(now time.Time, sequence uint64) {
	if h.askedAt.IsZero() && !h.active(now) {
		h.askedAt, h.asked = now, sequence
	}
}

// accepts reports whether the borrower enters a term. During a hold it does not, and
// afterwards only one that the owner began in time when it was asked for it; otherwise
// another hold begins. No request waits for that answer.
func (h *hold) accepts(now time.Time, grant Grant, spread float64) bool {
	term := grant.Term
	switch {
	case h.until.IsZero(), now.Sub(h.until) >= holdMemory:
		return true
	case h.active(now), h.askedAt.IsZero(), !term.after(h.term), grant.Acknowledged > 0 && grant.Acknowledged < h.asked:
		if term.after(h.term) {
			h.term = term
		}
		return false
	case now.Sub(h.askedAt) > maxRecoveryTime:
		h.term = term
		h.begin(now, spread)
		return false
	}
	h.term, h.askedAt = Term{}, time.Time{}
	return true
}

// holdsReports reports whether the borrower leaves its slow owner alone.
func (b *Borrower) holdsReports(now time.Time) bool {
	return b.fallback && b.hold.term != (Term{}) && b.hold.active(now)
}

// Lateness returns by how much the owner has been late lately with its answers to reports of
// waiting requests. An owner without a free slot answers after onDemandAckDelay, at the other
// end of a round trip.
func (b *Borrower) Lateness() time.Duration {
	return max(0, b.answers.smoothed-onDemandAckDelay-maxRoundTrip)
}

// holdSpread returns a number from 0 to 1 that differs between VMs.
func (b *Borrower) holdSpread() float64 { return float64(b.self.Digest()) / math.MaxUint32 }

// ownerSlow reports whether requests wait and the owner has not answered in time.
func (b *Borrower) ownerSlow(now time.Time) bool {
	due := b.onDemandDeadline()
	return !due.IsZero() && !now.Before(due)
}

// onDemandDeadline returns the time at which waiting requests stop relying on an owner that
// sends nothing or does not answer; the zero time means never.
func (b *Borrower) onDemandDeadline() time.Time {
	if !b.lendsOnDemand() || b.fallback || b.totalWaiting() == 0 {
		return time.Time{}
	}
	since := b.waitingSince
	if b.lastReceived.After(since) {
		since = b.lastReceived
	}
	if !b.answers.askedAt.IsZero() && b.answers.askedAt.Before(since) {
		since = b.answers.askedAt
	}
	return since.Add(b.answers.timeout())
}
