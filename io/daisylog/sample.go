package daisylog

import (
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisyyoke/core/daisyrequest"
)

// sampler selects the requests that are logged. The share for each second is calculated
// from the number of lines in the second before.
type sampler struct {
	maxRate float64
	second  atomic.Int64
	// lines is the number of lines in the current second.
	lines atomic.Int64
	// shareBits is the current share as the bits of a float64.
	shareBits atomic.Uint64
}

func newSampler(rate int) *sampler {
	s := &sampler{maxRate: float64(rate)}
	s.shareBits.Store(math.Float64bits(1))
	return s
}

func (s *sampler) share() float64 { return math.Float64frombits(s.shareBits.Load()) }

// keep reports whether a line is to be logged. Lines about failures and lines that
// concern no request are always logged.
func (s *sampler) keep(now time.Time, line Line) bool {
	s.advance(now.Unix())
	s.lines.Add(1)
	share := s.share()
	if share >= 1 {
		return true
	}
	switch n := line.(type) {
	case Sent:
		return n.sampled(share)
	case Answered:
		return !n.Complete || n.sampled(share)
	case Canceled:
		return n.sampled(share)
	case AttemptFailed, Refused, Rejected, Abandoned, EndpointChanged, EndpointNoticed, RateLimitChanged, Probed, EndpointCrashed, RequestQuarantined, RequestAcquitted,
		FindingDropped, LendingChanged, DivisionChanged, QuotaChanged, message:
	}
	return true
}

// advance sets the share at the first line of a new second. If several writers reach the
// new second at once, one of them does so.
func (s *sampler) advance(second int64) {
	last := s.second.Load()
	if second == last || !s.second.CompareAndSwap(last, second) {
		return
	}
	lines := float64(s.lines.Swap(0))
	share := 1.0
	if second == last+1 && lines > s.maxRate {
		share = s.maxRate / lines
	}
	s.shareBits.Store(math.Float64bits(share))
}

// sampled reports whether the lines of the request are logged. The result for a name is
// the same on every VM. Requests without a name are sampled by their ID.
func (s Subject) sampled(share float64) bool {
	return float64(xxhash.Sum64String(string(s.sampleKey())))/math.MaxUint64 < share
}

// sampleKey returns the name of the request, or its ID if it has no name.
func (s Subject) sampleKey() daisyrequest.Name {
	if s.Name != "" {
		return s.Name
	}
	return daisyrequest.Name(strconv.FormatUint(uint64(s.Request), 10))
}
