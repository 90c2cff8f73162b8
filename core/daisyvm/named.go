package daisyvm

import (
	"cmp"
	"slices"
)

const (
	// minNamed and maxNamed bound how many VMs an answer names where capacities differ. A
	// caller needs a few, since some of them may have failed.
	minNamed = 4
	maxNamed = 64
)

// capacityWeights returns the share of the load that each VM supports, relative to the
// others: the lesser of its shares of all processor time and of the speed of all links. A VM
// that does not announce its capacity counts as the smallest one that does. It returns nil
// if no VM announces its capacity, or all have the same.
func capacityWeights(members []Member) []float64 {
	weights := make([]float64, len(members))
	for _, dimension := range []func(Capacity) float64{
		func(c Capacity) float64 { return float64(c.Millicores) },
		func(c Capacity) float64 { return float64(c.LinkBitsPerSecond) },
	} {
		least, sum := 0.0, 0.0
		for _, m := range members {
			if v := dimension(m.VM.Capacity); v > 0 && (least == 0 || v < least) {
				least = v
			}
		}
		if least == 0 {
			continue
		}
		for _, m := range members {
			sum += max(dimension(m.VM.Capacity), least)
		}
		for i, m := range members {
			if share := max(dimension(m.VM.Capacity), least) / sum; weights[i] == 0 || share < weights[i] {
				weights[i] = share
			}
		}
	}
	if len(weights) == 0 || slices.Min(weights) == slices.Max(weights) {
		return nil
	}
	return weights
}

// nameByCapacity returns the VMs that an answer names: each with a probability in proportion
// to the load that it supports and to its weight, since callers that choose one of all names
// at random load a VM with a fifth of a core like one with a whole. The number of names is
// the largest for which no VM has to be named more than once. A systematic sample in the
// order of the availability zones gives each zone its part of the names. It returns all
// members if their capacities don't differ.
func (a *AddressSelector) nameByCapacity(members []Member) (named []Member, byCapacity bool) {
	weights := capacityWeights(members)
	if weights == nil {
		return members, false
	}
	order := a.random.Perm(len(members))
	slices.SortStableFunc(order, func(i, j int) int {
		x, y := members[i].VM.Zone, members[j].VM.Zone
		return cmp.Or(cmp.Compare(x.Fleet, y.Fleet), cmp.Compare(x.Zone, y.Zone))
	})
	for i, m := range members {
		weights[i] *= a.weight(m)
	}
	sum := limitWeights(weights)
	count := min(max(int(sum/slices.Max(weights)), min(minNamed, len(members))), maxNamed)
	step := sum / float64(count)
	next, passed := a.random.Float64()*step, 0.0
	for _, i := range order {
		passed += weights[i]
		if passed > next {
			named = append(named, members[i])
		}
		for passed > next {
			next += step
		}
	}
	return named, true
}

// limitWeights lowers the largest weights until none is above its part of minNamed names,
// and returns the sum.
func limitWeights(weights []float64) float64 {
	names := float64(min(minNamed, len(weights)))
	for {
		sum := 0.0
		for _, w := range weights {
			sum += w
		}
		// Each round leaves less above the limit, which goes down with the sum.
		limit := sum / names
		if slices.Max(weights) <= limit*(1+1e-9) {
			return sum
		}
		for i, w := range weights {
			weights[i] = min(w, limit)
		}
	}
}
