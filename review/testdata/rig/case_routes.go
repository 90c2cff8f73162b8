package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { allCases["routes"] = routesRemoved }

// routesRemoved plays an operator who removes all routes and adds them again, in quick
// succession, under the usual traffic.
func routesRemoved(trouble bool) bool {
	const (
		calm = 4 * time.Second
		// The operator removes the routes every 2 s and adds them again 0.5 s later, which is
		// slower than the site's config_storm (a change each 0.33 s).
		removals = 45
		period   = 2 * time.Second
		without  = 500 * time.Millisecond
		// enough is the number of lost requests after which the case ends.
		enough = 10
		// settled is config_propagation_s and 1 s.
		settled = 3 * time.Second
		idle    = 12 * time.Second
	)
	s := hrbitovniPlanyGrown()
	var mu sync.Mutex
	running := make(map[string]bool)
	d := deploy(s, func(b *backend) {
		b.work = func(r *http.Request) time.Duration {
			return time.Duration(float64(workOf(r.URL.Path)) * (0.7 + 0.6*rand.Float64()))
		}
		b.observe = func(b *backend, event, id string, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			if event == "runs" {
				running[id] = true
			}
			logf("backend %s: %s %s", b.id, id, event)
		}
	})
	var wg sync.WaitGroup
	begin := time.Now()
	first, last := begin.Add(calm), begin.Add(calm+removals*period)
	end := last.Add(settled + calm)
	shown := make(chan struct{})
	goesOn := func() bool {
		select {
		case <-shown:
			return false
		default:
			return time.Now().Before(end)
		}
	}
	wg.Go(func() {
		for i := range removals {
			time.Sleep(time.Until(first.Add(time.Duration(i) * period)))
			if !goesOn() {
				return
			}
			if trouble {
				d.store.put("op", "config", s.configuration(10+2*i, []route{}))
				logf("operator: r%d without routes is acknowledged", 10+2*i)
			}
			time.Sleep(without)
			d.store.put("op", "config", s.configuration(11+2*i, s.routes))
			logf("operator: r%d with all routes is acknowledged", 11+2*i)
		}
	})
	lost, lostKept, lostAtOtherTimes := 0, 0, 0
	for _, c := range []struct {
		method, path string
		perSecond    float64
		deadline     time.Duration
	}{{"GET", "/plan/2f", 396, 1500 * time.Millisecond}, {"POST", "/fee/2f", 139, 2 * time.Second}, {"PUT", "/order/2f", 125, 1200 * time.Millisecond}, {"GET", "/index/2f", 76.4, 6 * time.Second}} {
		for _, v := range d.vms {
			// Each of 40 clients has a connection of its own, which it keeps.
			const clients = 40
			pause := time.Duration(clients * float64(len(d.vms)) / c.perSecond * float64(time.Second))
			for range clients {
				wg.Go(func() {
					k := &keptConnection{vm: v, idle: idle}
					defer k.close()
					time.Sleep(time.Duration(rand.Int64N(int64(pause))))
					for next := time.Now(); goesOn() && next.Before(end); {
						q := request{id: newID(c.path[1:4]), method: c.method, host: host, path: c.path, deadline: c.deadline}
						if c.method != "GET" {
							q.body = []byte("order=1")
						}
						kept, sent := k.used(), time.Now()
						status, err := k.do(q)
						cut := time.Now()
						took := cut.Sub(sent)
						logf("%s at %s: status %d, err %v after %.3f s", q.id, v.name, status, err, took.Seconds())
						mu.Lock()
						if err != nil && !isTimeout(err) && running[q.id] && took < q.deadline*7/10 {
							logf("LOST: %s, kept connection %v, a backend ran it, and the connection closed after %.3f s: %v", q.id, kept, took.Seconds(), err)
							if kept {
								lostKept++
							}
							if cut.After(first) && cut.Before(last.Add(settled)) {
								if lost++; lost == enough {
									close(shown)
								}
							} else {
								lostAtOtherTimes++
							}
						}
						mu.Unlock()
						next = next.Add(pause)
						if time.Now().After(next) {
							next = time.Now()
						}
						time.Sleep(time.Until(next))
					}
				})
			}
		}
	}
	wg.Wait()
	ended := 0
	for _, v := range d.vms {
		v.mu.Lock()
		ended += len(v.exits)
		v.mu.Unlock()
	}
	result := fmt.Sprintf("processes that ended by themselves: %d; requests lost around a configuration: %d, at other times: %d; on kept connections: %d", ended, lost, lostAtOtherTimes, lostKept)
	logf("%s", result)
	fmt.Println(result)
	return lost > 0 && lostAtOtherTimes == 0 || lostKept > 3
}

// workOf returns the mean work of a kind of request of hrbitovni-plany-grown.
func workOf(path string) time.Duration {
	switch path[:3] {
	case "/pl":
		return 220 * time.Millisecond
	case "/fe":
		return 290 * time.Millisecond
	case "/or":
		return 150 * time.Millisecond
	}
	return 880 * time.Millisecond
}

// keptConnection is a client's connection, which it uses again until it is closed.
type keptConnection struct {
	vm   *vm
	idle time.Duration
	conn net.Conn
	in   *bufio.Reader
	last time.Time
}

func (k *keptConnection) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

func (k *keptConnection) used() bool { return k.conn != nil }

// do sends a request and returns the status of its whole answer.
func (k *keptConnection) do(q request) (status int, err error) {
	if k.conn != nil && time.Since(k.last) > k.idle {
		k.close()
	}
	if k.conn == nil {
		c, err := k.vm.dial()
		if err != nil {
			return 0, err
		}
		k.conn, k.in = c, bufio.NewReader(c)
	}
	defer func() {
		if err != nil {
			k.close()
		}
	}()
	_ = k.conn.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(k.conn, q.head()+string(q.body)); err != nil {
		return 0, err
	}
	r, err := http.ReadResponse(k.in, &http.Request{Method: q.method})
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return r.StatusCode, err
	}
	k.last = time.Now()
	if r.Close {
		k.close()
	}
	return r.StatusCode, nil
}
