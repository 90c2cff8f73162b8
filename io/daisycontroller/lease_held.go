package daisycontroller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"daisyyoke/core/daisyerror"
	"daisyyoke/core/daisylease"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyplatform"
)

// Held is a lease that this VM holds, or held until it was lost.
type Held struct {
	lease *Lease
	name  daisylease.Name

	mu    sync.Mutex
	claim *daisylease.Claim
	// noted is closed when the note that is being written is written.
	noted    chan struct{}
	released bool

	// noting and releasing let one note and one release through at a time.
	noting   chan struct{}
	acquired chan struct{}
	// ended is closed when the lease is lost, released or closed.
	ended chan struct{}

	wake    *time.Timer
	ctx     context.Context
	cancel  context.CancelFunc
	working sync.WaitGroup
}

func newHeld(lease *Lease, name daisylease.Name, random *rand.Rand) *Held {
	h := &Held{
		lease:    lease,
		name:     name,
		claim:    daisylease.NewClaim(now(), lease.options.Self, random),
		noting:   make(chan struct{}, 1),
		acquired: make(chan struct{}),
		ended:    make(chan struct{}),
		wake:     time.NewTimer(0),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.working.Go(func() {
		for {
			select {
			case <-h.wake.C:
				h.handle(daisylease.TimePassed{})
			case <-h.ended:
				return
			}
		}
	})
	return h
}

// Name gives the name of the lease.
func (h *Held) Name() daisylease.Name { return h.name }

// Token gives the fencing token: the version of the lease's row that this VM wrote
// last. It goes up with each renewal, and every later holder has a higher one.
func (h *Held) Token() daisylease.Token {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.claim.Token()
}

// Lost is closed when the lease is held no longer, for whatever reason.
func (h *Held) Lost() <-chan struct{} { return h.ended }

// Write puts a note into the lease's row, under the fencing token. It fails with
// daisyerror.Stale when the lease is held no longer; the note is not written then,
// unless it was before the loss. It fails with daisyerror.Unknown when ctx ends first.
func (h *Held) Write(ctx context.Context, note string) error {
	select {
	case h.noting <- struct{}{}:
		defer func() { <-h.noting }()
	case <-ctx.Done():
		return daisyerror.Unavailable.Wrap(ctx.Err(), "note under lease %s not written", h.name)
	}
	noted := make(chan struct{})
	h.mu.Lock()
	h.noted = noted
	h.mu.Unlock()
	h.handle(daisylease.NoteWanted{Note: note})
	select {
	case <-noted:
		return nil
	case <-h.ended:
		return daisyerror.Stale.New("lease %s is held no longer", h.name)
	case <-ctx.Done():
		return daisyerror.Unknown.Wrap(ctx.Err(), "note under lease %s may be written", h.name)
	}
}

// Release gives the lease back and waits for that. It fails with daisyerror.Stale
// when the lease was lost before, and with daisyerror.Unavailable when the
// platform does not take it; the lease then runs out by itself.
func (h *Held) Release(ctx context.Context) error {
	defer h.Close()
	h.handle(daisylease.ReleaseWanted{})
	select {
	case <-h.ended:
	case <-ctx.Done():
		return daisyerror.Unavailable.Wrap(ctx.Err(), "lease %s not given back", h.name)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.released {
		return daisyerror.Stale.New("lease %s was held no longer", h.name)
	}
	return nil
}

// Close stops renewing the lease and waits for what is under way.
func (h *Held) Close() {
	h.mu.Lock()
	h.end()
	h.mu.Unlock()
	h.cancel()
	h.working.Wait()
	h.wake.Stop()
	h.lease.forget(h)
}

// withdraw gives up waiting. A write that may have taken effect is given back if
// the platform answers in time.
func (h *Held) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	if err := h.Release(ctx); err != nil {
		h.lease.options.Logger.Warn("lease not withdrawn", "lease", h.name, "error", err)
	}
}

// end runs under the lock.
func (h *Held) end() {
	select {
	case <-h.ended:
	default:
		close(h.ended)
	}
}

func (h *Held) handle(event daisylease.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
		return
	default:
	}
	for _, d := range h.claim.Handle(now(), event) {
		h.carryOut(d)
	}
	if wake := h.claim.NextWake(); wake.IsZero() {
		h.wake.Stop()
	} else {
		h.wake.Reset(time.Until(wake))
	}
}

