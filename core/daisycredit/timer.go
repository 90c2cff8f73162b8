package daisycredit

import (
	"time"

	"daisyyoke/core/daisywake"
)

const (
	// messageInterval is the minimum time between two messages to one VM about one service.
	messageInterval = time.Millisecond
	// localMessageInterval is the same between an owner and the borrower on its own VM.
	localMessageInterval = 100 * time.Microsecond
	// batchDelay is how long a change that no request waits for may be delayed so that it
	// shares a message with others.
	batchDelay = 20 * time.Millisecond
	// ackDelay is how long an acknowledgement may be delayed so that it shares a message.
	ackDelay = 200 * time.Millisecond
	// onDemandAckDelay is the same for a borrower whose requests wait for a credit on
	// demand, which waits for its owner only for minOwnerTimeout.
	onDemandAckDelay = 20 * time.Millisecond
	// keepaliveInterval is the time between two messages of an owner to a VM whose
	// requests wait for a credit on demand: if one of them is lost, the next arrives
	// before minOwnerTimeout has passed.
	keepaliveInterval = 50 * time.Millisecond
	// minRetransmitDelay is the time after which an unacknowledged message is first sent
	// again; it doubles up to maxRetransmitDelay.
	minRetransmitDelay = 300 * time.Millisecond
	maxRetransmitDelay = 500 * time.Millisecond
	// ownerTimeout is the time without an acknowledgement after which a borrower considers
	// its owner lost and enters fallback mode.
	ownerTimeout = time.Second
	// borrowerTimeout is the time without an acknowledgement after which an owner takes
	// back the credits of a borrower. It is longer than ownerTimeout, so that the borrower
	// has discarded its idle credits itself by then.
	borrowerTimeout = 2 * ownerTimeout
)

// messageTimer determines when the next message to one VM is due. Updates have a
// sequence number and are sent again until they are acknowledged; messages that only
// acknowledge have no number and are sent once.
type messageTimer struct {
	// interval is the minimum time between two messages.
	interval     time.Duration
	lastSequence uint64
	acknowledged uint64
	lastSent     time.Time
	// nextUpdate, nextRetransmit and nextAck are when an update, a retransmission and an
	// acknowledgement are due; the zero time means never.
	nextUpdate     time.Time
	nextRetransmit time.Time
	nextAck        time.Time
	// retransmitDelay is the delay of the latest scheduled retransmission, or 0.
	retransmitDelay time.Duration
	// unackedSince is since when an acknowledgement has been missing: the time of the first
	// unacknowledged update or, if that is later, of the last acknowledgement that did not
	// cover all updates. The zero time means that all updates are acknowledged.
	unackedSince time.Time
}

// nextSequence returns the sequence number of the next update.
func (t *messageTimer) nextSequence() uint64 { return t.lastSequence + 1 }

// scheduleUpdate schedules an update as early as the interval allows.
func (t *messageTimer) scheduleUpdate(now time.Time) { t.scheduleUpdateWithin(now, 0) }

// scheduleUpdateWithin schedules an update within a delay from now, if the interval allows.
func (t *messageTimer) scheduleUpdateWithin(now time.Time, delay time.Duration) {
	t.nextUpdate = daisywake.Sooner(t.nextUpdate, t.respectInterval(now.Add(delay)))
}

// scheduleAck schedules an acknowledgement within a delay from now, if the interval allows.
func (t *messageTimer) scheduleAck(now time.Time, delay time.Duration) {
	t.nextAck = daisywake.Sooner(t.nextAck, t.respectInterval(now.Add(delay)))
}

// respectInterval returns due, or the end of the minimum interval if that is later.
func (t *messageTimer) respectInterval(due time.Time) time.Time {
	if earliest := t.lastSent.Add(t.interval); due.Before(earliest) {
		return earliest
	}
	return due
}

// reached reports whether due is set and not after now.
func reached(now, due time.Time) bool { return !due.IsZero() && !now.Before(due) }

// updateDue reports whether an update or a retransmission is due.
func (t *messageTimer) updateDue(now time.Time) bool {
	return reached(now, t.nextUpdate) || reached(now, t.nextRetransmit)
}

// ackDue reports whether an acknowledgement is due.
func (t *messageTimer) ackDue(now time.Time) bool { return reached(now, t.nextAck) }

// nextDue returns the time at which the next message is due.
func (t *messageTimer) nextDue() time.Time {
	return daisywake.Sooner(t.nextUpdate, daisywake.Sooner(t.nextRetransmit, t.nextAck))
}

// recordUpdate records that an update is sent at now, and returns its sequence number.
func (t *messageTimer) recordUpdate(now time.Time) uint64 {
	t.lastSequence++
	t.lastSent = now
	t.nextUpdate = time.Time{}
	t.nextAck = time.Time{}
	t.retransmitDelay = min(max(2*t.retransmitDelay, minRetransmitDelay), maxRetransmitDelay)
	t.nextRetransmit = now.Add(t.retransmitDelay)
	if t.unackedSince.IsZero() {
		t.unackedSince = now
	}
	return t.lastSequence
}

// recordAck records that an acknowledgement is sent at now.
func (t *messageTimer) recordAck(now time.Time) {
	t.lastSent = now
	t.nextAck = time.Time{}
}

// receiveAck records that the other side has the update with this sequence number.
func (t *messageTimer) receiveAck(now time.Time, sequence uint64) {
	if sequence <= t.acknowledged || sequence > t.lastSequence {
		return
	}
	t.acknowledged = sequence
	t.retransmitDelay = 0
	t.unackedSince = now
	if t.acknowledged == t.lastSequence {
		t.forgetUnacked()
	}
}

// forgetUnacked stops waiting for acknowledgements.
func (t *messageTimer) forgetUnacked() {
	t.acknowledged = t.lastSequence
	t.retransmitDelay = 0
	t.nextRetransmit = time.Time{}
	t.unackedSince = time.Time{}
}

// timedOut reports whether an acknowledgement has been missing for as long as timeout.
// An acknowledgement that does not cover all updates restarts that time.
func (t *messageTimer) timedOut(now time.Time, timeout time.Duration) bool {
	return !t.unackedSince.IsZero() && now.Sub(t.unackedSince) >= timeout
}
