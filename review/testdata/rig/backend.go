package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// backend is a stand-in for one backend: it runs a number of requests at a time, queues a
// few more, and refuses the rest with 503 and Not-Executed.
type backend struct {
	id, service, zone string
	slots, queue      int
	born              int64
	listener          net.Listener
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// noisy is set for a backend that shares its machine: work takes four times as long in 35%
	// of the time, and 1.7 times as long while all slots are in use, as in the site files.
	noisy bool
	// answer writes the answer of a request that has run; nil means a sound one. It reports
	// whether the connection stays open.
	answer func(b *backend, c net.Conn, r *http.Request, id string, body []byte) bool
	// observe is told when a request arrives, begins to run, ends, and is dropped.
	observe func(b *backend, event, id string, at time.Time)

	mu               sync.Mutex
	running, waiting int
	turn             chan struct{}
	state            string
	sequence         int
	conns            map[net.Conn]bool
	closed           bool
	noise            float64
	noiseSince       time.Time
}

func newBackend(id, service, zone string, slots, queue int) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("backend: %v", err)
	}
	b := &backend{
		id: id, service: service, zone: zone, slots: slots, queue: queue, listener: l, state: "ready",
		born: time.Now().UnixMilli(), turn: make(chan struct{}, slots), conns: make(map[net.Conn]bool),
		work:    func(*http.Request) time.Duration { return 100 * time.Millisecond },
		observe: func(*backend, string, string, time.Time) {},
	}
	for range b.slots {
		b.turn <- struct{}{}
	}
	return b
}

func (b *backend) serve() {
	go func() {
		for {
			c, err := b.listener.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			if b.closed {
				b.mu.Unlock()
				_ = c.Close()
				continue
			}
			b.conns[c] = true
			b.mu.Unlock()
			go b.serveConn(c)
		}
	}()
}

// end closes the listener and all connections, as the end of the process does.
func (b *backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.Close()
	}
}

func (b *backend) registration() map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return map[string]any{"service": b.service, "address": b.listener.Addr().String(), "zone": b.zone, "version": "v1",
		"slots": b.slots, "state": b.state, "cold_remaining_s": 0, "sequence": b.sequence, "born": b.born}
}

func (b *backend) setState(state string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = state
}

func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,%.0f", b.running, b.waiting, b.slots, 100*b.noiseLocked())
}

func (b *backend) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBackend-Id: %s\r\nBackend-Load: %s\r\nContent-Length: 0\r\n\r\n", b.id, b.load())
			continue
		}
		id := r.Header.Get("Request-Id")
		b.observe(b, "arrives", id, time.Now())
		body, err := io.ReadAll(r.Body)
		if err != nil {
			b.observe(b, "broke off", id, time.Now())
			return
		}
		if want := r.Header.Get("Expected-Instance"); want != "" && want != b.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nBackend-Id: %s\r\nContent-Length: 0\r\n\r\n", id, b.id)
			continue
		}
		if !b.run(c, in, r, id, body) {
			return
		}
	}
}

// run runs one request and reports whether the connection stays open. A request whose
// connection closes is dropped.
func (b *backend) run(c net.Conn, in *bufio.Reader, r *http.Request, id string, body []byte) bool {
	b.mu.Lock()
	if b.running+b.waiting >= b.slots+b.queue {
		b.mu.Unlock()
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	b.waiting++
	b.mu.Unlock()
	gone := make(chan struct{})
	watch := make(chan struct{})
	go func() {
		defer close(watch)
		if _, err := in.Peek(1); err != nil && !isTimeout(err) {
			close(gone)
		}
	}()
	stopWatch := func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-watch
		_ = c.SetReadDeadline(time.Time{})
	}
	select {
	case <-b.turn:
	case <-gone:
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
		b.observe(b, "dropped unrun", id, time.Now())
		return false
	}
	b.mu.Lock()
	b.waiting--
	b.running++
	b.mu.Unlock()
	b.observe(b, "runs", id, time.Now())
	open := b.doWork(b.work(r), gone)
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	b.turn <- struct{}{}
	if !open {
		b.observe(b, "dropped", id, time.Now())
		return false
	}
	stopWatch()
	b.observe(b, "ends", id, time.Now())
	if b.answer != nil {
		return b.answer(b, c, r, id, body)
	}
	return b.soundAnswer(c, id)
}

// workStep is how often the progress of a request is computed.
const workStep = 10 * time.Millisecond

// doWork works on a request and reports whether its connection stayed open.
func (b *backend) doWork(left time.Duration, gone <-chan struct{}) bool {
	for left > 0 {
		step := min(left, workStep)
		if b.noisy {
			step = workStep
		}
		timer := time.NewTimer(step)
		select {
		case <-timer.C:
		case <-gone:
			timer.Stop()
			return false
		}
		left -= time.Duration(float64(step) / b.slowdown())
	}
	return true
}

// slowdown returns the factor by which work takes longer than usual now.
func (b *backend) slowdown() float64 {
	if !b.noisy {
		return 1
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	factor := b.noiseLocked()
	if b.running >= b.slots {
		factor *= 1.7
	}
	return factor
}

// noiseLocked returns the slowdown by other work on the machine.
func (b *backend) noiseLocked() float64 {
	if !b.noisy {
		return 1
	}
	if now := time.Now(); now.Sub(b.noiseSince) >= 300*time.Millisecond {
		b.noiseSince, b.noise = now, 1
		if rand.Float64() < 0.35 {
			b.noise = 4
		}
	}
	return b.noise
}

func isTimeout(err error) bool {
	t, ok := err.(net.Error)
	return ok && t.Timeout()
}

func answerBody(id string) string { return strings.Repeat("answer to "+id+"\n", 16) }

func (b *backend) head(id string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: sig-%s\r\nBackend-Load: %s\r\nContent-Length: %d\r\n\r\n", id, id, b.load(), length)
}

func (b *backend) soundAnswer(c net.Conn, id string) bool {
	body := answerBody(id)
	_, err := io.WriteString(c, b.head(id, len(body))+body)
	return err == nil
}
