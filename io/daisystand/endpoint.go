// Package daisystand provides simulated endpoints and a simulated platform service, both
// with fault injection, for tests and trials of daisyyoke.
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
	// Slots is the number of requests that are run concurrently.
	Slots int
	// Queue is the number of requests that may wait for a slot; further ones are shed.
	Queue int
	// ServiceTime is the time that a request occupies its slot.
	ServiceTime time.Duration
	// AnswerSize is the minimum size of a response body in bytes.
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

// Endpoint is the handler of a simulated endpoint. It counts the requests that it runs,
// and its faults can be changed at run time. It is safe for concurrent use.
type Endpoint struct {
	options EndpointOptions
	slots   chan struct{}

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	waiting       int
	inFlight      int
	counts        Counts
}

// Counts are the requests that an endpoint has handled.
type Counts struct {
	// Total counts the requests that were run.
	Total int
	// Limited counts the requests and probes that arrived while a rate limit was named.
	Limited int
	// Shed counts the requests that were refused without being run.
	Shed int
	// Canceled counts the requests that their caller canceled while they ran.
	Canceled int
	// Keys counts the runs per Idempotency-Key, or per X-Request-Id in its absence.
	Keys map[string]int
}

// NewEndpoint returns an endpoint without faults.
func NewEndpoint(options EndpointOptions) *Endpoint {
	return &Endpoint{
		options:       options,
		slots:         make(chan struct{}, max(options.Slots, 1)),
		faultsChanged: make(chan struct{}),
		counts:        Counts{Keys: make(map[string]int)},
	}
}

// SetFaults replaces the faults, for running and for new requests.
func (e *Endpoint) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
}

// Ran returns a copy of the counts so far.
func (e *Endpoint) Ran() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := e.counts
	counts.Keys = make(map[string]int, len(e.counts.Keys))
	for k, n := range e.counts.Keys {
		counts.Keys[k] = n
	}
	return counts
}

// ServeHTTP serves load probes and the paths that control the simulation, and runs all
// other requests.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != countsPath && r.URL.Path != faultsPath {
		e.countLimited()
	}
	if attempt := r.Header.Get("Daisy-Attempt"); attempt != "" {
		w.Header().Set("Daisy-Attempt", attempt)
	}
	switch r.URL.Path {
	case loadPath:
		e.serveLoad(w, r)
	case countsPath:
		e.serveCounts(w)
	case faultsPath:
		e.serveFaults(w, r)
	default:
		e.serveRequest(w, r)
	}
}

func (e *Endpoint) serveLoad(w http.ResponseWriter, r *http.Request) {
	if !e.waitUnfrozen(r) {
		panic(http.ErrAbortHandler)
	}
	if faults := e.currentFaults(); faults.ShedAll && faults.Pause > 0 {
		e.writeShed(w)
		return
	}
	e.setLoadHeader(w)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Endpoint) serveRequest(w http.ResponseWriter, r *http.Request) {
	if !e.waitUnfrozen(r) {
		panic(http.ErrAbortHandler)
	}
	faults := e.currentFaults()
	if faults.FailFast {
		e.setLoadHeader(w)
		http.Error(w, "fail-fast", http.StatusInternalServerError)
		return
	}
	if faults.ShedAll || !e.acquireSlot(r) {
		e.writeShed(w)
		return
	}
	defer e.releaseSlot()
	e.countRun(r)
	if faults.Break == BreakBeforeHeader {
		panic(http.ErrAbortHandler)
	}
	if !e.simulateWork(r) {
		e.countCanceled()
		panic(http.ErrAbortHandler)
	}
	e.writeResponse(w, r, faults)
}

// acquireSlot takes a slot, waiting in the queue if it has room. It reports whether the
// request got a slot; if not, the request is to be shed.
func (e *Endpoint) acquireSlot(r *http.Request) bool {
	select {
	case e.slots <- struct{}{}:
		e.add(&e.inFlight, 1)
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
	defer e.add(&e.waiting, -1)
	select {
	case e.slots <- struct{}{}:
		e.add(&e.inFlight, 1)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Endpoint) releaseSlot() {
	e.add(&e.inFlight, -1)
	<-e.slots
}

func (e *Endpoint) add(count *int, delta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*count += delta
}

func (e *Endpoint) writeShed(w http.ResponseWriter) {
	e.add(&e.counts.Shed, 1)
	e.setLoadHeader(w)
	if pause := e.currentFaults().Pause; pause > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
	}
	w.Header().Set("Daisy-Run", "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (e *Endpoint) countRun(r *http.Request) {
	key := requestKey(r)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Total++
	if key != "" {
		e.counts.Keys[key]++
	}
}

// countLimited counts a request or probe that arrives while a rate limit is named.
func (e *Endpoint) countLimited() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.RateLimit > 0 {
		e.counts.Limited++
	}
}

func (e *Endpoint) countCanceled() { e.add(&e.counts.Canceled, 1) }

func requestKey(r *http.Request) string {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return r.Header.Get("X-Request-Id")
}

// simulateWork waits for the service time. It reports false if the caller canceled the
// request.
func (e *Endpoint) simulateWork(r *http.Request) bool {
	_, _ = io.Copy(io.Discard, r.Body)
	serviceTime := e.options.ServiceTime
	if slow := e.currentFaults().Slow; slow > 0 {
		serviceTime = time.Duration(float64(serviceTime) * slow)
	}
	if serviceTime == 0 {
		return true
	}
	t := time.NewTimer(serviceTime)
	defer t.Stop()
	select {
	case <-t.C:
		return e.waitUnfrozen(r)
	case <-r.Context().Done():
		return false
	}
}

func (e *Endpoint) setLoadHeader(w http.ResponseWriter) {
	e.mu.Lock()
	inFlight, draining, leaving, rateLimit := e.inFlight, e.faults.Draining, e.faults.Leaving, e.faults.RateLimit
	e.mu.Unlock()
	flag := "?0"
	if draining {
		flag = "?1"
	}
	load := "in-flight=" + strconv.Itoa(inFlight) + ", slots=" + strconv.Itoa(e.options.Slots) + ", draining=" + flag
	if leaving {
		load += ", leaving=?1"
	}
	if rateLimit > 0 {
		load += ", rate-limit=" + strconv.FormatFloat(rateLimit, 'f', 3, 64)
	}
	w.Header().Set("Daisy-Load", load)
}
