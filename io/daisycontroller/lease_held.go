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

// HeldLease is a lease that this VM holds or has held.
type HeldLease struct {
	lease *Lease
	name  daisylease.Name

	mu    sync.Mutex
	claim *daisylease.Claim
	// noteWritten is closed once the pending note has been written; it is nil without one.
	noteWritten chan struct{}
	released    bool

	// writeSemaphore allows one Write at a time.
	writeSemaphore chan struct{}
	// acquired is closed once the lease is held, and ended once it is lost, released or closed.
	acquired chan struct{}
	ended    chan struct{}

	wake   *time.Timer
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newHeldLease(lease *Lease, name daisylease.Name, random *rand.Rand) *HeldLease {
	h := &HeldLease{
		lease:          lease,
		name:           name,
		claim:          daisylease.NewClaim(now(), lease.options.Self, random),
		writeSemaphore: make(chan struct{}, 1),
		acquired:       make(chan struct{}),
		ended:          make(chan struct{}),
		wake:           time.NewTimer(0),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.wg.Go(func() {
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

// Name returns the name of the lease.
func (h *HeldLease) Name() daisylease.Name { return h.name }

// Token returns the fencing token: the version of the lease's row that this VM last
// wrote. It increases with each renewal, and every later holder has a higher one.
func (h *HeldLease) Token() daisylease.Token {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.claim.Token()
}

// Lost returns a channel that is closed when the lease is no longer held, for whatever reason.
func (h *HeldLease) Lost() <-chan struct{} { return h.ended }

// Write writes a note to the lease's row, guarded by the fencing token. It fails with
// daisyerror.Stale when the lease is no longer held; the note is then not written,
// unless the write completed before the lease was lost. It fails with
// daisyerror.Unavailable when ctx ends while another Write is in progress, and with
// daisyerror.Unknown when ctx ends before the result of the write is known.
func (h *HeldLease) Write(ctx context.Context, note string) error {
	select {
	case h.writeSemaphore <- struct{}{}:
		defer func() { <-h.writeSemaphore }()
	case <-ctx.Done():
		return daisyerror.Unavailable.Wrap(ctx.Err(), "note in lease %s not written", h.name)
	}
	noted := make(chan struct{})
	h.mu.Lock()
	h.noteWritten = noted
	h.mu.Unlock()
	h.handle(daisylease.NoteWanted{Note: note})
	select {
	case <-noted:
		return nil
	case <-h.ended:
		return daisyerror.Stale.New("lease %s is no longer held", h.name)
	case <-ctx.Done():
		return daisyerror.Unknown.Wrap(ctx.Err(), "note in lease %s may have been written", h.name)
	}
}

// Release releases the lease and waits for the result. It fails with daisyerror.Stale
// when the lease was lost before, and with daisyerror.Unavailable when ctx ends before
// the platform has confirmed the release; the lease then expires.
func (h *HeldLease) Release(ctx context.Context) error {
	defer h.Close()
	h.handle(daisylease.ReleaseWanted{})
	select {
	case <-h.ended:
	case <-ctx.Done():
		return daisyerror.Unavailable.Wrap(ctx.Err(), "lease %s not released", h.name)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.released {
		return daisyerror.Stale.New("lease %s was lost before its release", h.name)
	}
	return nil
}

// Close stops renewing the lease and waits for its goroutines.
func (h *HeldLease) Close() {
	h.mu.Lock()
	h.closeEnded()
	h.mu.Unlock()
	h.cancel()
	h.wg.Wait()
	h.wake.Stop()
	h.lease.remove(h)
}

// withdraw stops waiting for the lease. A lease that an earlier write may have
// acquired is released, if the platform answers within platformTimeout.
func (h *HeldLease) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	if err := h.Release(ctx); err != nil {
		h.lease.options.Logger.Warn("failed to withdraw from lease", "lease", h.name, "error", err)
	}
}

// closeEnded closes the ended channel, once. The caller must hold h.mu.
func (h *HeldLease) closeEnded() {
	select {
	case <-h.ended:
	default:
		close(h.ended)
	}
}

func (h *HeldLease) handle(event daisylease.Event) {
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

// carryOut executes a decision without blocking on the platform. The caller must hold
// h.mu.
func (h *HeldLease) carryOut(decision daisylease.Decision) {
	switch d := decision.(type) {
	case daisylease.ReadRow:
		h.wg.Go(func() { h.handle(h.read()) })
	case daisylease.WriteRow:
		h.wg.Go(func() { h.handle(h.write(d)) })
	case daisylease.Acquired:
		close(h.acquired)
		h.lease.options.Logger.Info("lease acquired", "lease", h.name, "token", d.Token)
	case daisylease.NoteWritten:
		if h.noteWritten != nil {
			close(h.noteWritten)
			h.noteWritten = nil
		}
	case daisylease.Lost:
		h.closeEnded()
		h.lease.options.Logger.Warn("lease lost", "lease", h.name, "token", h.claim.Token())
	case daisylease.Released:
		h.released = true
		h.closeEnded()
		h.lease.options.Logger.Info("lease released", "lease", h.name, "token", h.claim.Token())
	}
}

func (h *HeldLease) key() string { return leasePrefix + string(h.name) }

func (h *HeldLease) read() daisylease.Event {
	ctx, cancel := context.WithTimeout(h.ctx, platformTimeout)
	defer cancel()
	switch a := h.lease.options.Platform.GetRow(ctx, h.key()).(type) {
	case daisyplatform.RowRead:
		r, err := decodeLease(a.Row.Value)
		if err != nil {
			h.lease.options.Logger.Error("failed to decode lease row", "lease", h.name, "error", err)
			return daisylease.ReadFailed{}
		}
		return daisylease.RowRead{Record: r, Token: daisylease.Token(a.Row.Version), Era: daisylease.Era(a.Era)}
	case daisyplatform.NotFound:
		return daisylease.RowMissing{Era: daisylease.Era(a.Era)}
	default:
		return daisylease.ReadFailed{}
	}
}

func (h *HeldLease) write(decision daisylease.WriteRow) daisylease.Event {
	ctx, cancel := context.WithTimeout(h.ctx, platformTimeout)
	defer cancel()
	value, err := encodeLease(decision.Record)
	if err != nil {
		h.lease.options.Logger.Error("failed to encode lease row", "lease", h.name, "error", err)
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
	ttl, err := time.ParseDuration(d.Life)
	if err != nil {
		return daisylease.Record{}, daisyerror.InvalidRequest.Wrap(err, "decode lease")
	}
	return daisylease.Record{
		Holder:      daisyvm.Name(d.Holder),
		Incarnation: daisyvm.Incarnation(d.Incarnation),
		Serial:      d.Serial,
		TTL:         ttl,
		Note:        d.Note,
	}, nil
}