// carryOut runs under the lock; it starts operations of the platform without waiting.
func (h *Held) carryOut(decision daisylease.Decision) {
	switch d := decision.(type) {
	case daisylease.ReadRow:
		h.working.Go(func() { h.handle(h.read()) })
	case daisylease.WriteRow:
		h.working.Go(func() { h.handle(h.write(d)) })
	case daisylease.Acquired:
		close(h.acquired)
		h.lease.options.Logger.Info("lease acquired", "lease", h.name, "token", d.Token)
	case daisylease.NoteWritten:
		if h.noted != nil {
			close(h.noted)
			h.noted = nil
		}
	case daisylease.Lost:
		h.end()
		h.lease.options.Logger.Warn("lease lost", "lease", h.name, "token", h.claim.Token())
	case daisylease.Released:
		h.released = true
		h.end()
		h.lease.options.Logger.Info("lease released", "lease", h.name, "token", h.claim.Token())
	}
}

func (h *Held) key() string { return leasePrefix + string(h.name) }

func (h *Held) read() daisylease.Event {
	ctx, cancel := context.WithTimeout(h.ctx, platformTimeout)
	defer cancel()
	switch a := h.lease.options.Platform.GetRow(ctx, h.key()).(type) {
	case daisyplatform.RowRead:
		r, err := decodeLease(a.Row.Value)
		if err != nil {
			h.lease.options.Logger.Error("lease row cannot be read", "lease", h.name, "error", err)
			return daisylease.ReadFailed{}
		}
		return daisylease.RowRead{Record: r, Token: daisylease.Token(a.Row.Version)}
	case daisyplatform.NotFound:
		return daisylease.RowMissing{}
	default:
		return daisylease.ReadFailed{}
	}
}

func (h *Held) write(decision daisylease.WriteRow) daisylease.Event {
	ctx, cancel := context.WithTimeout(h.ctx, platformTimeout)
	defer cancel()
	value, err := encodeLease(decision.Record)
	if err != nil {
		h.lease.options.Logger.Error("lease row cannot be written", "lease", h.name, "error", err)
		return daisylease.WriteFailed{}
	}
	switch a := h.lease.options.Platform.SwapRow(ctx, h.key(), daisyplatform.Version(decision.Expected), value).(type) {
	case daisyplatform.RowWritten:
		return daisylease.Written{Token: daisylease.Token(a.Version)}
	case daisyplatform.Conflict:
		return daisylease.WriteRefused{}
	case daisyplatform.Unknown:
		return daisylease.WriteUnknown{}
	default:
		return daisylease.WriteFailed{}
	}
}

type leaseDocument struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Serial      uint64 `json:"serial"`
	Life        string `json:"life"`
	Note        string `json:"note,omitempty"`
}

func encodeLease(r daisylease.Record) ([]byte, error) {
	data, err := json.Marshal(leaseDocument{
		Holder:      string(r.Holder),
		Incarnation: uint64(r.Incarnation),
		Serial:      r.Serial,
		Life:        r.TTL.String(),
		Note:        r.Note,
	})
	if err != nil {
		return nil, daisyerror.Internal.Wrap(err, "encode lease")
	}
	return data, nil
}

func decodeLease(data []byte) (daisylease.Record, error) {
	var d leaseDocument
	if err := json.Unmarshal(data, &d); err != nil {
		return daisylease.Record{}, daisyerror.InvalidRequest.Wrap(err, "decode lease")
	}
	life, err := time.ParseDuration(d.Life)
	if err != nil {
		return daisylease.Record{}, daisyerror.InvalidRequest.Wrap(err, "decode lease")
	}
	return daisylease.Record{
		Holder:      daisyvm.Name(d.Holder),
		Incarnation: daisyvm.Incarnation(d.Incarnation),
		Serial:      d.Serial,
		TTL:         life,
		Note:        d.Note,
	}, nil
}
