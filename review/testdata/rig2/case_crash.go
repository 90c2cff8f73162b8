package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["crash"] = func(w *world) string { return crash(w, 100_000, 6, (*backend).crash) }
	cases["crash-dark"] = func(w *world) string { return crash(w, 4, 18, (*backend).goDark) }
}

// crash sends a request that crashes each backend which begins to run it, again and again, and
// counts those that reach backends later than stability_window_s after the third crash. Others
// send sound requests meanwhile.
func crash(w *world, size, others int, end func(*backend, time.Duration)) string {
	const stability = 3 * time.Second
	if n, err := strconv.Atoi(os.Getenv("BODY_BYTES")); err == nil {
		// Shows the rule with another size of the body.
		size = n
	}
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	for range 8 {
		b := w.startBackend("fecho", 3, 160*time.Millisecond)
		b.answer = func(b *backend, c net.Conn, r *http.Request, body []byte, id string) bool {
			if r.URL.Path != "/puka111/fatal" {
				return plainAnswer(b, c, r, body, id)
			}
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			if w.trouble {
				crashes = append(crashes, time.Now())
			}
			mu.Unlock()
			if !w.trouble {
				return plainAnswer(b, c, r, body, id)
			}
			end(b, 3*time.Second)
			return false
		}
	}
	w.putConfig([]route{{name: "visit-close", host: "jepu9.example", prefix: "/puka111/", kind: "non_idempotent", service: "fecho",
		timeout: 1.5, target: 0.4, priority: 1, attempts: 2}}, []string{"fecho"})
	w.startVMs(2)
	var wg sync.WaitGroup
	lost, served := 0, 0
	until := time.Now().Add(25 * time.Second)
	wg.Go(func() {
		body := bytes.Repeat([]byte("f"), size)
		for i := 0; time.Now().Before(until); i++ {
			status, text := w.post(w.vms[i%2], "/puka111/fatal", body)
			w.log("client of the fatal request: status %d %s", status, text)
			time.Sleep(700 * time.Millisecond)
		}
	})
	for worker := range others {
		wg.Go(func() {
			for i := worker; time.Now().Before(until); i++ {
				status, text := w.post(w.vms[i%2], "/puka111/2f", []byte("abcd"))
				mu.Lock()
				switch {
				case status == http.StatusOK:
					served++
				case status == 0 || status == http.StatusBadGateway || status == http.StatusGatewayTimeout:
					lost++
					w.log("other client: status %d %s", status, text)
				}
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range arrivals {
			if at.After(crashes[2].Add(stability)) {
				late++
			}
		}
	}
	w.log("the fatal request reached backends %d times, crashed %d, and came %d times later than %v after the third crash", len(arrivals), len(crashes), late, stability)
	w.log("requests of other clients: %d served, %d lost", served, lost)
	if late > 3 {
		return fmt.Sprintf("BUDGET: a request that crashes backends reached them %d times later than stability_window_s after the third crash; %d requests of others were lost", late, lost)
	}
	return ""
}

// post sends a POST on a new connection and returns the status of its answer, or 0.
func (w *world) post(v *vm, path string, body []byte) (status int, text string) {
	c, err := net.DialTimeout("tcp", v.front, time.Second)
	if err != nil {
		return 0, "no connection"
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	id := w.newID()
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s", path, id, len(body), body); err != nil {
		text = "sending broke off, "
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, text + "no answer to " + id
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, text + id
}

// crash ends the backend as a crash of its process does, and starts it again later as a new
// incarnation at its address. It says nothing to the store meanwhile.
func (b *backend) crash(down time.Duration) {
	b.mu.Lock()
	b.w.log("backend %s crashes", b.id)
	_ = b.listener.Close()
	for c := range b.conns {
		_ = c.Close()
	}
	old := b.id
	b.mu.Unlock()
	b.returnLater(old, down)
}

// goDark lets the machine of the backend go down with it: its connections fall silent, and new
// ones hang, until it starts again.
func (b *backend) goDark(down time.Duration) {
	b.mu.Lock()
	b.w.log("the machine of backend %s goes down", b.id)
	b.dark = true
	old := b.id
	raw, err := b.listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		// A full queue of new connections drops what opens further ones.
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	b.mu.Unlock()
	if err != nil {
		b.w.log("backend %s: %v", old, err)
	}
	var fillers []net.Conn
	for range 3 {
		if c, err := net.DialTimeout("tcp", b.address, 50*time.Millisecond); err == nil {
			fillers = append(fillers, c)
		}
	}
	b.returnLater(old, down)
	time.Sleep(down)
	for _, c := range fillers {
		_ = c.Close()
	}
}

// returnLater starts the backend again as a new incarnation at its address.
func (b *backend) returnLater(old string, down time.Duration) {
	time.AfterFunc(down, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.dark {
			b.dark = false
			_ = b.listener.Close()
			for c := range b.conns {
				_ = c.Close()
			}
		}
		if b.stopped {
			return
		}
		listener, err := net.Listen("tcp", b.address)
		if err != nil {
			b.w.log("backend at %s cannot start again: %v", b.address, err)
			return
		}
		b.listener, b.id, b.born, b.sequenceCount = listener, fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), 0
		go b.accept(b.listener)
		b.register("ready")
	})
	// The store removes the entry after three heartbeat intervals of silence.
	time.AfterFunc(4500*time.Millisecond, func() { b.w.store.Delete("servers", old) })
}
