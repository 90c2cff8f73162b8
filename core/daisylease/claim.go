package daisylease

import (
	"math/rand/v2"
	"time"

	"daisyyoke/core/daisyvm"
)

// phase is the stage of a claim.
type phase int

const (
	contending phase = iota
	holding
	ended
)

// Claim is one VM's attempt to acquire and keep a lease, from the first read to the
// release or loss. It is a state machine: events and the time go in, decisions come
// out. At most one read or write is in flight at a time. It is not safe for concurrent use.
type Claim struct {
	self        daisyvm.Name
	incarnation daisyvm.Incarnation
	random      *rand.Rand
	phase       phase
	serial      uint64

	// lastRead is the newest version of the row read so far, unchangedSince when it was
	// first read.
	lastRead       Record
	lastReadToken  Token
	unchangedSince time.Time

	// era is the latest era of the platform, and eraKnown is set once a read has shown it.
	era      Era
	eraKnown bool
	// notBefore is when the lease may be acquired at the earliest after a restore of the
	// platform.
	notBefore time.Time

	// token is the version of the row that this VM wrote last.
	token Token
	// validUntil is when the holder gives the lease up unless a write succeeds before.
	validUntil time.Time

	inFlight bool
	pending  *pendingWrite
	// nextStepAt is when the next step is due unless an operation is in flight.
	nextStepAt    time.Time
	note          string
	noteUnwritten bool
	releaseWanted bool
}

// pendingWrite is a write whose outcome is not settled.
type pendingWrite struct {
	record    Record
	expected  Token
	startedAt time.Time
	// outcomeUnknown reports whether an earlier attempt may have taken effect.
	outcomeUnknown bool
	// versionChanged reports whether the row no longer has the expected version.
	versionChanged bool
	carriesNote    bool
}

// NewClaim returns a claim by a VM. All random choices come from random.
func NewClaim(now time.Time, self daisyvm.VM, random *rand.Rand) *Claim {
	return &Claim{self: self.Name, incarnation: self.Incarnation, random: random, serial: uint64(random.Uint32()), nextStepAt: now}
}

// Token returns the version of the lease's row that this VM wrote last.
func (c *Claim) Token() Token { return c.token }

// NextWake returns when TimePassed has to be handled next; the zero time means never.
func (c *Claim) NextWake() time.Time {
	switch {
	case c.phase == ended:
		return time.Time{}
	case c.phase == holding && (c.inFlight || c.validUntil.Before(c.nextStepAt)):
		return c.validUntil
	case c.inFlight:
		return time.Time{}
	}
	return c.nextStepAt
}

// Handle processes an event that happened at now and returns what has to be done.
func (c *Claim) Handle(now time.Time, event Event) []Decision {
	if c.phase == ended {
		return nil
	}
	if c.phase == holding && !now.Before(c.validUntil) {
		// A reply that arrives after the lease has expired must not be relied on.
		return c.finish(Lost{})
	}
	var decisions []Decision
	switch e := event.(type) {
	case RowRead:
		decisions = c.noteEra(now, e.Era)
		if len(decisions) == 0 {
			decisions = c.handleRead(now, e)
		}
	case RowMissing:
		decisions = c.noteEra(now, e.Era)
		if len(decisions) == 0 {
			decisions = c.handleMissing(now)
		}
	case ReadFailed, WriteFailed:
		c.scheduleStep(now.Add(retryInterval))
	case Written:
		decisions = c.handleWritten(now, e.Token)
	case WriteUnknown:
		c.pending.outcomeUnknown = true
		c.scheduleStep(now.Add(retryInterval))
	case WriteRefused:
		decisions = c.handleRefused(now)
	case NoteWanted:
		c.note, c.noteUnwritten = e.Note, true
		c.nextStepAt = now
	case ReleaseWanted:
		c.releaseWanted = true
		c.nextStepAt = now
	case TimePassed:
	}
	return append(decisions, c.startDueStep(now)...)
}

// noteEra notices that the platform was restored from a backup. What was read before does
// not count any more, a write without a known outcome is lost or will be refused, and a
// holder may live whose claim the row lacks.
func (c *Claim) noteEra(now time.Time, era Era) []Decision {
	restored := c.eraKnown && era > c.era
	c.era, c.eraKnown = max(era, c.era), true
	if !restored {
		return nil
	}
	c.lastRead, c.lastReadToken, c.unchangedSince = Record{}, 0, now
	c.notBefore = now.Add(TTL)
	if c.phase == holding {
		return c.finish(Lost{})
	}
	c.pending = nil
	return nil
}

func (c *Claim) finish(decision Decision) []Decision {
	c.phase = ended
	return []Decision{decision}
}

// scheduleStep ends the operation in flight and sets when the next step is due.
func (c *Claim) scheduleStep(at time.Time) {
	c.inFlight = false
	c.nextStepAt = at
}

