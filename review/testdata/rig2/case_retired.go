package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["retired"] = retired }

// retired moves a route to another service while requests wait for the first one, takes the
// first one out of the configuration, and lets its backends leave. It looks whether requests
// reach them later than drain_s after the store has acknowledged that they are draining.
func retired(w *world) string {
	const drain = 2 * time.Second
	for range 2 {
		w.startBackend("fecho", 2, 480*time.Millisecond)
	}
	for range 2 {
		w.startBackend("fecho-2", 2, 480*time.Millisecond)
	}
	old := w.backends[:2]
	r := route{name: "visit-close", host: "jepu9.example", prefix: "/puka111/", kind: "non_idempotent", service: "fecho",
		timeout: 4, target: 2.5, priority: 1, attempts: 2}
	w.putConfig([]route{r}, []string{"fecho", "fecho-2"})
	w.startVMs(2)
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			id := w.newID()
			c, err := net.DialTimeout("tcp", w.vms[i%2].front, time.Second)
			if err != nil {
				w.log("client %s: no connection", id)
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(8 * time.Second))
			w.log("client sends POST %s to %s", id, w.vms[i%2].name)
			fmt.Fprintf(c, "POST /puka111/2f HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: %s\r\nDeadline-Ms: 8000\r\nContent-Length: 4\r\n\r\nabcd", id)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				w.log("client %s: no answer: %v", id, err)
				return
			}
			_, err = io.Copy(io.Discard, response.Body)
			w.log("client %s: status %d, whole %v", id, response.StatusCode, err == nil)
		})
	}
	time.Sleep(300 * time.Millisecond)
	r.service = "fecho-2"
	services := []string{"fecho-2"}
	if !w.trouble {
		// The service stays declared, so that its backends are known to leave.
		services = []string{"fecho", "fecho-2"}
	}
	w.putConfig([]route{r}, services)
	time.Sleep(200 * time.Millisecond)
	acknowledged := make(map[string]time.Time)
	for _, b := range old {
		b.register("draining")
		acknowledged[b.id] = time.Now()
	}
	wg.Wait()
	late := 0
	for _, b := range old {
		for _, x := range b.ran() {
			if after := x.at.Sub(acknowledged[b.id]); after > drain {
				late++
				w.log("backend %s got %s %.3f s after the store had acknowledged that it is draining", b.id, x.id, after.Seconds())
			}
		}
	}
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached a backend later than drain_s after its leaving was acknowledged", late)
	}
	return ""
}
