package main

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { allCases["truncate"] = truncatedAnswers }

// truncatedAnswers plays backends that break off a share of their answers and keep the
// connection open.
func truncatedAnswers(trouble bool) bool {
	const (
		duration = 30 * time.Second
		share    = 0.35
		x        = 0.02
	)
	var mu sync.Mutex
	broken := make(map[string]bool)
	perService := make(map[string]int)
	d := deploy(hrbitovniPlany(), func(b *backend) {
		perService[b.service]++
		b.work = func(*http.Request) time.Duration { return 290 * time.Millisecond }
		b.observe = func(b *backend, event, id string, at time.Time) { logf("backend %s: %s %s", b.id, id, event) }
		if !trouble || float64(perService[b.service]) > share*float64(6)+0.5 {
			return
		}
		b.answer = func(b *backend, c net.Conn, r *http.Request, id string, body []byte) bool {
			if rand.Float64() >= x*5 {
				return b.soundAnswer(c, id)
			}
			mu.Lock()
			broken[id] = true
			mu.Unlock()
			text := answerBody(id)
			_, err := c.Write([]byte(b.head(id, len(text)) + text[:len(text)/2]))
			logf("backend %s breaks off its answer to %s", b.id, id)
			return err == nil
		}
	})
	var wg sync.WaitGroup
	late, over := 0, 0
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		q := request{id: newID("fee"), method: "POST", host: host, path: "/fee/2f", body: []byte("fee=1"), deadline: 2 * time.Second}
		v := d.vms[rand.IntN(len(d.vms))]
		wg.Go(func() {
			res := do(v, q)
			logf("%s at %s: status %d whole %v err %v after %.3f s", q.id, v.name, res.status, res.whole, res.err, res.took.Seconds())
			mu.Lock()
			defer mu.Unlock()
			if res.took > 1200*time.Millisecond {
				over++
				if res.took > 1700*time.Millisecond {
					late++
				}
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	logf("requests longer than timeout_s: %d; without a final answer 0.5 s later: %d", over, late)
	return late >= 8 && 4*late > over
}
