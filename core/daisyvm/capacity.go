package daisyvm

import "math"

// Capacity is what a VM has to serve with. It has whole numbers, so that all VMs compare
// the same values, whichever of them they got over the network. In each field, 0 means
// that the VM does not say, which holds for earlier builds too.
type Capacity struct {
	// Millicores is the processor time, in thousandths of a core.
	Millicores uint32
	// LinkBitsPerSecond is the speed of the VM's link.
	LinkBitsPerSecond uint64
}

// NewCapacity returns the capacity of a VM with a number of cores and the speed of a link.
// A value that is not positive or not finite counts as unknown.
func NewCapacity(cores, linkBitsPerSecond float64) Capacity {
	return Capacity{
		Millicores:        uint32(min(positive(cores*1000), math.MaxUint32)),
		LinkBitsPerSecond: uint64(min(positive(linkBitsPerSecond), math.MaxInt64/2)),
	}
}

// positive rounds a value to a whole number, or returns 0 if it is not positive or not finite.
func positive(value float64) float64 {
	if !(value > 0) || math.IsInf(value, 1) {
		return 0
	}
	return math.Round(value)
}

// MinCoordinator returns the least capacity, in thousandths of a core, of the VMs that
// coordinate others: half of the largest one known. It is 0, which every VM has, if no VM
// announces its capacity. Among VMs of 0.8 and 0.16 of a core, a coordinator of 0.16 could
// not serve the four messages and the probe of each of 500 requests a second.
func MinCoordinator(vms []VM) uint32 {
	var largest uint32
	for _, v := range vms {
		largest = max(largest, v.Capacity.Millicores)
	}
	return largest - largest/2
}

// Coordinates reports whether the VM has the capacity that MinCoordinator returned.
func (v VM) Coordinates(minMillicores uint32) bool { return v.Capacity.Millicores >= minMillicores }
