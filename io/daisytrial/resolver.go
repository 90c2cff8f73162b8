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
	// resolveTimeout is the timeout of one query for addresses.
	resolveTimeout = time.Second
)

type addressesDocument struct {
	Addresses []struct {
		Address netip.AddrPort `json:"address"`
	} `json:"addresses"`
	TTL string `json:"keep-for"`
}

// Resolver queries the VMs for the addresses to use and caches them for the time that the
// response states. It is safe for concurrent use.
type Resolver struct {
	client *http.Client
	seeds  []netip.AddrPort

	mu        sync.Mutex
	random    *rand.Rand
	addresses []netip.AddrPort
	expires   time.Time
}

// NewResolver returns a resolver that sends its first query to a random one of the seeds.
// The random seed makes their order repeatable.
func NewResolver(client *http.Client, seed uint64, seeds ...netip.AddrPort) *Resolver {
	return &Resolver{client: client, seeds: seeds, random: rand.New(rand.NewPCG(seed, 0))}
}

// Addresses returns the addresses in the order in which to try them. If no VM answers, it
// returns the expired addresses. It fails with daisyerror.Unavailable if there are none.
func (r *Resolver) Addresses(ctx context.Context) ([]netip.AddrPort, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.expires) {
		return r.addresses, nil
	}
	for _, a := range r.candidates() {
		addresses, ttl, err := r.query(ctx, a)
		if err != nil {
			continue
		}
		r.addresses = addresses
		r.expires = time.Now().Add(ttl)
		return addresses, nil
	}
	if len(r.addresses) > 0 {
		return r.addresses, nil
	}
	return nil, daisyerror.Unavailable.New("no addresses: none of the %d seeds answered", len(r.seeds))
}

// candidates returns the VMs to query: the cached addresses, then the seeds in random order.
func (r *Resolver) candidates() []netip.AddrPort {
	list := append([]netip.AddrPort(nil), r.addresses...)
	for _, i := range r.random.Perm(len(r.seeds)) {
		list = append(list, r.seeds[i])
	}
	return list
}

func (r *Resolver) query(ctx context.Context, address netip.AddrPort) ([]netip.AddrPort, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+addressesPath, nil)
	if err != nil {
		return nil, 0, daisyerror.Internal.Wrap(err, "querying %s", address)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, 0, daisyerror.Unavailable.Wrap(err, "querying %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	var document addressesDocument
	if err := json.NewDecoder(response.Body).Decode(&document); err != nil {
		return nil, 0, daisyerror.Unavailable.Wrap(err, "querying %s", address)
	}
	ttl, err := time.ParseDuration(document.TTL)
	if err != nil || len(document.Addresses) == 0 {
		return nil, 0, daisyerror.Unavailable.New("querying %s: the response has no addresses or an invalid keep-for", address)
	}
	var addresses []netip.AddrPort
	for _, a := range document.Addresses {
		addresses = append(addresses, a.Address)
	}
	return addresses, ttl, nil
}
