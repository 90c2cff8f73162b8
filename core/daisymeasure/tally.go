package daisymeasure

import (
	"slices"
	"time"

	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyrank"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyroute"
)

// Tally is what a run gave. Requests that arrived within the warm-up are in no
// count but those of faults.
type Tally struct {
	Ranks [ranks]RankTally
	// Sends counts the attempts by their reason.
	Sends map[daisyroute.Reason]int
	Sheds int
	// Probes counts probes, and Messages and Bytes the messages between VMs.
	Probes   int
	Messages int
	Bytes    int
	// Doubled, Lost, MixedUp and RanNotRun count what must never be: a request
	// that is not idempotent and was begun twice, one that never ended, an answer
	// to another request, and one that was run after a promise that it was not.
	Doubled, Lost, MixedUp, RanNotRun int
	// Broken counts the requests that a dead VM took with it.
	Broken int
	sends  []sendRecord
}

// RankTally is what became of the requests of a rank.
type RankTally struct {
	Offered int
	// Served counts good answers, Useful those within the target of the rank.
	Served, Useful int
	// Errors counts answers that are errors of an endpoint.
	Errors  int
	Refused int
	Expired int
	// WorkOffered and WorkServed are the slot time of the offered and of the served requests.
	WorkOffered, WorkServed time.Duration
	answers                 []answerRecord
}

type answerRecord struct {
	arrived time.Time
	took    time.Duration
}

type sendRecord struct {
	at       time.Time
	endpoint *endpoint
}

func newTally() *Tally { return &Tally{Sends: make(map[daisyroute.Reason]int)} }

func (t *Tally) noteCall(c *call) {
	if c.counted {
		t.Ranks[c.Rank].Offered++
		t.Ranks[c.Rank].WorkOffered += c.work[0]
	}
}

func (t *Tally) noteSend(w *World, a *attempt, reason daisyroute.Reason) {
	t.Sends[reason]++
	t.sends = append(t.sends, sendRecord{at: w.now, endpoint: a.endpoint})
}

func (t *Tally) noteOutcome(o daisyrequest.Outcome) {
	if _, ok := o.(daisyrequest.Shed); ok {
		t.Sheds++
	}
}

func (t *Tally) noteAnswer(w *World, c *call, answer daisyrequest.Answered) {
	t.noteAnswerAt(c, w.now, answer)
}

func (t *Tally) noteAnswerAt(c *call, at time.Time, answer daisyrequest.Answered) {
	if !c.counted {
		return
	}
	r := &t.Ranks[c.Rank]
	if answer.Status != 200 {
		r.Errors++
		return
	}
	took := at.Sub(c.Arrived)
	r.Served++
	r.WorkServed += c.work[0]
	if took <= c.service.Ranks[c.Rank].Target {
		r.Useful++
	}
	r.answers = append(r.answers, answerRecord{arrived: c.Arrived, took: took})
}

func (t *Tally) noteFailure(c *call, d daisyroute.Fail) {
	if !c.counted {
		return
	}
	switch d.Failure.(type) {
	case daisyrequest.DeadlinePassed:
		t.Ranks[c.Rank].Expired++
	case daisyrequest.Overloaded, daisyrequest.NoEndpoint:
		t.Ranks[c.Rank].Refused++
	case daisyrequest.EndpointBroke:
		t.Ranks[c.Rank].Errors++
	}
}

func (t *Tally) noteMessage(w *World, m daisymessage.Message) {
	t.Messages++
	if w.scenario.Size != nil {
		t.Bytes += w.scenario.Size(m)
	}
}

// close counts what must never be.
func (t *Tally) close(w *World) {
	for _, c := range w.calls {
		switch {
		case c.ended:
		case c.vm.dead:
			t.Broken++
		default:
			t.Lost++
		}
		if c.notRun && c.started > 0 {
			t.RanNotRun++
		}
		if !c.Idempotent && c.started > 1 {
			t.Doubled++
		}
	}
}

// Percentile gives the latency that a share of the good answers of a rank took at most.
func (t *Tally) Percentile(rank daisyrank.Index, share float64) time.Duration {
	return percentile(t.Ranks[rank].answers, share)
}

// PercentileBetween is Percentile over the requests that arrived in a part of the run.
func (t *Tally) PercentileBetween(rank daisyrank.Index, share float64, from, to time.Time) time.Duration {
	var some []answerRecord
	for _, a := range t.Ranks[rank].answers {
		if !a.arrived.Before(from) && a.arrived.Before(to) {
			some = append(some, a)
		}
	}
	return percentile(some, share)
}

func percentile(answers []answerRecord, share float64) time.Duration {
	if len(answers) == 0 {
		return 0
	}
	took := make([]time.Duration, len(answers))
	for i, a := range answers {
		took[i] = a.took
	}
	slices.Sort(took)
	return took[min(len(took)-1, int(share*float64(len(took))))]
}

// UsefulShare gives the share of the offered requests of a rank that got a good answer within its target.
func (t *Tally) UsefulShare(rank daisyrank.Index) float64 {
	return ratio(float64(t.Ranks[rank].Useful), float64(t.Ranks[rank].Offered))
}

// SendShare gives the share of the sends of a service between two times that went to one endpoint.
func (t *Tally) SendShare(e *endpoint, among []*endpoint, from, to time.Time) float64 {
	its, all := 0, 0
	for _, s := range t.sends {
		if s.at.Before(from) || !s.at.Before(to) || !slices.Contains(among, s.endpoint) {
			continue
		}
		all++
		if s.endpoint == e {
			its++
		}
	}
	return ratio(float64(its), float64(all))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
