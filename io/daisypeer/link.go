package daisypeer

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"

	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
)

const (
	// writeTimeout is the time after which a link is closed if the peer does not accept data.
	writeTimeout = 3 * time.Second
	// idleTimeout is the time after which a link is closed if the peer sends nothing on its
	// urgent stream.
	idleTimeout = 10 * time.Second
	// urgentQueueLimit and bulkQueueLimit are the maximum numbers of queued messages per link.
	urgentQueueLimit = 1024
	bulkQueueLimit   = 4
	// maxWriteBytes is the maximum size of a write to a stream. It lets urgent messages be sent
	// between the parts of a long one.
	maxWriteBytes = 16 << 10
)

// link is a yamux session with a peer. It has two streams in each direction: one for urgent
// messages and one for bulk messages, which may be long.
type link struct {
	links *Links
	peer  hello
	// dialer is the VM that dialed the connection.
	dialer      daisyvm.Name
	session     *yamux.Session
	streamUsers *streamUsers
	urgent      *messageQueue
	bulk        *messageQueue
	// replaced reports whether a preferred link to the same peer took the place of this one.
	replaced bool
	// done is closed when the link is removed from links.
	done       chan struct{}
	goroutines sync.WaitGroup
}

func newSession(conn net.Conn, dialed bool) (*yamux.Session, error) {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = helloTimeout
	config.StreamCloseTimeout = writeTimeout
	config.LogOutput = nil
	config.Logger = hclog.NewNullLogger().StandardLogger(nil)
	open := yamux.Server
	if dialed {
		open = yamux.Client
	}
	session, err := open(conn, config)
	if err != nil {
		return nil, Broken.Wrap(err, "session")
	}
	return session, nil
}

// newLink opens a session over a connection and starts the goroutines that send and receive
// over it. They return when the session is closed.
func newLink(links *Links, conn net.Conn, peer hello, dialer daisyvm.Name, dialed bool) (*link, error) {
	l := &link{
		links:  links,
		peer:   peer,
		dialer: dialer,
		urgent: newMessageQueue(urgentQueueLimit),
		bulk:   newMessageQueue(bulkQueueLimit),
		done:   make(chan struct{}),
	}
	l.streamUsers = &streamUsers{done: l.done}
	session, err := newSession(&sessionConn{Conn: conn, counters: &links.counters, onFailure: l.abandon}, dialed)
	if err != nil {
		return nil, err
	}
	l.session = session
	l.goroutines.Go(func() { l.shutDown(l.send()) })
	l.goroutines.Go(func() { l.shutDown(l.receive()) })
	return l, nil
}

// shutDown closes the link. The error of the first call is logged as the cause.
func (l *link) shutDown(err error) {
	l.abandon(err)
	_ = l.session.Close()
}

// abandon removes the link and makes its goroutines leave the session. Their calls of
// shutDown then close it.
func (l *link) abandon(err error) {
	l.links.removeLink(l, err)
	l.streamUsers.interrupt()
}

// wait blocks until all goroutines of the link have returned.
func (l *link) wait() { l.goroutines.Wait() }

// enqueue queues a message without blocking and reports whether an older one was dropped.
func (l *link) enqueue(message daisymessage.Message) (dropped bool) {
	if isBulk(message) {
		return l.bulk.push(message)
	}
	return l.urgent.push(message)
}

// send opens the two outgoing streams, the urgent one first, and writes messages until the
// session is closed. The peer tells the streams apart by their order.
func (l *link) send() error {
	urgent, err := l.session.OpenStream()
	if err != nil {
		return Broken.Wrap(err, "cannot open urgent stream")
	}
	bulk, err := l.session.OpenStream()
	if err != nil {
		return Broken.Wrap(err, "cannot open bulk stream")
	}
	l.goroutines.Go(func() { l.shutDown(l.write(bulk, l.bulk, maxBulkFrame)) })
	return l.write(urgent, l.urgent, maxUrgentFrame)
}

// receive accepts the two incoming streams, the urgent one first, and reads messages until
// the session is closed.
func (l *link) receive() error {
	urgent, err := l.session.AcceptStream()
	if err != nil {
		return Broken.Wrap(err, "cannot accept urgent stream")
	}
	l.goroutines.Go(func() { l.shutDown(l.receiveBulk()) })
	return l.read(urgent, maxUrgentFrame)
}

