package daisypeer

import (
	"sync"

	"daisyyoke/core/daisymessage"
)

// messageQueue is the bounded queue of messages to send over one stream. When it is full,
// the oldest message is dropped. It is safe for concurrent use.
type messageQueue struct {
	mu       sync.Mutex
	messages []daisymessage.Message
	limit    int
	// added receives a value when a message is added. It is buffered, so that adding a message
	// does not block.
	added chan struct{}
}

func newMessageQueue(limit int) *messageQueue {
	return &messageQueue{limit: limit, added: make(chan struct{}, 1)}
}

// push adds a message and reports whether the oldest one was dropped to make room.
func (q *messageQueue) push(m daisymessage.Message) (dropped bool) {
	q.mu.Lock()
	if len(q.messages) == q.limit {
		q.messages = append(q.messages[:0], q.messages[1:]...)
		dropped = true
	}
	q.messages = append(q.messages, m)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
	return dropped
}

// takeAll removes and returns all messages. The queue stores further messages in buffer,
// which has to be the result of the previous call, or nil.
func (q *messageQueue) takeAll(buffer []daisymessage.Message) []daisymessage.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.messages
	q.messages = buffer[:0]
	return taken
}

// isBulk reports whether messages of this type may be long and so use the bulk stream.
func isBulk(message daisymessage.Message) bool {
	switch message.(type) {
	case daisymessage.SnapshotGiven, daisymessage.RowsGiven:
		return true
	case daisymessage.Heartbeat, daisymessage.SnapshotWanted, daisymessage.CreditReport,
		daisymessage.CreditGrant, daisymessage.EndpointNews, daisymessage.EndpointLeaving, daisymessage.CrashFindings, daisymessage.RowsWanted, daisymessage.StopWanted,
		daisymessage.QuotaRequests, daisymessage.QuotaGrants:
		return false
	}
	return false
}