// startDueStep starts the next step if it is due.
func (c *Claim) startDueStep(now time.Time) []Decision {
	if c.inFlight || c.phase == ended || now.Before(c.nextStepAt) {
		return nil
	}
	if c.pending != nil {
		c.inFlight = true
		if c.pending.versionChanged {
			return []Decision{ReadRow{}}
		}
		if !c.pending.outcomeUnknown {
			c.pending.startedAt = now
		}
		return []Decision{WriteRow{Record: c.pending.record, Expected: c.pending.expected}}
	}
	if c.phase == contending {
		if c.releaseWanted {
			return c.finish(Released{})
		}
		c.inFlight = true
		return []Decision{ReadRow{}}
	}
	return c.startWrite(now, c.token)
}

// startWrite starts a write of the row over the expected version, which acquires,
// renews, annotates or releases the lease.
func (c *Claim) startWrite(now time.Time, expected Token) []Decision {
	c.serial++
	r := Record{Holder: c.self, Incarnation: c.incarnation, Serial: c.serial, TTL: TTL, Note: c.note}
	if c.releaseWanted {
		r.Holder = ""
	}
	c.pending = &pendingWrite{record: r, expected: expected, startedAt: now, carriesNote: c.noteUnwritten}
	c.noteUnwritten = false
	c.inFlight = true
	return []Decision{WriteRow{Record: r, Expected: expected}}
}

func (c *Claim) handleWritten(now time.Time, token Token) []Decision {
	w := c.pending
	c.pending = nil
	c.token = token
	if w.record.Holder == "" {
		return c.finish(Released{})
	}
	c.validUntil = w.startedAt.Add(holderTTL(TTL))
	c.scheduleStep(w.startedAt.Add(TTL / renewalsPerTTL))
	if c.noteUnwritten || c.releaseWanted {
		c.nextStepAt = now
	}
	if !now.Before(c.validUntil) {
		// The write took longer than holderTTL, so the lease that it acquired has already expired.
		return c.startWrite(now, token)
	}
	var decisions []Decision
	if c.phase == contending {
		c.phase = holding
		decisions = append(decisions, Acquired{Token: token})
	}
	if w.carriesNote && !c.noteUnwritten {
		decisions = append(decisions, NoteWritten{})
	}
	return decisions
}

func (c *Claim) handleRefused(now time.Time) []Decision {
	if c.pending.outcomeUnknown {
		c.pending.versionChanged = true
		c.scheduleStep(now)
		return nil
	}
	return c.abandonWrite(now)
}

// abandonWrite drops the pending write because another VM wrote the row first.
func (c *Claim) abandonWrite(now time.Time) []Decision {
	c.pending = nil
	if c.phase == holding {
		return c.finish(Lost{})
	}
	c.scheduleStep(now.Add(c.pollDelay()))
	return nil
}

func (c *Claim) handleRead(now time.Time, event RowRead) []Decision {
	if c.pending != nil {
		return c.resolveUnknownWrite(now, event)
	}
	if event.Token > c.lastReadToken {
		c.lastRead, c.lastReadToken, c.unchangedSince = event.Record, event.Token, now
	}
	free := c.lastRead.Holder == "" || !now.Before(c.unchangedSince.Add(c.lastRead.TTL))
	if free && !now.Before(c.notBefore) {
		return c.startWrite(now, c.lastReadToken)
	}
	c.scheduleStep(c.nextReadAt(now))
	return nil
}

// resolveUnknownWrite determines from the row whether a write whose reply was lost
// took effect.
func (c *Claim) resolveUnknownWrite(now time.Time, event RowRead) []Decision {
	if event.Token <= c.pending.expected {
		c.scheduleStep(now.Add(retryInterval))
		return nil
	}
	r := event.Record
	if r.Holder == c.pending.record.Holder && r.Incarnation == c.incarnation && r.Serial == c.pending.record.Serial {
		return c.handleWritten(now, event.Token)
	}
	return c.abandonWrite(now)
}

func (c *Claim) handleMissing(now time.Time) []Decision {
	if c.pending != nil {
		c.scheduleStep(now.Add(retryInterval))
		return nil
	}
	if c.lastReadToken > 0 {
		c.scheduleStep(c.nextReadAt(now))
		return nil
	}
	if now.Before(c.notBefore) {
		c.scheduleStep(c.nextReadAt(now))
		return nil
	}
	return c.startWrite(now, 0)
}

// nextReadAt returns when a contender reads the row next: after pollDelay, or earlier
// if the lease last read expires before.
func (c *Claim) nextReadAt(now time.Time) time.Time {
	poll := now.Add(c.pollDelay())
	if expiry := c.unchangedSince.Add(c.lastRead.TTL); expiry.Before(poll) && expiry.After(now) {
		return expiry
	}
	return poll
}

// pollDelay returns a random delay around pollInterval, so that contenders do not read
// at the same time.
func (c *Claim) pollDelay() time.Duration {
	return pollInterval/2 + time.Duration(c.random.Int64N(int64(pollInterval)))
}
