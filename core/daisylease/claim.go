package daisylease

import (
	"math/rand/v2"
	"time"

	"daisyyoke/core/daisyvm"
)

// phase is where a claim stands.
type phase int

const (
	contending phase = iota
	holding
	ended
)

// Claim is one VM's claim on a lease, from the first read to its end. It is a
// state machine: events and the time go in, decisions come out. At most one read
// or write is under way at a time. It is not safe for concurrent use.
type Claim struct {
	self        daisyvm.Name
	incarnation daisyvm.Incarnation
	random      *rand.Rand
	phase       phase
	serial      uint64

	// seen is the row as it was last read, and since when it has had that version.
	seen      Record
	seenToken Token
	since     time.Time

	// token is the version of the row that this VM wrote last.
	token Token
	// until is when the lease is given up unless a write succeeds before.
	until time.Time

	busy    bool
	pending *write
	// next is when the next step is due, unless the claim is busy.
	next    time.Time
	note    string
	wanted  bool
	release bool
}

// write is a write that was begun and is not settled.
type write struct {
	record   Record
	expected Token
	began    time.Time
	// unknown says that an earlier try may have taken effect.
	unknown bool
	// refused says that the row has left the expected version.
	refused bool
	noted   bool
}

// NewClaim gives a claim of a VM. All its random choices come from random.
func NewClaim(now time.Time, self daisyvm.VM, random *rand.Rand) *Claim {
	return &Claim{self: self.Name, incarnation: self.Incarnation, random: random, serial: uint64(random.Uint32()), next: now}
}

// Token gives the version of the lease's row that this VM wrote last.
func (c *Claim) Token() Token { return c.token }

// NextWake gives when TimePassed has to be handled next; the zero time means never.
func (c *Claim) NextWake() time.Time {
	switch {
	case c.phase == ended:
		return time.Time{}
	case c.phase == holding && (c.busy || c.until.Before(c.next)):
		return c.until
	case c.busy:
		return time.Time{}
	}
	return c.next
}

// Handle takes an event that happened at now and gives what has to be done.
func (c *Claim) Handle(now time.Time, event Event) []Decision {
	if c.phase == ended {
		return nil
	}
	if c.phase == holding && !now.Before(c.until) {
		// Whatever this event says of a write, it comes too late to rely on.
		return c.end(Lost{})
	}
	var decisions []Decision
	switch e := event.(type) {
	case RowRead:
		decisions = c.read(now, e)
	case RowMissing:
		decisions = c.miss(now)
	case RowFailed, WriteFailed:
		c.settle(now.Add(retryInterval))
	case Written:
		decisions = c.wrote(now, e.Token)
	case WriteUnknown:
		c.pending.unknown = true
		c.settle(now.Add(retryInterval))
	case Refused:
		decisions = c.refuse(now)
	case NoteWanted:
		c.note, c.wanted = e.Note, true
		c.next = now
	case ReleaseWanted:
		c.release = true
		c.next = now
	case TimePassed:
	}
	return append(decisions, c.advance(now)...)
}

func (c *Claim) end(decision Decision) []Decision {
	c.phase = ended
	return []Decision{decision}
}

func (c *Claim) settle(next time.Time) {
	c.busy = false
	c.next = next
}

// advance begins the next step when it is due.
func (c *Claim) advance(now time.Time) []Decision {
	if c.busy || c.phase == ended || now.Before(c.next) {
		return nil
	}
	if c.pending != nil {
		c.busy = true
		if c.pending.refused {
			return []Decision{ReadRow{}}
		}
		if !c.pending.unknown {
			c.pending.began = now
		}
		return []Decision{WriteRow{Record: c.pending.record, Expected: c.pending.expected}}
	}
	if c.phase == contending {
		if c.release {
			return c.end(Released{})
		}
		c.busy = true
		return []Decision{ReadRow{}}
	}
	return c.write(now, c.token)
}

// write begins a write of the row over a version: to acquire, to renew, for a note or to release.
func (c *Claim) write(now time.Time, expected Token) []Decision {
	c.serial++
	r := Record{Holder: c.self, Incarnation: c.incarnation, Serial: c.serial, Life: Life, Note: c.note}
	if c.release {
		r.Holder = ""
	}
	c.pending = &write{record: r, expected: expected, began: now, noted: c.wanted}
	c.wanted = false
	c.busy = true
	return []Decision{WriteRow{Record: r, Expected: expected}}
}

func (c *Claim) wrote(now time.Time, token Token) []Decision {
	w := c.pending
	c.pending = nil
	c.token = token
	if w.record.Holder == "" {
		return c.end(Released{})
	}
	c.until = w.began.Add(safeLife(Life))
	c.settle(w.began.Add(Life / renewals))
	if c.wanted || c.release {
		c.next = now
	}
	if !now.Before(c.until) {
		// The write took longer than the lease lasts, so it gives no time to rely on.
		return c.write(now, token)
	}
	var decisions []Decision
	if c.phase == contending {
		c.phase = holding
		decisions = append(decisions, Acquired{Token: token})
	}
	if w.noted && !c.wanted {
		decisions = append(decisions, NoteWritten{})
	}
	return decisions
}

func (c *Claim) refuse(now time.Time) []Decision {
	if c.pending.unknown {
		c.pending.refused = true
		c.settle(now)
		return nil
	}
	return c.giveUp(now)
}

// giveUp drops the pending write, which somebody else came before.
func (c *Claim) giveUp(now time.Time) []Decision {
	c.pending = nil
	if c.phase == holding {
		return c.end(Lost{})
	}
	c.settle(now.Add(c.pollWait()))
	return nil
}

func (c *Claim) read(now time.Time, event RowRead) []Decision {
	if c.pending != nil {
		return c.readBack(now, event)
	}
	if event.Token > c.seenToken {
		c.seen, c.seenToken, c.since = event.Record, event.Token, now
	}
	if c.seen.Holder == "" || !now.Before(c.since.Add(c.seen.Life)) {
		return c.write(now, c.seenToken)
	}
	c.settle(c.nextLook(now))
	return nil
}

// readBack finds out whether a write whose reply was lost is what the row holds.
func (c *Claim) readBack(now time.Time, event RowRead) []Decision {
	if event.Token <= c.pending.expected {
		c.settle(now.Add(retryInterval))
		return nil
	}
	r := event.Record
	if r.Holder == c.pending.record.Holder && r.Incarnation == c.incarnation && r.Serial == c.pending.record.Serial {
		return c.wrote(now, event.Token)
	}
	return c.giveUp(now)
}

func (c *Claim) miss(now time.Time) []Decision {
	if c.pending != nil {
		c.settle(now.Add(retryInterval))
		return nil
	}
	if c.seenToken > 0 {
		c.settle(c.nextLook(now))
		return nil
	}
	return c.write(now, 0)
}

func (c *Claim) nextLook(now time.Time) time.Time {
	look := now.Add(c.pollWait())
	if over := c.since.Add(c.seen.Life); over.Before(look) && over.After(now) {
		return over
	}
	return look
}

func (c *Claim) pollWait() time.Duration {
	return pollInterval/2 + time.Duration(c.random.Int64N(int64(pollInterval)))
}
