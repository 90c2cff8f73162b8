package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { allCases["gone"] = clientsLeave }

// clientsLeave plays clients that send a body of 100 KiB, of which a share leaves before it
// is answered.
func clientsLeave(trouble bool) bool {
	const (
		duration  = 40 * time.Second
		share     = 0.3
		leaveMost = 500 * time.Millisecond
		work      = 2000 * time.Millisecond
		bodyBytes = 100 << 10
	)
	var mu sync.Mutex
	left := make(map[string]time.Time)
	lateArrivals, lasting, atWork := 0, 0, 0
	d := deploy(hrbitovniPlany(), func(b *backend) {
		b.work = func(*http.Request) time.Duration { return time.Duration(float64(work) * (0.8 + 0.4*rand.Float64())) }
		b.observe = func(b *backend, event, id string, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			gone, ok := left[id]
			since := at.Sub(gone)
			if !ok {
				logf("backend %s: %s %s", b.id, id, event)
				return
			}
			logf("backend %s: %s %s, %.3f s after its client left", b.id, id, event, since.Seconds())
			if event == "arrives" && since > 500*time.Millisecond {
				lateArrivals++
			}
		}
	})
	var wg sync.WaitGroup
	body := make([]byte, bodyBytes)
	left0 := 0
	rate := 3.83 * 2.5 // archive-index, with a burst
	pause := time.Duration(float64(time.Second) / rate)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(pause) {
		q := request{id: newID("index"), method: "POST", host: host, path: "/index/2f", body: body, deadline: 6 * time.Second}
		v := d.vms[rand.IntN(len(d.vms))]
		leaves := trouble && rand.Float64() < share
		wg.Go(func() {
			if !leaves {
				res := do(v, q)
				logf("%s at %s: status %d, whole %v, err %v after %.3f s", q.id, v.name, res.status, res.whole, res.err, res.took.Seconds())
				return
			}
			c, err := v.dial()
			if err != nil {
				logf("%s at %s: no connection", q.id, v.name)
				return
			}
			_, _ = io.WriteString(c, q.head())
			_, _ = c.Write(q.body)
			time.Sleep(time.Duration(rand.Int64N(int64(leaveMost))))
			_ = c.Close()
			mu.Lock()
			left[q.id] = time.Now()
			left0++
			mu.Unlock()
			logf("the client of %s at %s has sent the request and leaves", q.id, v.name)
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	_, _ = lasting, atWork
	logf("clients that left: %d; requests that reached a backend over 0.5 s after their client had left: %d", left0, lateArrivals)
	fmt.Printf("clients that left: %d, late arrivals: %d\n", left0, lateArrivals)
	return lateArrivals > 3
}
