package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { allCases["entries"] = oddEntries }

// oddEntries plays a final fault, all processes are killed, and another writer whose entries
// lack a field.
func oddEntries(trouble bool) bool {
	const (
		before   = 8 * time.Second
		after    = 10 * time.Second
		down     = 1400 * time.Millisecond // closing of the site's day trouble-1
		recovery = 15 * time.Second        // recovery_s
	)
	s := hrbitovniPlany()
	d := deploy(s, func(b *backend) {
		b.work = func(*http.Request) time.Duration { return 150 * time.Millisecond }
		b.observe = func(b *backend, event, id string, at time.Time) { logf("backend %s: %s %s", b.id, id, event) }
	})
	// traffic sends requests of all kinds for a while, and returns the share that is served.
	traffic := func(when string, duration time.Duration) float64 {
		var wg sync.WaitGroup
		var mu sync.Mutex
		sent, served := 0, 0
		kinds := []request{
			{method: "GET", path: "/plan/2f", deadline: 1500 * time.Millisecond},
			{method: "POST", path: "/fee/2f", body: []byte("fee=1"), deadline: 2 * time.Second},
			{method: "PUT", path: "/order/2f", body: []byte("order=1"), deadline: 1200 * time.Millisecond},
			{method: "GET", path: "/index/2f", deadline: 6 * time.Second},
		}
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
			q := kinds[sent%len(kinds)]
			q.id, q.host = newID(when), host
			sent++
			v := d.vms[rand.IntN(len(d.vms))]
			wg.Go(func() {
				res := do(v, q)
				logf("%s %s at %s: status %d, whole %v, err %v after %.3f s", q.id, q.path, v.name, res.status, res.whole, res.err, res.took.Seconds())
				if res.status == http.StatusOK && res.whole && res.signature != "" {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		logf("%s: %d of %d requests were served", when, served, sent)
		return float64(served) / float64(sent)
	}
	shareBefore := traffic("before", before)
	for _, v := range d.vms {
		logf("SIGKILL for %s", v.name)
		v.signal(syscall.SIGKILL)
	}
	for _, v := range d.vms {
		<-v.exited
	}
	if trouble {
		for i, b := range d.backends {
			entry := b.registration()
			delete(entry, "version")
			key := fmt.Sprintf("other-%02d", i)
			d.store.put("servers", key, entry)
			logf("another writer: entry %s without version: %v", key, entry)
		}
	}
	time.Sleep(down)
	for _, v := range d.vms {
		v.startAgain()
	}
	awaitReady(d.vms)
	logf("the machines are back")
	time.Sleep(recovery)
	shareAfter := traffic("after", after)
	result := fmt.Sprintf("served before the final fault: %.2f; later than recovery_s after it: %.2f", shareBefore, shareAfter)
	logf("%s", result)
	fmt.Println(result)
	return shareBefore >= 0.25 && shareAfter < 0.25
}

// startAgain starts a process that was killed, with the settings of a later start.
func (v *vm) startAgain() {
	data, err := os.ReadFile(v.settings)
	if err != nil {
		cannotRun("settings: %v", err)
	}
	text := strings.Replace(string(data), "first_start = true", "first_start = false", 1)
	if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	v.mu.Lock()
	v.expected = false
	v.mu.Unlock()
	v.start()
}
