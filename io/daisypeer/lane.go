package daisypeer

import (
	"sync"

	"daisyyoke/core/daisymessage"
)

// lane is the bounded queue of messages to send over one stream. It is safe for concurrent
// use. When it is full, the oldest message is dropped.
type lane struct {
	mu       sync.Mutex
	messages []daisymessage.Message
	limit    int
	// wake receives a value when a message is added. It is buffered, so that adding a message
	// does not block.
	wake chan struct{}
}

func newLane(limit int) *lane { return &lane{limit: limit, wake: make(chan struct{}, 1)} }

// put adds a message and reports whether the oldest one was dropped to make room.
func (l *lane) put(m daisymessage.Message) (dropped bool) {
	l.mu.Lock()
	if len(l.messages) == l.limit {
		l.messages = append(l.messages[:0], l.messages[1:]...)
		dropped = true
	}
	l.messages = append(l.messages, m)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return dropped
}

// take removes and returns all messages. The queue then reuses the array of room, which
// has to be the result of the previous call, or nil.
func (l *lane) take(room []daisymessage.Message) []daisymessage.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.messages
	l.messages = room[:0]
	return taken
}

// isBulk reports whether messages of this type may be long and so use the bulk stream.
func isBulk(message daisymessage.Message) bool {
	switch message.(type) {
	case daisymessage.SnapshotGiven, daisymessage.RowsGiven:
		return true
	case daisymessage.Heartbeat, daisymessage.SnapshotWanted, daisymessage.CreditReport,
		daisymessage.CreditGrant, daisymessage.EndpointNews, daisymessage.RowsWanted, daisymessage.StopWanted:
		return false
	}
	return false
}
