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

// seen is what a caller saw of one keyed request.
type seen struct {
	key    string
	post   bool
	status int
	run    string
	// whole says that a sound body arrived, answered is the key in it.
	whole    bool
	answered string
}

func askKeyed(transport *http.Transport, r *http.Request, key string) seen {
	s := seen{key: key, post: r.Method == http.MethodPost}
	r.Header.Set("Idempotency-Key", key)
	response, err := transport.RoundTrip(r)
	if err != nil {
		return s
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	s.status, s.run = response.StatusCode, response.Header.Get("Daisy-Run")
	if err != nil {
		return s
	}
	var document struct{ Key string }
	if response.StatusCode == http.StatusOK && json.Unmarshal(body, &document) == nil {
		s.whole, s.answered = true, document.Key
	}
	return s
}

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

// TestFaultsTwoAtATime keeps two of four endpoints faulty, changes the faults
// under load, and checks what every caller was told against what ran.
func TestFaultsTwoAtATime(t *testing.T) {
	const callers, calls, seed = 16, 6, 1
	bothWays(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
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
		answers := make(chan seen, callers*calls)
		var ended sync.WaitGroup
		for c := range callers {
			transport := v.client(t, caller)
			ended.Go(func() {
				for i := range calls {
					r := newCall(t, http.MethodGet, nil)
					if (c+i)%2 == 0 {
						r = newCall(t, http.MethodPost, io.MultiReader(strings.NewReader("order")))
					}
					r.Header.Set("Daisy-Timeout", "150ms")
					answers <- askKeyed(transport, r, fmt.Sprintf("%d-%d", c, i))
				}
			})
		}
		done := make(chan struct{})
		go func() {
			ended.Wait()
			close(done)
		}()
		changeFaults(random, endpoints, done)
		close(answers)
		checkAnswers(t, endpoints, answers)
		waitFor(t, func() bool { return v.inFlight() == 0 })
	})
}

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

func checkAnswers(t *testing.T, endpoints []*daisystand.Endpoint, answers <-chan seen) {
	t.Helper()
	ran := make(map[string]int)
	for _, e := range endpoints {
		for k, n := range e.Ran().Keys {
			ran[k] += n
		}
	}
	whole := 0
	for a := range answers {
		assert.Check(t, !a.whole || a.answered == a.key, "the caller of %s got the answer to %s", a.key, a.answered)
		assert.Check(t, !a.post || ran[a.key] <= 1, "%s ran %d times", a.key, ran[a.key])
		assert.Check(t, a.run != "not-run" || ran[a.key] == 0, "%s ran after not-run", a.key)
		assert.Check(t, !a.whole || ran[a.key] > 0, "%s was answered but did not run", a.key)
		if a.whole {
			whole++
		}
	}
	assert.Check(t, whole > 0)
}

// TestAnswerNeverEndsCleanWhenCut breaks off after 50 chunks that look like a whole answer.
func TestAnswerNeverEndsCleanWhenCut(t *testing.T) {
	bothWays(t, func(t *testing.T, caller, protocol daisyservice.Protocol) {
		transport := startPair(t, caller, protocol, func(w http.ResponseWriter, _ *http.Request) {
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
