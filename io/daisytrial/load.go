package daisytrial

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"daisyyoke/io/daisyconnection"
)

// Options are the settings of Run.
type Options struct {
	Streams []Stream
	// Callers is the number of callers; each has its own resolver and connections.
	Callers int
	// For is the time during which new requests are sent; Run then waits for those in flight.
	For time.Duration
	// Prefix is the prefix of every key. It keeps the keys of several loads in one trial distinct.
	Prefix string
	Seed   uint64
	// NewResolver returns the resolver of one caller.
	NewResolver func(client *http.Client, seed uint64) *Resolver
}

// maxConnections limits the connections of one caller to one VM.
const maxConnections = 256

// Run sends the load and records every outcome in the ledger. It stops sending when
// options.For has passed or ctx ends, and returns when every request has ended.
func Run(ctx context.Context, options Options, ledger *Ledger) {
	var senders sync.WaitGroup
	callers := newCallers(options)
	for i, s := range options.Streams {
		senders.Go(func() { runStream(ctx, options, i, s, callers, ledger) })
	}
	senders.Wait()
	for _, c := range callers {
		c.pool.Close()
		c.resolverClient.CloseIdleConnections()
	}
}

func newCallers(options Options) []*caller {
	callers := make([]*caller, 0, options.Callers)
	limits := daisyconnection.DefaultLimits()
	limits.MaxConnections = maxConnections
	for i := range options.Callers {
		client := &http.Client{}
		callers = append(callers, &caller{
			resolverClient: client,
			pool:           daisyconnection.NewPool(limits),
			resolver:       options.NewResolver(client, options.Seed+uint64(i)),
		})
	}
	return callers
}

func runStream(ctx context.Context, options Options, index int, stream Stream, callers []*caller, ledger *Ledger) {
	random := rand.New(rand.NewPCG(options.Seed, uint64(index)))
	end := time.Now().Add(options.For)
	next := time.Now()
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / stream.Rate * float64(time.Second)))
		if next.After(end) || !waitUntil(ctx, next) {
			return
		}
		call := Call{Stream: stream, Key: fmt.Sprintf("%s-%d-%d", options.Prefix, index, n)}
		c := callers[random.IntN(len(callers))]
		calls.Go(func() { ledger.Record(call, c.send(ctx, call)) })
	}
}

func waitUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	return Sleep(ctx, d)
}
