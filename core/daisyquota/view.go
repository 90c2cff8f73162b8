package daisyquota

import (
	"slices"
	"time"

	"daisyyoke/core/daisyvm"
)

const (
	// silentShareTime is how long a share is kept for a VM that is no longer heard of without
	// having left as planned: it may be cut off, and use its share. It is longer than for rate
	// limits, because the bound of a quota has to hold in each window of a partition.
	silentShareTime = time.Minute
	// settleTime is how long after its start a VM may not have heard all others. It then
	// reckons with the VMs of the list at least, or with startVMs if it has not read the list.
	// A VM that has heard of no other one since its start, but knows that there are some, does
	// so for silentShareTime: it may be cut off.
	settleTime = 2 * time.Second
	startVMs   = 32
	// reportTime is how long the number of VMs that another one knew counts.
	reportTime = 5 * time.Second
)

// view is what a VM knows of the others.
type view struct {
	self    daisyvm.Name
	started time.Time
	// othersExist reports whether the settings name other VMs, and heard whether this VM has
	// heard of one.
	othersExist, heard bool
	vms                []daisyvm.VM
	// present are the VMs that may rely on the same coordinators as this one.
	present     map[daisyvm.Name]bool
	silentSince map[daisyvm.Name]time.Time
	// reported is the largest number of VMs that another one knew at reportedAt.
	reported   int
	reportedAt time.Time
	// version counts the changes, and chosen has the roles since the last one.
	version int
	// listed is the number of VMs in the list of all; 0 if it is not known.
	listed int
	chosen map[Key]roles
}

func newView(self daisyvm.Name, othersExist bool, now time.Time) view {
	return view{
		othersExist: othersExist,
		self:        self,
		started:     now,
		vms:         []daisyvm.VM{{Name: self}},
		present:     map[daisyvm.Name]bool{self: true},
		silentSince: make(map[daisyvm.Name]time.Time),
		version:     1,
		chosen:      make(map[Key]roles),
	}
}

func (v *view) change(now time.Time, event PeersChanged) {
	present := map[daisyvm.Name]bool{v.self: true}
	for _, vm := range slices.Concat(event.VMs, event.Leaving) {
		present[vm.Name] = true
		delete(v.silentSince, vm.Name)
	}
	// Those that were leaving have left as planned.
	for _, vm := range v.vms {
		if !present[vm.Name] {
			v.silentSince[vm.Name] = now
		}
	}
	v.heard = v.heard || len(present) > 1
	v.vms, v.present = event.VMs, present
	v.version++
	clear(v.chosen)
}

// known returns the number of VMs in view and of those that fell silent lately.
func (v *view) known(now time.Time) int {
	all := len(v.present)
	for name, since := range v.silentSince {
		if now.Sub(since) >= silentShareTime {
			delete(v.silentSince, name)
			continue
		}
		all++
	}
	return all
}

// report notes the number of VMs that another one knows.
func (v *view) report(now time.Time, vms int) {
	if vms >= v.reported || now.Sub(v.reportedAt) > reportTime {
		v.reported, v.reportedAt = vms, now
	}
}

// share returns the part of each rate that the VMs in view have together.
func (v *view) share(now time.Time) float64 {
	all := v.known(now)
	if now.Sub(v.reportedAt) <= reportTime {
		all = max(all, v.reported)
	}
	age := now.Sub(v.started)
	if age < settleTime || v.othersExist && !v.heard && age < silentShareTime {
		all = max(all, v.expected())
	}
	return float64(len(v.present)) / float64(all)
}

// expected returns how many VMs there may be, for a VM that may not have heard all of them. A
// list with this VM alone may be one that the others could not be added to.
func (v *view) expected() int {
	if v.listed > 1 {
		return v.listed
	}
	return startVMs
}

// roles are the VMs that lend the tokens of an account. The standby is the next coordinator
// if the present one fails.
type roles struct{ coordinator, standby daisyvm.Name }

func (v *view) roles(account Key) roles {
	if r, ok := v.chosen[account]; ok {
		return r
	}
	key := account.ownerKey()
	var r roles
	r.coordinator = daisyvm.Owner(v.vms, key)
	others := slices.DeleteFunc(slices.Clone(v.vms), func(vm daisyvm.VM) bool { return vm.Name == r.coordinator })
	r.standby = daisyvm.Owner(others, key)
	v.chosen[account] = r
	return r
}
