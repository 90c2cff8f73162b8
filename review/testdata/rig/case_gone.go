package main

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { allCases["gone"] = clientsLeave }

// clientsLeave plays clients that send a body of 100 KiB, of which a share leaves before it
// is answered.
func clientsLeave(trouble bool) bool {
	const (
		duration = 60 * time.Second
		// share and leaveMost are within the doses of give_up in the site file.
		share     = 0.3
		leaveMost = 500 * time.Millisecond
		// perSecond is the rate of archive-index on the day scale-2.
		perSecond = 5.25
		work      = 880 * time.Millisecond
		// A burst of the kind of request lasts 6.2 s, and one begins every 12 s.
		burst       = 2.5
		burstLength = 6200 * time.Millisecond
		burstPeriod = 12 * time.Second
		// Requests that reach a backend later than this after their client has left count.
		allowed = 500 * time.Millisecond
		// few is how many of them break no rule.
		few = 3
	)
	var mu sync.Mutex
	left := make(map[string]time.Time)
	late, gone := 0, 0
	// lasting counts the requests that would have been at work for longer after their client
	// had left, and atWork those that were.
	lasting, atWork := 0, 0
	d := deploy(hrbitovniPlany(), func(b *backend) {
		b.noisy = true
		b.work = func(*http.Request) time.Duration {
			return time.Duration(float64(work) * math.Exp(0.3*rand.NormFloat64()))
		}
		b.observe = func(b *backend, event, id string, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			closed, ok := left[id]
			since := at.Sub(closed)
			if !ok {
				logf("backend %s: %s %s", b.id, id, event)
				return
			}
			logf("backend %s: %s %s, %.3f s after its client left", b.id, id, event, since.Seconds())
			if event == "arrives" && since > allowed {
				late++
			}
			switch event {
			case "ends", "dropped":
				if since > allowed {
					atWork++
				}
				if since > allowed || event == "dropped" {
					lasting++
				}
			}
		}
	})
	var wg sync.WaitGroup
	bodyBytes := 100 << 10
	if n, err := strconv.Atoi(os.Getenv("BODY")); err == nil {
		bodyBytes = n
	}
	body := make([]byte, bodyBytes)
	for begin := time.Now(); time.Since(begin) < duration; {
		rate := perSecond
		if time.Since(begin)%burstPeriod < burstLength {
			rate *= burst
		}
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
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
			gone++
			mu.Unlock()
			logf("the client of %s at %s has sent the request and leaves", q.id, v.name)
		})
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	result := fmt.Sprintf("clients that left: %d; requests that reached a backend over 0.5 s later: %d; of %d that would have lasted so long, backends were still at work on %d", gone, late, lasting, atWork)
	logf("%s", result)
	fmt.Println(result)
	return late > few || 4*atWork > lasting
}
