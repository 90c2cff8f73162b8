package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["deadlock"] = deadlock }

// deadlock lets clients send two idempotent requests each, at once on one connection: one of
// a low rank, and behind it one of a high rank with a large answer. All slots together could
// run them in a fraction of the time that the routes allow.
func deadlock(w *world) string {
	const (
		bursts, clients         = 4, 16
		lowTimeout, highTimeout = 4 * time.Second, 2500 * time.Millisecond
		largeBytes, smallBytes  = 540_000, 400
	)
	for range 2 {
		b := w.startBackend("arquivo-dossies", 2, 200*time.Millisecond)
		b.answer = func(b *backend, c net.Conn, r *http.Request, _ []byte, id string) bool {
			time.Sleep(b.work)
			size := smallBytes
			if strings.HasPrefix(r.RequestURI, "/dossie/") {
				size = largeBytes
			}
			body := bodyOf(id, size)
			_, err := fmt.Fprintf(c, "%s%s", b.head(id, fmt.Sprintf("Content-Length: %d\r\n", len(body))), body)
			b.w.log("backend %s has sent the answer to %s", b.id, id)
			return err == nil
		}
	}
	w.putConfig([]route{
		{name: "indice", host: "hulo84.example", prefix: "/indice/", kind: "idempotent", service: "arquivo-dossies",
			timeout: lowTimeout.Seconds(), target: 2.5, priority: 2, attempts: 2},
		{name: "baixa-dossie", host: "hulo84.example", prefix: "/dossie/", kind: "download", service: "arquivo-dossies",
			timeout: highTimeout.Seconds(), target: 1, priority: 0, attempts: 2},
	}, []string{"arquivo-dossies"})
	w.startVMs(2)
	var mu sync.Mutex
	var wg sync.WaitGroup
	unanswered, still, served := 0, 0, 0
	for i := range bursts * clients {
		if i > 0 && i%clients == 0 {
			time.Sleep(6 * time.Second)
		}
		wg.Go(func() {
			ids := []string{w.newID(), w.newID()}
			groups := [][]string{ids}
			if !w.trouble {
				// The same requests, each on a connection of its own.
				groups = [][]string{ids[:1], ids[1:]}
			}
			var answers sync.WaitGroup
			for _, group := range groups {
				answers.Go(func() {
					c, err := net.DialTimeout("tcp", w.vms[i%2].front, time.Second)
					if err != nil {
						w.fatal("no connection to %s", w.vms[i%2].name)
					}
					defer func() { _ = c.Close() }()
					sent := time.Now()
					_ = c.SetDeadline(sent.Add(8 * time.Second))
					var text strings.Builder
					for _, id := range group {
						path := "/indice/2f"
						if id == ids[1] {
							path = "/dossie/2f"
						}
						w.log("client sends GET %s %s to %s", path, id, w.vms[i%2].name)
						fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: hulo84.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\n\r\n", path, id)
					}
					_, _ = io.WriteString(c, text.String())
					reader := bufio.NewReader(c)
					for _, id := range group {
						status, size := 0, int64(0)
						if response, err := http.ReadResponse(reader, nil); err == nil {
							status = response.StatusCode
							size, _ = io.Copy(io.Discard, response.Body)
						}
						took, timeout := time.Since(sent), lowTimeout
						if id == ids[1] {
							timeout = highTimeout
						}
						w.log("client: %s has status %d with %d bytes after %v (timeout_s %v)", id, status, size, took.Round(time.Millisecond), timeout.Seconds())
						mu.Lock()
						if status == 200 {
							served++
						}
						if took > timeout {
							unanswered++
						}
						if took > timeout+500*time.Millisecond {
							still++
						}
						mu.Unlock()
					}
				})
			}
			answers.Wait()
		})
	}
	wg.Wait()
	w.log("%d of %d requests were served; %d were unanswered at timeout_s, %d of them 0.5 s later", served, 2*bursts*clients, unanswered, still)
	if still >= 8 && 2*still > unanswered {
		return fmt.Sprintf("CONFIG: %d of %d requests that were unanswered at timeout_s had no answer 0.5 s later; %d of %d were served", still, unanswered, served, 2*bursts*clients)
	}
	return ""
}
