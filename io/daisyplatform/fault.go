package daisyplatform

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"daisyyoke/core/daisyerror"
)

// Fault is a fault that is injected into a platform. It is one of Down, Slow, Lagging,
// LaggingVMs, LostReplies and Throttled.
type Fault interface{ fault() }

// Down makes every operation fail without effect.
type Down struct{}

// Slow delays each operation. If the context ends during the delay, a write takes effect
// with a probability of one half.
type Slow struct{ Delay time.Duration }

// Lagging makes reads return rows as they were this long ago, at most MaxLag.
type Lagging struct{ By time.Duration }

// LaggingVMs makes reads return the list of VMs as it was this long ago, at most MaxLag.
type LaggingVMs struct{ By time.Duration }

// LostReplies loses this share of the replies to writes, from 0 to 1. The writes take
// effect.
type LostReplies struct{ Share float64 }

// Throttled rejects the operations beyond this rate. As many operations as it allows in a
// second, and at least one, may arrive at once.
type Throttled struct{ PerSecond float64 }

func (Down) fault()        {}
func (Slow) fault()        {}
func (Lagging) fault()     {}
func (LaggingVMs) fault()  {}
func (LostReplies) fault() {}
func (Throttled) fault()   {}

// Faulty is an embedded platform with injected faults, which can be changed at any time.
type Faulty struct {
	inner *Embedded

	mu      sync.Mutex
	faults  []Fault
	limiter *rate.Limiter
	random  *rand.Rand
}

var _ Platform = (*Faulty)(nil)

// NewFaulty returns a platform without faults. The seed determines its random choices.
func NewFaulty(inner *Embedded, seed uint64) *Faulty {
	return &Faulty{inner: inner, random: rand.New(rand.NewPCG(seed, 0))}
}

// SetFaults replaces the injected faults.
func (f *Faulty) SetFaults(faults ...Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.limiter = nil
	for _, x := range faults {
		if t, ok := x.(Throttled); ok {
			f.limiter = rate.NewLimiter(rate.Limit(t.PerSecond), max(1, int(t.PerSecond)))
		}
	}
}

// Faults returns the injected faults.
func (f *Faulty) Faults() []Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Fault(nil), f.faults...)
}

// faultEffect is the effect of the faults on one operation.
type faultEffect struct {
	down      bool
	throttled bool
	delay     time.Duration
	rowLag    time.Duration
	vmLag     time.Duration
	replyLost bool
	// writeTakesEffect is set if a write takes effect although its context ends during
	// the delay.
	writeTakesEffect bool
}

// drawEffect chooses the effect of the faults on the next operation.
func (f *Faulty) drawEffect() faultEffect {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := faultEffect{writeTakesEffect: f.random.IntN(2) == 0}
	for _, x := range f.faults {
		switch x := x.(type) {
		case Down:
			e.down = true
		case Slow:
			e.delay = x.Delay
		case Lagging:
			e.rowLag = min(x.By, MaxLag)
		case LaggingVMs:
			e.vmLag = min(x.By, MaxLag)
		case LostReplies:
			e.replyLost = f.random.Float64() < x.Share
		case Throttled:
			e.throttled = !f.limiter.Allow()
		}
	}
	return e
}

// rejection returns the answer to an operation that is not carried out, or else nil.
func (e faultEffect) rejection() Answer {
	switch {
	case e.down:
		return Unavailable{Err: daisyerror.Unavailable.New("the platform is down")}
	case e.throttled:
		return Unavailable{Err: daisyerror.Unavailable.New("too many requests for the platform")}
	}
	return nil
}

func (f *Faulty) read(ctx context.Context, operation func(faultEffect) Answer) Answer {
	e := f.drawEffect()
	if a := e.rejection(); a != nil {
		return a
	}
	if err := sleep(ctx, e.delay); err != nil {
		return Unavailable{Err: err}
	}
	return operation(e)
}

func (f *Faulty) write(ctx context.Context, operation func() Answer) Answer {
	e := f.drawEffect()
	if a := e.rejection(); a != nil {
		return a
	}
	if err := sleep(ctx, e.delay); err != nil {
		if e.writeTakesEffect {
			operation()
		}
		return Unknown{Err: err}
	}
	a := operation()
	if e.replyLost {
		return Unknown{Err: daisyerror.Unknown.New("the reply was lost")}
	}
	return a
}

func sleep(ctx context.Context, wait time.Duration) error {
	if wait == 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return daisyerror.Unavailable.Wrap(ctx.Err(), "the platform is slow")
	}
}

// Restore restores the platform from a backup of the given age, at most MaxLag.
func (f *Faulty) Restore(age time.Duration) { f.inner.Restore(age) }

// GetRow answers as Embedded does, subject to the faults.
func (f *Faulty) GetRow(ctx context.Context, key string) Answer {
	return f.read(ctx, func(e faultEffect) Answer { return f.inner.getRow(key, e.rowLag) })
}

// SwapRow answers as Embedded does, subject to the faults.
func (f *Faulty) SwapRow(ctx context.Context, key string, expected Version, value []byte) Answer {
	return f.write(ctx, func() Answer { return f.inner.SwapRow(ctx, key, expected, value) })
}

// ListRows answers as Embedded does, subject to the faults.
func (f *Faulty) ListRows(ctx context.Context, prefix string) Answer {
	return f.read(ctx, func(e faultEffect) Answer { return f.inner.listRows(prefix, e.rowLag) })
}

// PutObject answers as Embedded does, subject to the faults.
func (f *Faulty) PutObject(ctx context.Context, name string, data []byte) Answer {
	return f.write(ctx, func() Answer { return f.inner.PutObject(ctx, name, data) })
}

// GetObject answers as Embedded does, subject to the faults.
func (f *Faulty) GetObject(ctx context.Context, name string) Answer {
	return f.read(ctx, func(faultEffect) Answer { return f.inner.GetObject(ctx, name) })
}

// ListVMs answers as Embedded does, subject to the faults.
func (f *Faulty) ListVMs(ctx context.Context) Answer {
	return f.read(ctx, func(e faultEffect) Answer { return f.inner.listVMs(e.vmLag) })
}

// AnnounceVM answers as Embedded does, subject to the faults.
func (f *Faulty) AnnounceVM(ctx context.Context, vm ListedVM) Answer {
	return f.write(ctx, func() Answer { return f.inner.AnnounceVM(ctx, vm) })
}