func (l *link) receiveBulk() error {
	bulk, err := l.session.AcceptStream()
	if err != nil {
		return Broken.Wrap(err, "cannot accept bulk stream")
	}
	return l.read(bulk, maxBulkFrame)
}

func (l *link) write(stream *yamux.Stream, queue *messageQueue, limit int) error {
	u, err := l.streamUsers.add(stream)
	if err != nil {
		return err
	}
	defer u.release()
	return newWriter(l, u, queue, limit).run()
}

func (l *link) read(stream *yamux.Stream, limit int) error {
	u, err := l.streamUsers.add(stream)
	if err != nil {
		return err
	}
	defer u.release()
	d := &decoder{epoch: l.links.epoch, peerEpoch: l.peer.epoch, lastVM: l.peer.vm}
	f := &frameReader{reader: bufio.NewReader(&idleReader{user: u, hasTimeout: limit == maxUrgentFrame}), limit: limit}
	for {
		frame, err := f.next()
		if err == io.EOF {
			return Broken.New("connection closed by peer")
		}
		if err != nil {
			return err
		}
		message, err := d.decode(time.Now(), frame)
		if err != nil {
			return err
		}
		if message == nil {
			l.links.counters.ignored.Add(1)
			continue
		}
		if h, ok := message.(daisymessage.Heartbeat); ok && h.VM.Name != l.peer.vm.Name {
			return WrongVM.New("heartbeat of VM %q on link to %q", h.VM.Name, l.peer.vm.Name)
		}
		l.links.counters.received.Add(1)
		l.links.options.Receiver.Receive(l.peer.vm.Name, message)
	}
}

// idleReader reads a stream. If hasTimeout is set, a read fails after idleTimeout without data.
type idleReader struct {
	user       *streamUser
	hasTimeout bool
}

func (r *idleReader) Read(p []byte) (int, error) {
	if r.hasTimeout {
		if err := r.user.stream.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			return 0, Broken.Wrap(err, "deadline")
		}
	}
	if r.user.linkClosed() {
		return 0, Broken.New("session closed")
	}
	return r.user.stream.Read(p)
}

// writer sends the messages of one queue over one stream.
type writer struct {
	link    *link
	user    *streamUser
	queue   *messageQueue
	limit   int
	encoder *encoder
	buffer  []byte
}

func newWriter(l *link, user *streamUser, queue *messageQueue, limit int) *writer {
	e := &encoder{epoch: l.links.epoch, peerEpoch: l.peer.epoch, lastVM: l.links.options.Self, compressor: &l.links.compressor}
	return &writer{link: l, user: user, queue: queue, limit: limit, encoder: e}
}

func (w *writer) run() error {
	var messages []daisymessage.Message
	for {
		select {
		case <-w.queue.added:
		case <-w.link.done:
			return Broken.New("session closed")
		case <-w.link.session.CloseChan():
			return Broken.New("session closed")
		}
		messages = w.queue.takeAll(messages)
		if err := w.write(messages); err != nil {
			return err
		}
		clear(messages)
	}
}

// write sends the messages as one batch. An oversized message is dropped, and the others
// are sent.
func (w *writer) write(messages []daisymessage.Message) error {
	w.buffer = w.buffer[:0]
	now := time.Now()
	counters := &w.link.links.counters
	for _, m := range messages {
		buffer, err := appendFrame(w.buffer, w.encoder.encode(now, m), w.limit)
		if err != nil {
			counters.dropped.Add(1)
			continue
		}
		w.buffer = buffer
		counters.sent.Add(1)
	}
	counters.batches.Add(1)
	for rest := w.buffer; len(rest) > 0; {
		n := min(maxWriteBytes, len(rest))
		if err := w.user.stream.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			return Broken.Wrap(err, "deadline")
		}
		if w.user.linkClosed() {
			return Broken.New("session closed")
		}
		if _, err := w.user.stream.Write(rest[:n]); err != nil {
			return Broken.Wrap(err, "write")
		}
		rest = rest[n:]
		now = time.Now()
	}
	return nil
}
