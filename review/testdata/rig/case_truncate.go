package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { allCases["truncate"] = truncatedAnswers }

// truncatedAnswers plays backends that stop in the middle of some of their answers and keep
// the connection open.
func truncatedAnswers(trouble bool) bool {
	const (
		duration = 80 * time.Second
		// broken is the share of the answers of every second backend.
		broken = 0.02
		// perSecond is the rate of licence-fee on the day scale-2, and timeout its timeout_s.
		perSecond = 9.55
		timeout   = 1200 * time.Millisecond
		allowed   = 500 * time.Millisecond
		work      = 290 * time.Millisecond
		// least is how many requests have to last longer than the timeout.
		least = 3
	)
	numbers := make(map[string]int)
	s := hrbitovniPlany()
	d := deploy(s, func(b *backend) {
		b.work = func(*http.Request) time.Duration {
			return time.Duration(float64(work) * (0.7 + 0.6*rand.Float64()))
		}
		b.observe = func(b *backend, event, id string, at time.Time) { logf("backend %s: %s %s", b.id, id, event) }
		numbers[b.service]++
		if !trouble || numbers[b.service]%2 == 0 {
			return
		}
		b.answer = func(b *backend, c net.Conn, r *http.Request, id string, body []byte) bool {
			if rand.Float64() >= broken {
				return b.soundAnswer(c, id)
			}
			text := answerBody(id)
			logf("backend %s: %s is answered in part", b.id, id)
			_, err := io.WriteString(c, b.head(id, len(text))+text[:len(text)/2])
			return err == nil
		}
	})
	var mu sync.Mutex
	over, late := 0, 0
	var wg sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		q := request{id: newID("fee"), method: "POST", host: host, path: "/fee/2f", body: []byte("fee=1"), deadline: 2 * time.Second}
		v := d.vms[rand.IntN(len(d.vms))]
		wg.Go(func() {
			res := do(v, q)
			logf("%s at %s: status %d, whole %v, err %v after %.3f s", q.id, v.name, res.status, res.whole, res.err, res.took.Seconds())
			mu.Lock()
			defer mu.Unlock()
			if res.took > timeout {
				over++
			}
			if res.took > timeout+allowed {
				late++
			}
		})
	}
	wg.Wait()
	result := fmt.Sprintf("requests unanswered at timeout_s: %d; half a second later: %d", over, late)
	logf("%s", result)
	fmt.Println(result)
	return over >= least && 2*late > over
}
