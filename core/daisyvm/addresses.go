package daisyvm

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"daisyyoke/core/daisyfleet"
)

const (
	// AnswerTTL is how long callers may cache an answer.
	AnswerTTL = 5 * time.Second
	// NotReadyTTL replaces AnswerTTL while some live VM is not ready yet. Otherwise
	// callers would stay with the first ready VMs for all of AnswerTTL.
	NotReadyTTL = time.Second
	// StaleAnswerMargin is how long after AnswerTTL a leaving VM still serves callers
	// with an old answer, which may have been given just before its announcement arrived.
	StaleAnswerMargin = 2 * time.Second
	// DefaultSpareExponent is the exponent of spare capacity in a VM's weight. With a
	// much higher one, callers that renew their answers all at once oscillate between
	// VMs.
	DefaultSpareExponent = 4.0
	// suspectWeight is the weight of a suspect VM relative to a live one.
	suspectWeight = 0.25
	// minZoneWeightRatio and fullZoneWeightRatio bound the ratio of the mean weight in the
	// callers' own zone to that of all VMs: below minZoneWeightRatio the zone is never
	// preferred, above fullZoneWeightRatio it always is.
	minZoneWeightRatio  = 0.6
	fullZoneWeightRatio = 0.95
)

// Answer lists the VMs that callers should connect to, the best one first.
type Answer struct {
	VMs []VM
	TTL time.Duration
}

// AddressSelector selects the VMs for answers to callers that ask for addresses.
type AddressSelector struct {
	random   *rand.Rand
	exponent float64
	ttl      time.Duration
}

// NewAddressSelector returns an AddressSelector that draws its random choices from
// random. A VM's weight is its spare capacity raised to exponent.
func NewAddressSelector(random *rand.Rand, exponent float64) *AddressSelector {
	return &AddressSelector{random: random, exponent: exponent, ttl: AnswerTTL}
}

// SetTTL sets how long callers may cache an answer; the default is AnswerTTL.
func (a *AddressSelector) SetTTL(ttl time.Duration) { a.ttl = ttl }

// Answer returns the usable VMs in a random order weighted by spare capacity. VMs in
// the zone of self, which is assumed to be the zone of its callers, come first unless
// that zone has little spare capacity. Leaving and dead VMs are omitted. If no VM is
// ready, those that are not ready are returned, and if none is left, self alone. If the
// capacities of the VMs differ, the answer names some of them, each as often as its capacity
// supports, in an order that is not weighted once more.
func (a *AddressSelector) Answer(self Member, others []Member) Answer {
	members, someNotReady := usableMembers(self, others)
	answer := Answer{TTL: a.ttl}
	if someNotReady {
		answer.TTL = min(NotReadyTTL, a.ttl)
	}
	preferred := a.prefersZone(self.VM.Zone, members)
	named, byCapacity := a.nameByCapacity(members)
	candidates := make([]candidate, 0, len(named))
	for _, m := range named {
		c := candidate{member: m, sameZone: preferred && m.VM.Zone == self.VM.Zone}
		if c.sortKey = a.sortKey(m); byCapacity {
			c.sortKey = a.random.Float64()
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, compareCandidates)
	for _, c := range candidates {
		answer.VMs = append(answer.VMs, c.member.VM)
	}
	return answer
}

type candidate struct {
	member   Member
	sameZone bool
	sortKey  float64
}

func compareCandidates(a, b candidate) int {
	if a.sameZone != b.sameZone {
		if a.sameZone {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.sortKey, b.sortKey)
}

// sortKey draws from an exponential distribution with the VM's weight as its rate, so
// that sorting by key samples without replacement in proportion to the weights
// (Efraimidis and Spirakis, 2006).
func (a *AddressSelector) sortKey(m Member) float64 { return a.random.ExpFloat64() / a.weight(m) }

func (a *AddressSelector) weight(m Member) float64 {
	w := math.Pow(float64(m.Status.Spare)+1, a.exponent)
	if m.State == Suspect {
		w *= suspectWeight
	}
	return w
}

// prefersZone decides at random whether the zone comes first. The probability falls
// gradually as the zone runs out of spare capacity, so that callers do not all move at once.
func (a *AddressSelector) prefersZone(zone daisyfleet.ZoneID, members []Member) bool {
	var zoneWeight, totalWeight, zoneCount float64
	for _, m := range members {
		w := a.weight(m)
		totalWeight += w
		if m.VM.Zone == zone {
			zoneWeight += w
			zoneCount++
		}
	}
	if zoneCount == 0 {
		return false
	}
	ratio := (zoneWeight / zoneCount) / (totalWeight / float64(len(members)))
	return a.random.Float64() < (ratio-minZoneWeightRatio)/(fullZoneWeightRatio-minZoneWeightRatio)
}

// usableMembers returns the ready VMs, else those that are live or suspect, else self. It
// leaves out VMs that are leaving or have no address for callers, unless only self is
// left. someNotReady reports whether a live or suspect VM is not ready, or no VM is usable.
func usableMembers(self Member, others []Member) (usable []Member, someNotReady bool) {
	var ready, up []Member
	for _, m := range append([]Member{self}, others...) {
		isUp := m.State == Live || m.State == Suspect
		if !isUp || m.Status.Leaving || !m.VM.Callers.IsValid() {
			continue
		}
		up = append(up, m)
		if m.Status.Ready {
			ready = append(ready, m)
		}
	}
	someNotReady = len(ready) < len(up)
	if len(ready) > 0 {
		return ready, someNotReady
	}
	if len(up) > 0 {
		return up, someNotReady
	}
	return []Member{self}, true
}

// AnswersExpireAt returns when callers no longer hold an answer that names a VM
// which announced its leaving at announcedAt.
func AnswersExpireAt(announcedAt time.Time) time.Time {
	return announcedAt.Add(AnswerTTL + StaleAnswerMargin)
}
