package daisyroute

import "daisyyoke/core/daisybudget"

// Budget determines the limits of the retries and hedges that a VM may send. It is
// one of PerVM and Shared.
type Budget interface {
	// limits returns the limits that apply to each of the given number of VMs.
	limits(vms int) daisybudget.Limits
}

// PerVM applies the same limits to each VM, however many there are.
type PerVM struct{ Limits daisybudget.Limits }

// Shared divides the reserves of the limits evenly between the VMs that may send: the live
// ones, and for a while those that fell silent, since they may only be cut off.
type Shared struct{ Limits daisybudget.Limits }

func (b PerVM) limits(int) daisybudget.Limits { return b.Limits }

func (b Shared) limits(vms int) daisybudget.Limits {
	l := b.Limits
	l.Reserve /= float64(vms)
	l.HedgeReserve /= float64(vms)
	return l
}
