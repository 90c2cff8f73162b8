package daisycredit

import (
	"time"

	"daisyyoke/core/daisywake"
)

const (
	// messageGap is the shortest time between two messages to one VM about one service.
	messageGap = time.Millisecond
	// localGap is the same between an owner and the borrower on its own VM.
	localGap = 100 * time.Microsecond
	// lazyDelay is how long news that nobody waits for is held back to share a message.
	lazyDelay = 20 * time.Millisecond
	// answerDelay is how long an acknowledgement is held back to share a message.
	answerDelay = 200 * time.Millisecond
	// promptDelay is the same between VMs that lend on demand: a borrower whose
	// requests wait has to learn soon that its owner lives.
	promptDelay = 20 * time.Millisecond
	// wordEvery is the time between two messages of an owner to a VM whose requests
	// wait for a credit on demand: two of them may be lost before its impatience ends.
	wordEvery = 50 * time.Millisecond
	// repeatAfter is when a message without an acknowledgement is first sent
	// again; the time doubles up to repeatAtMost.
	repeatAfter  = 300 * time.Millisecond
	repeatAtMost = 500 * time.Millisecond
	// silentAfter is when a borrower takes its owner to be silent, and guesses.
	silentAfter = time.Second
	// reclaimAfter is when an owner takes back what a silent borrower holds: later, so
	// that the borrower has given its idle credits up itself by then.
	reclaimAfter = 2 * silentAfter
)

// pace decides when the next message to one VM is due. Messages with news are
// numbered, and repeated until they are acknowledged; mere acknowledgements
// have no number and are not.
type pace struct {
	// gap is the shortest time between two messages.
	gap          time.Duration
	sent         uint64
	acknowledged uint64
	last         time.Time
	// newsDue, repeatDue and answerDue are when news, a repetition and an
	// acknowledgement are due; the zero time means never.
	newsDue   time.Time
	repeatDue time.Time
	answerDue time.Time
	// repeat is how long the next repetition waits.
	repeat time.Duration
	// waiting is since when a message is unacknowledged.
	waiting time.Time
}

// next is the sequence that the next message with news will have.
func (p *pace) next() uint64 { return p.sent + 1 }

// urge asks for a message with news as early as the gap allows.
func (p *pace) urge(now time.Time) { p.within(now, 0) }

// within asks for a message with news no later than delay from now, if the gap allows.
func (p *pace) within(now time.Time, delay time.Duration) {
	p.newsDue = daisywake.Sooner(p.newsDue, p.spaced(now.Add(delay)))
}

// answer asks for an acknowledgement within a delay.
func (p *pace) answer(now time.Time, delay time.Duration) {
	p.answerDue = daisywake.Sooner(p.answerDue, p.spaced(now.Add(delay)))
}

func (p *pace) spaced(due time.Time) time.Time {
	if earliest := p.last.Add(p.gap); due.Before(earliest) {
		return earliest
	}
	return due
}

func reached(now, due time.Time) bool { return !due.IsZero() && !now.Before(due) }

// hasNews reports whether a message with news is due.
func (p *pace) hasNews(now time.Time) bool {
	return reached(now, p.newsDue) || reached(now, p.repeatDue)
}

// hasAnswer reports whether an acknowledgement is due.
func (p *pace) hasAnswer(now time.Time) bool { return reached(now, p.answerDue) }

// wake is when the next message is due.
func (p *pace) wake() time.Time {
	return daisywake.Sooner(p.newsDue, daisywake.Sooner(p.repeatDue, p.answerDue))
}

// number notes that a message with news is sent at now and gives its sequence.
func (p *pace) number(now time.Time) uint64 {
	p.sent++
	p.last = now
	p.newsDue = time.Time{}
	p.answerDue = time.Time{}
	p.repeat = min(max(2*p.repeat, repeatAfter), repeatAtMost)
	p.repeatDue = now.Add(p.repeat)
	if p.waiting.IsZero() {
		p.waiting = now
	}
	return p.sent
}

// answered notes that an acknowledgement is sent at now.
func (p *pace) answered(now time.Time) {
	p.last = now
	p.answerDue = time.Time{}
}

// acknowledge notes that the other side has the message with this sequence.
func (p *pace) acknowledge(now time.Time, sequence uint64) {
	if sequence <= p.acknowledged || sequence > p.sent {
		return
	}
	p.acknowledged = sequence
	p.repeat = 0
	p.waiting = now
	if p.acknowledged == p.sent {
		p.forget()
	}
}

// forget gives up waiting for acknowledgements.
func (p *pace) forget() {
	p.acknowledged = p.sent
	p.repeat = 0
	p.repeatDue = time.Time{}
	p.waiting = time.Time{}
}

// silent reports whether the other side has left news unacknowledged for so long.
func (p *pace) silent(now time.Time, length time.Duration) bool {
	return !p.waiting.IsZero() && now.Sub(p.waiting) >= length
}
