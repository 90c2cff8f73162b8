package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["gone"] = gone }

// uploadBytes is the size of the requests of the case, far below the limit for bodies.
const uploadBytes = 100_000

// gone lets three clients in ten leave 0.4 s after they have sent their requests, while these
// wait for a slot, and looks which requests reach a backend later than half a second after that.
func gone(w *world) string {
	for range 2 {
		w.startBackend("fecho", 2, 480*time.Millisecond)
	}
	w.putConfig([]route{{name: "visit-close", host: "jepu9.example", prefix: "/puka111/", kind: "non_idempotent", service: "fecho",
		timeout: 4, target: 0.4, priority: 1, attempts: 2}}, []string{"fecho"})
	w.startVMs(2)
	var mu sync.Mutex
	var wg sync.WaitGroup
	left := make(map[string]time.Time)
	for range 5 {
		for i := range 20 {
			wg.Go(func() {
				id := w.newID()
				c, err := net.DialTimeout("tcp", w.vms[i%2].front, time.Second)
				if err != nil {
					w.log("client %s: no connection", id)
					return
				}
				defer func() { _ = c.Close() }()
				fmt.Fprintf(c, "POST /puka111/2f HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: %s\r\nDeadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n", id, uploadBytes)
				if _, err := c.Write(bytes.Repeat([]byte("u"), uploadBytes)); err != nil {
					w.log("client %s: sending failed: %v", id, err)
				}
				w.log("client %s has sent its request", id)
				_ = c.SetReadDeadline(time.Now().Add(8 * time.Second))
				if w.trouble && i%10 < 3 {
					_ = c.SetReadDeadline(time.Now().Add(400 * time.Millisecond))
				}
				buffer := make([]byte, 4096)
				if n, err := c.Read(buffer); err == nil {
					w.log("client %s gets %.30q", id, buffer[:n])
					return
				}
				w.log("client %s leaves", id)
				mu.Lock()
				left[id] = time.Now()
				mu.Unlock()
			})
		}
		time.Sleep(5 * time.Second)
	}
	wg.Wait()
	late := 0
	for _, b := range w.backends {
		for _, r := range b.ran() {
			if at, ok := left[r.id]; ok && r.at.After(at.Add(500*time.Millisecond)) {
				late++
				w.log("backend %s got %s %.3f s after its client had left", b.id, r.id, r.at.Sub(at).Seconds())
			}
		}
	}
	w.log("%d clients left; %d of their requests reached a backend over 0.5 s later", len(left), late)
	if late > 4 {
		return fmt.Sprintf("GONE: %d requests reached a backend over 0.5 s after their clients had left", late)
	}
	return ""
}
