package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["endless"] = endless }

// endlessInPart returns an answer that has no end for one request in eight.
func endlessInPart() func(*backend, net.Conn, *http.Request, []byte, string) bool {
	var answers atomic.Int64
	return func(b *backend, c net.Conn, r *http.Request, body []byte, id string) bool {
		if answers.Add(1)%8 != 0 {
			return plainAnswer(b, c, r, body, id)
		}
		time.Sleep(b.work)
		b.w.log("backend %s answers %s with a body without end", b.id, id)
		if _, err := fmt.Fprint(c, b.head(id, "Transfer-Encoding: chunked\r\n")); err != nil {
			return false
		}
		for {
			if _, err := fmt.Fprint(c, "10\r\n0123456789abcdef\r\n"); err != nil {
				b.w.log("backend %s: the connection of %s was closed", b.id, id)
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// endless lets backends answer one request in eight with a body that does not end, and looks
// whether the clients have a final answer half a second after the time-out of the route.
func endless(w *world) string {
	const timeout, deadline = 1500 * time.Millisecond, 3000 * time.Millisecond
	for range 3 {
		b := w.startBackend("fecho", 3, 160*time.Millisecond)
		if w.trouble {
			b.answer = endlessInPart()
		}
	}
	w.putConfig([]route{{name: "visit-close", host: "jepu9.example", prefix: "/puka111/", kind: "non_idempotent", service: "fecho",
		timeout: timeout.Seconds(), target: 0.4, priority: 1, attempts: 2}}, []string{"fecho"})
	w.startVMs(2)
	var mu sync.Mutex
	var wg sync.WaitGroup
	lasting, without := 0, 0
	for i := range 120 {
		wg.Go(func() {
			id := w.newID()
			c, err := net.DialTimeout("tcp", w.vms[i%2].front, time.Second)
			if err != nil {
				w.log("client %s: no connection", id)
				return
			}
			defer func() { _ = c.Close() }()
			sent := time.Now()
			fmt.Fprintf(c, "POST /puka111/2f HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 4\r\n\r\nabcd", id, deadline.Milliseconds())
			_ = c.SetReadDeadline(sent.Add(deadline))
			status, whole := 0, false
			if response, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
				status = response.StatusCode
				buffer := make([]byte, 4096)
				for err == nil {
					_, err = response.Body.Read(buffer)
				}
				whole = err.Error() == "EOF"
			}
			took := time.Since(sent)
			w.log("client %s: status %d, whole %v, after %v", id, status, whole, took.Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			if took > timeout {
				lasting++
				if took > timeout+500*time.Millisecond {
					without++
				}
			}
		})
		time.Sleep(150 * time.Millisecond)
	}
	wg.Wait()
	w.log("%d requests lasted longer than timeout_s; %d of them had no final answer 0.5 s after it", lasting, without)
	if without >= 8 && 4*without > lasting {
		return fmt.Sprintf("CONFIG: %d of %d requests that lasted longer than timeout_s had no final answer 0.5 s after it", without, lasting)
	}
	return ""
}
