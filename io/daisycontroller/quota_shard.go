package daisycontroller

import (
	"context"
	"sync"
	"time"

	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyquota"
	"daisyyoke/io/daisylog"
)

// quotaShard contains the state of some accounts, guarded by its own lock.
type quotaShard struct {
	quota *Quota

	mu    sync.Mutex
	state *daisyquota.Shard
	// waiting has the channels of the requests that are not decided yet.
	waiting map[daisyquota.RequestID]chan daisyquota.Decision
}

// handle carries out the decisions on an event, and returns the grants to answer with.
func (s *quotaShard) handle(event daisyquota.Event) []daisyquota.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handleLocked(event)
}

func (s *quotaShard) handleLocked(event daisyquota.Event) []daisyquota.Grant {
	var grants []daisyquota.Grant
	for _, decision := range s.state.Handle(s.quota.options.Now(), event) {
		switch d := decision.(type) {
		case daisyquota.Admit:
			s.decide(d.ID, d)
		case daisyquota.Refuse:
			s.decide(d.ID, d)
		case daisyquota.Wait:
			if decisions, ok := s.waiting[d.ID]; ok {
				decisions <- d
			}
		case daisyquota.SendRequest:
			s.quota.request(d)
		case daisyquota.SendGrant:
			grants = append(grants, d.Grant)
		case daisyquota.LimitChanged:
			s.quota.options.Log.Write(daisylog.QuotaChanged{
				Fleet: d.Account.Fleet, Account: d.Account.Account, Limited: d.Limited, Refused: d.Refused, CoordinatorSilent: d.Silent,
			})
		}
	}
	return grants
}

// decide passes the final decision on a request to it. The caller must hold s.mu.
func (s *quotaShard) decide(id daisyquota.RequestID, d daisyquota.Decision) {
	if decisions, ok := s.waiting[id]; ok {
		delete(s.waiting, id)
		decisions <- d
	}
}

// quotaDecisions is the capacity of a request's decision channel: it waits twice at most,
// before the final decision.
const quotaDecisions = 4

// Take takes a token for a request of an account, or waits for one for a short time. It
// reports false if there is none, with the time at which one is expected.
func (c *Quota) Take(ctx context.Context, account daisyquota.Key, quota daisyaccount.Quota) (token *QuotaToken, retryAfter time.Duration, ok bool) {
	began := time.Now()
	id := daisyquota.RequestID(c.lastID.Add(1))
	s := c.shard(account)
	decisions := make(chan daisyquota.Decision, quotaDecisions)
	s.mu.Lock()
	s.waiting[id] = decisions
	s.handleLocked(daisyquota.Arrived{ID: id, Account: account, Quota: quota})
	s.mu.Unlock()
	switch d := s.await(ctx, id, account, decisions).(type) {
	case daisyquota.Admit:
		c.options.Metrics.QuotaRequest(account, true, time.Since(began))
		return &QuotaToken{shard: s, token: d.Token}, 0, true
	case daisyquota.Refuse:
		c.options.Metrics.QuotaRequest(account, false, time.Since(began))
		return nil, d.RetryAfter, false
	}
	return nil, 0, false
}

// await returns the final decision on a request.
func (s *quotaShard) await(ctx context.Context, id daisyquota.RequestID, account daisyquota.Key, decisions <-chan daisyquota.Decision) daisyquota.Decision {
	var timeout <-chan time.Time
	for {
		select {
		case decision := <-decisions:
			d, ok := decision.(daisyquota.Wait)
			if !ok {
				return decision
			}
			timer := time.NewTimer(d.Until.Sub(s.quota.options.Now()))
			defer timer.Stop()
			timeout = timer.C
		case <-timeout:
			timeout = nil
			s.handle(daisyquota.WaitPassed{ID: id, Account: account})
		case <-ctx.Done():
			return s.cancel(id, account, decisions)
		}
	}
}

// cancel ends the wait of a request whose caller has gone. A token that it already has is
// used or returned like any other.
func (s *quotaShard) cancel(id daisyquota.RequestID, account daisyquota.Key, decisions <-chan daisyquota.Decision) daisyquota.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.waiting[id]; ok {
		delete(s.waiting, id)
		s.handleLocked(daisyquota.Canceled{ID: id, Account: account})
		return daisyquota.Refuse{ID: id}
	}
	for {
		d := <-decisions
		if _, ok := d.(daisyquota.Wait); !ok {
			return d
		}
	}
}

// QuotaToken is the right to run one request of an account. Its methods are safe for
// concurrent use, and do nothing on a nil pointer.
type QuotaToken struct {
	shard *quotaShard
	token daisyquota.Token

	mu sync.Mutex
	// sent reports whether the request was ever sent, and ended whether Release was called.
	sent, ended bool
}

// Sent reports that the request is sent to an endpoint. Each send that may run counts.
func (t *QuotaToken) Sent() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shard.handle(daisyquota.TokenSent{Token: t.token, Again: t.sent || t.ended})
	t.sent = true
}

// NotRun reports that a send has not run, nor ever will.
func (t *QuotaToken) NotRun() {
	if t != nil {
		t.shard.handle(daisyquota.TokenReturned{Token: t.token, Sent: true})
	}
}

// Release reports that the request has ended. It returns a token that was not used.
func (t *QuotaToken) Release() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.sent && !t.ended {
		t.shard.handle(daisyquota.TokenReturned{Token: t.token})
	}
	t.ended = true
}
