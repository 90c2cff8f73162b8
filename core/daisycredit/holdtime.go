package daisycredit

import "time"

const (
	// endpointHoldWeight is the weight of a new sample in the mean hold time of an endpoint.
	endpointHoldWeight = 0.25
	// serviceHoldWeight is the weight of a new sample in the mean hold time of the service.
	serviceHoldWeight = 0.02
	// minHoldSamples is the number of samples of the service that are needed before
	// endpoints are compared with it.
	minHoldSamples = 20
	// slowHoldRatio is the ratio of an endpoint's hold time to the mean of the service
	// from which the endpoint counts as slow.
	slowHoldRatio = 2.5
	// minFullGain is the minimum ratio of an endpoint's throughput when it is full to
	// that with one slot free, for its last slot to be used: all its requests take
	// longer when it is full.
	minFullGain = 1.1
	// fullHoldAge is the time without a sample after which the mean hold time of last slots
	// counts as much as the next sample. While last slots are not used except for trials,
	// the mean would otherwise tell of the past for long.
	fullHoldAge = 2 * time.Second
	// holdHalfAge is the age of an endpoint's last sample at which its deviation from
	// the mean of the service counts half; its weight is 1/(1+age/holdHalfAge).
	holdHalfAge = 2 * time.Second
)

// holdStats is the moving average of the time for which credits are held, for instance
// at one endpoint or at all endpoints of the service. It includes the attempts of all
// VMs, so that it shows which endpoints are slow.
type holdStats struct {
	mean       time.Duration
	samples    int
	lastSample time.Time
}

// add adds a sample with a weight. The first samples weigh more, so that the mean
// starts as a plain average.
func (h *holdStats) add(now time.Time, held time.Duration, weight float64) {
	h.samples++
	h.lastSample = now
	h.mean += time.Duration(max(weight, 1/float64(h.samples)) * float64(held-h.mean))
}

// addAged is like add, but a sample weighs more the older the last one is.
func (h *holdStats) addAged(now time.Time, held time.Duration, weight float64) {
	age := now.Sub(h.lastSample)
	if h.samples > 0 {
		weight = max(weight, float64(age)/float64(age+fullHoldAge))
	}
	h.add(now, held, weight)
}

// outstandingCredit is a credit that was granted and has not been returned.
type outstandingCredit struct {
	granted time.Time
	// rank is the rank of the request for which the credit was granted.
	rank int
	// lastSlot reports whether the credit was the last free one of its endpoint.
	lastSlot bool
}

// recordGrant records when a credit was granted for a request of a rank.
func (l *loan) recordGrant(now time.Time, rank int, lastSlot bool) {
	l.lastGrant = now
	l.outstanding = append(l.outstanding, outstandingCredit{granted: now, rank: rank, lastSlot: lastSlot})
}

// recordReturns records that credits were returned, and takes them to be those that
// were granted first.
func (o *Owner) recordReturns(now time.Time, e *endpointState, l *loan, returned uint64) {
	for ; l.returned < returned; l.returned++ {
		if len(l.outstanding) == 0 {
			continue
		}
		oldest := l.outstanding[0]
		held := now.Sub(oldest.granted)
		l.outstanding = l.outstanding[1:]
		o.holdTimes.add(now, held, serviceHoldWeight)
		comparable := o.comparableHoldTime(now, oldest.rank, held)
		if oldest.lastSlot {
			o.lastSlotHoldTimes.addAged(now, comparable, serviceHoldWeight)
		} else {
			o.otherHoldTimes.add(now, comparable, serviceHoldWeight)
		}
		if e != nil {
			e.holdTimes.add(now, held, endpointHoldWeight)
		}
	}
}

// comparableHoldTime returns a hold time as it would be if all ranks took equally long. Long
// work of one rank fills endpoints, and would make last slots look slow.
func (o *Owner) comparableHoldTime(now time.Time, rank int, held time.Duration) time.Duration {
	for len(o.rankHoldTimes) <= rank {
		o.rankHoldTimes = append(o.rankHoldTimes, holdStats{})
	}
	h := &o.rankHoldTimes[rank]
	h.add(now, held, serviceHoldWeight)
	if h.mean == 0 {
		return held
	}
	return time.Duration(float64(held) * float64(o.holdTimes.mean) / float64(h.mean))
}

// holdTimeRatio returns the ratio of an endpoint's hold time to the mean of the
// service. The deviation from 1 is weakened with the age of the endpoint's last sample.
// If the result is below slowHoldRatio or not known, it is 1.
func (o *Owner) holdTimeRatio(now time.Time, e *endpointState) float64 {
	if o.holdTimes.samples < minHoldSamples || o.holdTimes.mean == 0 || e.holdTimes.samples == 0 {
		return 1
	}
	excess := float64(e.holdTimes.mean)/float64(o.holdTimes.mean) - 1
	excess /= 1 + float64(now.Sub(e.holdTimes.lastSample))/float64(holdHalfAge)
	if 1+excess < slowHoldRatio {
		return 1
	}
	return 1 + excess
}

// fullIncreasesThroughput reports whether endpoints have a clearly higher throughput
// when all their slots are in use, and true if that is not known. Many endpoints slow
// down when they are nearly full.
func (o *Owner) fullIncreasesThroughput() bool {
	slots := float64(o.totalSlots) / float64(max(len(o.endpoints), 1))
	if o.lastSlotHoldTimes.samples < minHoldSamples || o.otherHoldTimes.samples < minHoldSamples || slots <= 1 {
		return true
	}
	gain := slots / (slots - 1) * float64(o.otherHoldTimes.mean) / float64(o.lastSlotHoldTimes.mean)
	return gain >= minFullGain
}

// assumedFullSlowdown is the factor by which attempts are assumed to take longer at a
// full endpoint until there are enough samples.
const assumedFullSlowdown = 1.7

// fullExtraTime returns the extra time that an attempt in the last slot of an endpoint
// causes. The attempt is assumed to take longer itself and to delay one other attempt
// by the same time.
func (o *Owner) fullExtraTime() time.Duration {
	if o.otherHoldTimes.samples < minHoldSamples {
		return 0
	}
	full := time.Duration(assumedFullSlowdown * float64(o.otherHoldTimes.mean))
	if o.lastSlotHoldTimes.samples >= minHoldSamples {
		full = o.lastSlotHoldTimes.mean
	}
	return 2 * max(full-o.otherHoldTimes.mean, 0)
}
