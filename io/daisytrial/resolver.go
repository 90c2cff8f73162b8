package daisytrial

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"daisyyoke/core/daisyerror"
)

const (
	addressesPath = "/.well-known/daisyyoke/addresses"
	// resolveTimeout bounds one question for addresses.
	resolveTimeout = time.Second
)

type addressesDocument struct {
	Addresses []struct {
		Address netip.AddrPort `json:"address"`
	} `json:"addresses"`
	KeepFor string `json:"keep-for"`
}

// Resolver asks the system which addresses to use and keeps the answer as long as it says.
type Resolver struct {
	client *http.Client
	seeds  []netip.AddrPort

	mu      sync.Mutex
	random  *rand.Rand
	answer  []netip.AddrPort
	expires time.Time
}

// NewResolver gives a resolver that asks any of the seeds first.
func NewResolver(client *http.Client, seed uint64, seeds ...netip.AddrPort) *Resolver {
	return &Resolver{client: client, seeds: seeds, random: rand.New(rand.NewPCG(seed, 0))}
}

// Addresses gives the addresses in the order to try them. It fails with
// daisyerror.Unavailable when nobody answers and no earlier answer is left.
func (r *Resolver) Addresses(ctx context.Context) ([]netip.AddrPort, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.expires) {
		return r.answer, nil
	}
	for _, a := range r.candidates() {
		answer, keep, err := r.ask(ctx, a)
		if err != nil {
			continue
		}
		r.answer = answer
		r.expires = time.Now().Add(keep)
		return answer, nil
	}
	if len(r.answer) > 0 {
		return r.answer, nil
	}
	return nil, daisyerror.Unavailable.New("none of %d addresses answers", len(r.seeds))
}

// candidates gives the last answer first, then the seeds in random order.
func (r *Resolver) candidates() []netip.AddrPort {
	list := append([]netip.AddrPort(nil), r.answer...)
	for _, i := range r.random.Perm(len(r.seeds)) {
		list = append(list, r.seeds[i])
	}
	return list
}

func (r *Resolver) ask(ctx context.Context, address netip.AddrPort) ([]netip.AddrPort, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+addressesPath, nil)
	if err != nil {
		return nil, 0, daisyerror.Internal.Wrap(err, "asking %s", address)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, 0, daisyerror.Unavailable.Wrap(err, "asking %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	var document addressesDocument
	if err := json.NewDecoder(response.Body).Decode(&document); err != nil {
		return nil, 0, daisyerror.Unavailable.Wrap(err, "asking %s", address)
	}
	keep, err := time.ParseDuration(document.KeepFor)
	if err != nil || len(document.Addresses) == 0 {
		return nil, 0, daisyerror.Unavailable.New("asking %s: no usable answer", address)
	}
	var answer []netip.AddrPort
	for _, a := range document.Addresses {
		answer = append(answer, a.Address)
	}
	return answer, keep, nil
}
