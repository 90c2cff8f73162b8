package daisyforward_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisystand"
)

// observation is what a caller observed of one request with an idempotency key.
type observation struct {
	key    string
	post   bool
	status int
	run    string
	// complete reports whether a complete, valid body arrived; answeredKey is the key in it.
	complete    bool
	answeredKey string
}

// roundTripWithKey sends r with the given idempotency key.
func roundTripWithKey(transport *http.Transport, r *http.Request, key string) observation {
	o := observation{key: key, post: r.Method == http.MethodPost}
	r.Header.Set("Idempotency-Key", key)
	response, err := transport.RoundTrip(r)
	if err != nil {
		return o
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	o.status, o.run = response.StatusCode, response.Header.Get("Daisy-Run")
	if err != nil {
		return o
	}
	var document struct{ Key string }
	if response.StatusCode == http.StatusOK && json.Unmarshal(body, &document) == nil {
		o.complete, o.answeredKey = true, document.Key
	}
	return o
}

// faultTable lists the faults that changeFaults chooses from.
var faultTable = []daisystand.Faults{
	{},
	{Slow: 10},
	{FailFast: true},
	{ShedAll: true},
	{Break: daisystand.BreakBeforeHeader},
	{Break: daisystand.BreakAfterHeader},
	{Break: daisystand.BreakMidBody},
	{Freeze: true},
	{Draining: true},
}

// TestResponsesWithTwoFaultyEndpoints changes the faults of two out of four endpoints
// under load and compares what each caller observed with what the endpoints ran. It
// guards against responses to the wrong caller, requests that run twice, and
// requests that ran although the caller was told that they did not.
func TestResponsesWithTwoFaultyEndpoints(t *testing.T) {
	const callers, calls, seed = 16, 6, 1
	forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		random := rand.New(rand.NewPCG(seed, 0))
		var endpoints []*daisystand.Endpoint
		var addresses []netip.AddrPort
		for range 4 {
			e := daisystand.NewEndpoint(daisystand.EndpointOptions{Slots: 4, Queue: 2, ServiceTime: time.Millisecond, AnswerSize: 3000})
			endpoints = append(endpoints, e)
			addresses = append(addresses, startEndpoint(t, e))
		}
		s := newSettings(addresses...)
		s.protocol = protocol
		s.slots = 4
		v := startVM(t, s)
		observations := make(chan observation, callers*calls)
		var wg sync.WaitGroup
		for c := range callers {
			transport := v.client(t, caller)
			wg.Go(func() {
				for i := range calls {
					r := newCall(t, http.MethodGet, nil)
					if (c+i)%2 == 0 {
						r = newCall(t, http.MethodPost, io.MultiReader(strings.NewReader("order")))
					}
					r.Header.Set("Daisy-Timeout", "150ms")
					observations <- roundTripWithKey(transport, r, fmt.Sprintf("%d-%d", c, i))
				}
			})
		}
		done := make(chan struct{})
		go func() {
			wg.Wait()
			close(done)
		}()
		changeFaults(random, endpoints, done)
		close(observations)
		checkObservations(t, endpoints, observations)
		waitFor(t, func() bool { return v.inFlight() == 0 })
	})
}

// changeFaults gives two random endpoints a random fault every 10 ms until done is
// closed, and then removes all faults.
func changeFaults(random *rand.Rand, endpoints []*daisystand.Endpoint, done <-chan struct{}) {
	for {
		for i, e := range random.Perm(len(endpoints)) {
			f := daisystand.Faults{}
			if i < 2 {
				f = faultTable[random.IntN(len(faultTable))]
			}
			endpoints[e].SetFaults(f)
		}
		select {
		case <-done:
			for _, e := range endpoints {
				e.SetFaults(daisystand.Faults{})
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// checkObservations compares what callers observed with what the endpoints ran.
func checkObservations(t *testing.T, endpoints []*daisystand.Endpoint, observations <-chan observation) {
	t.Helper()
	ran := make(map[string]int)
	for _, e := range endpoints {
		for k, n := range e.Ran().Keys {
			ran[k] += n
		}
	}
	complete := 0
	for o := range observations {
		assert.Check(t, !o.complete || o.answeredKey == o.key, "the caller of %s got the response to %s", o.key, o.answeredKey)
		assert.Check(t, !o.post || ran[o.key] <= 1, "%s ran %d times", o.key, ran[o.key])
		assert.Check(t, o.run != "not-run" || ran[o.key] == 0, "%s ran although the response said not-run", o.key)
		assert.Check(t, !o.complete || ran[o.key] > 0, "%s got a response but did not run", o.key)
		if o.complete {
			complete++
		}
	}
	assert.Check(t, complete > 0)
}

// TestTruncatedResponseFailsAtCaller checks that a caller gets an error if the endpoint
// breaks off a response of unknown length after 50 writes: without the error, the
// part that arrived would look like a complete response.
func TestTruncatedResponseFailsAtCaller(t *testing.T) {
	forEachProtocolPair(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		transport := startVMAndEndpoint(t, caller, protocol, func(w http.ResponseWriter, _ *http.Request) {
			for range 50 {
				_, _ = io.WriteString(w, strings.Repeat("x", 10_000))
			}
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		response, err := transport.RoundTrip(newCall(t, http.MethodPost, nil))
		if err != nil {
			return
		}
		_, err = io.ReadAll(response.Body)
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF), "%v", err)
	})
}
