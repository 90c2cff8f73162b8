// Package daisystand holds stand-ins for what daisyyoke talks to: endpoints and the platform's service.
package daisystand

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"daisyyoke/core/daisyerror"
)

// EndpointOptions are the settings of an Endpoint.
type EndpointOptions struct {
	// Slots is the number of requests worked on at a time.
	Slots int
	// Queue is the number of requests that wait for a slot; the next are shed.
	Queue int
	// ServiceTime is how long one request takes.
	ServiceTime time.Duration
	// AnswerSize is the least size of an answer's body in bytes.
	AnswerSize int
}

func (o EndpointOptions) validate() error {
	if o.Slots < 1 {
		return daisyerror.InvalidSetting.New("--slots %d: want at least 1", o.Slots)
	}
	if o.Queue < 0 {
		return daisyerror.InvalidSetting.New("--queue %d: want at least 0", o.Queue)
	}
	if o.ServiceTime < 0 {
		return daisyerror.InvalidSetting.New("--service-time %v: want at least 0s", o.ServiceTime)
	}
	if o.AnswerSize < 0 {
		return daisyerror.InvalidSetting.New("--answer-size %d: want at least 0", o.AnswerSize)
	}
	return nil
}

// Endpoint is the handler of a stand-in endpoint. It counts what it ran and can
// be given faults while it runs. It is safe for concurrent use.
type Endpoint struct {
	options EndpointOptions
	slots   chan struct{}

	mu       sync.Mutex
	faults   Faults
	changed  chan struct{}
	waiting  int
	inFlight int
	ran      Ran
}

// Ran counts what an endpoint did.
type Ran struct {
	// Total counts the requests that were run.
	Total int
	// Shed counts the requests that were refused without being run.
	Shed int
	// Canceled counts the runs that their caller gave up.
	Canceled int
	// Keys counts the runs by Idempotency-Key, or X-Request-Id in its absence.
	Keys map[string]int
}

// NewEndpoint gives an endpoint without faults.
func NewEndpoint(options EndpointOptions) *Endpoint {
	return &Endpoint{
		options: options,
		slots:   make(chan struct{}, max(options.Slots, 1)),
		changed: make(chan struct{}),
		ran:     Ran{Keys: make(map[string]int)},
	}
}

// SetFaults puts faults in force for running and new requests.
func (e *Endpoint) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	close(e.changed)
	e.changed = make(chan struct{})
}

// Ran gives what the endpoint did so far.
func (e *Endpoint) Ran() Ran {
	e.mu.Lock()
	defer e.mu.Unlock()
	ran := e.ran
	ran.Keys = make(map[string]int, len(e.ran.Keys))
	for k, n := range e.ran.Keys {
		ran.Keys[k] = n
	}
	return ran
}

// ServeHTTP answers the load probe, the stand-in's own paths, and runs everything else.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case loadPath:
		e.serveLoad(w, r)
	case ranPath:
		e.serveRan(w)
	case faultsPath:
		e.serveFaults(w, r)
	default:
		e.serveWork(w, r)
	}
}

func (e *Endpoint) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !e.thaw(r) {
		panic(http.ErrAbortHandler)
	}
	e.setLoad(w)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Endpoint) serveWork(w http.ResponseWriter, r *http.Request) {
	if !e.thaw(r) {
		panic(http.ErrAbortHandler)
	}
	faults := e.currentFaults()
	if faults.FailFast {
		e.setLoad(w)
		http.Error(w, "fail-fast", http.StatusInternalServerError)
		return
	}
	if faults.ShedAll || !e.enter(r) {
		e.shed(w)
		return
	}
	defer e.leave()
	e.count(r)
	if faults.Break == BreakBeforeHeader {
		panic(http.ErrAbortHandler)
	}
	if !e.work(r) {
		e.countCanceled()
		panic(http.ErrAbortHandler)
	}
	e.answer(w, r, faults)
}

// enter takes a slot, waiting in the queue when there is room. It reports false for a request to be shed.
func (e *Endpoint) enter(r *http.Request) bool {
	select {
	case e.slots <- struct{}{}:
		e.change(&e.inFlight, 1)
		return true
	default:
	}
	e.mu.Lock()
	if e.waiting >= e.options.Queue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	defer e.change(&e.waiting, -1)
	select {
	case e.slots <- struct{}{}:
		e.change(&e.inFlight, 1)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Endpoint) leave() {
	e.change(&e.inFlight, -1)
	<-e.slots
}

func (e *Endpoint) change(count *int, by int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*count += by
}

func (e *Endpoint) shed(w http.ResponseWriter) {
	e.change(&e.ran.Shed, 1)
	e.setLoad(w)
	w.Header().Set("Daisy-Run", "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (e *Endpoint) count(r *http.Request) {
	key := requestKey(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran.Total++
	if key != "" {
		e.ran.Keys[key]++
	}
}

func (e *Endpoint) countCanceled() { e.change(&e.ran.Canceled, 1) }

func requestKey(r *http.Request) string {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return r.Header.Get("X-Request-Id")
}

// work takes the service time. It reports false when the caller has gone.
func (e *Endpoint) work(r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	took := e.options.ServiceTime
	if slow := e.currentFaults().Slow; slow > 0 {
		took = time.Duration(float64(took) * slow)
	}
	if took == 0 {
		return true
	}
	t := time.NewTimer(took)
	defer t.Stop()
	select {
	case <-t.C:
		return e.thaw(r)
	case <-r.Context().Done():
		return false
	}
}

func (e *Endpoint) setLoad(w http.ResponseWriter) {
	e.mu.Lock()
	inFlight, draining := e.inFlight, e.faults.Draining
	e.mu.Unlock()
	flag := "?0"
	if draining {
		flag = "?1"
	}
	w.Header().Set("Daisy-Load", "in-flight="+strconv.Itoa(inFlight)+", slots="+strconv.Itoa(e.options.Slots)+", draining="+flag)
}
