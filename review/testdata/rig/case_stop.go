package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { allCases["stop"] = plannedStop }

// Bounds of vigialar-gw-large.
const (
	largeGrace = 10 * time.Second
	// noExcuseAfter is how long after SIGTERM a request was sent at least that RULES.md no
	// longer excuses when its backend is still at work in the last sixth of the grace period.
	noExcuseAfter = 3 * time.Second
)

// plannedStop plays the planned stop of one VM: SIGTERM, and SIGKILL after grace_period_s.
// Clients that still have its address send to it until it takes no more connections.
func plannedStop(trouble bool) bool {
	const (
		usualWork = 1300 * time.Millisecond // work_ms.mean of compliance-report
		longWork  = 5300 * time.Millisecond // below its work_ms.max, 9700 ms
	)
	bootTemplate = strings.Replace(bootTemplate, "grace_period_s = 6", "grace_period_s = 10", 1)
	var mu sync.Mutex
	type run struct{ begins, ends, dropped time.Time }
	runs := make(map[string]*run)
	s := vigialarGW()
	s.vms = 3
	s.routes[3].Timeout, s.routes[3].Target = 12, 6
	d := deploy(s, func(b *backend) {
		b.work = func(r *http.Request) time.Duration {
			if strings.HasPrefix(r.Header.Get("Request-Id"), "long") {
				return longWork
			}
			return usualWork
		}
		b.observe = func(b *backend, event, id string, at time.Time) {
			logf("backend %s: %s %s", b.id, id, event)
			mu.Lock()
			defer mu.Unlock()
			r := runs[id]
			if r == nil {
				r = &run{}
				runs[id] = r
			}
			switch event {
			case "runs":
				r.begins = at
			case "ends":
				r.ends = at
			case "dropped":
				r.dropped = at
			}
		}
	})
	v := d.vms[1]
	var wg sync.WaitGroup
	var stopped time.Time
	lost := 0
	send := func(kind string) {
		q := request{id: newID(kind), method: "GET", host: host, path: "/report/2f", deadline: 25 * time.Second}
		wg.Go(func() {
			res := do(v, q)
			mu.Lock()
			defer mu.Unlock()
			r := runs[q.id]
			logf("%s at %s: status %d, whole %v, signature %q, err %v after %.3f s", q.id, v.name, res.status, res.whole, res.signature, res.err, res.took.Seconds())
			if r == nil || r.begins.IsZero() {
				return
			}
			complete := res.whole && res.signature != ""
			if complete || res.took >= 12*time.Second {
				return
			}
			after := res.sent.Sub(stopped)
			if trouble && after > noExcuseAfter && after < largeGrace+time.Second {
				lost++
				logf("LOST: %s was sent %.3f s after SIGTERM, a backend ran it, and the client got %d", q.id, after.Seconds(), res.status)
			}
		})
	}
	for range 20 {
		send("usual")
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	stopped = time.Now()
	if trouble {
		logf("SIGTERM for %s", v.name)
		v.signal(syscall.SIGTERM)
	}
	for time.Since(stopped) < 4400*time.Millisecond {
		kind := "usual"
		if time.Since(stopped) > 3100*time.Millisecond {
			kind = "long"
		}
		send(kind)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Until(stopped.Add(largeGrace)))
	if trouble {
		select {
		case <-v.exited:
			logf("%s has ended", v.name)
		default:
			logf("SIGKILL for %s", v.name)
			v.signal(syscall.SIGKILL)
		}
	}
	wg.Wait()
	if stopped.IsZero() {
		cannotRun("no stop")
	}
	logf("lost: %d", lost)
	fmt.Printf("lost: %d\n", lost)
	return lost > 0
}
