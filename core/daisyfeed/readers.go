package daisyfeed

import (
	"slices"

	"daisyyoke/core/daisyvm"
)

// readerCount is how many VMs read the store for all: two, so that losing one leaves no gap.
const readerCount = 2

// Readers selects the VMs that read the store for the others. All VMs that know of the
// same VMs select the same ones, and skip those to which the store does not reply. It is
// not safe for concurrent use.
type Readers struct {
	self  daisyvm.Name
	peers []daisyvm.Name
	// small holds the VMs that do not have the capacity to coordinate others.
	small map[daisyvm.Name]bool
	// unavailable holds the VMs to which the store does not reply.
	unavailable map[daisyvm.Name]bool
	// lastRole is the last result of Role.
	lastRole RoleChanged
	selected []daisyvm.Name
}

// NewReaders returns the Readers of a VM that knows no other.
func NewReaders(self daisyvm.Name) *Readers {
	return &Readers{self: self, unavailable: make(map[daisyvm.Name]bool)}
}

// SetVMs sets the live VMs, and those that are leaving.
func (r *Readers) SetVMs(vms, leaving []daisyvm.VM) {
	r.peers = r.peers[:0:0]
	r.small = make(map[daisyvm.Name]bool)
	all := slices.Concat(vms, leaving)
	minMillicores := daisyvm.MinCoordinator(all)
	for _, v := range all {
		if !v.Coordinates(minMillicores) {
			r.small[v.Name] = true
		}
		if v.Name != r.self {
			r.peers = append(r.peers, v.Name)
		}
	}
}

// SetStoreUnavailable sets whether the store does not reply to a VM.
func (r *Readers) SetStoreUnavailable(name daisyvm.Name, unavailable bool) {
	r.unavailable[name] = unavailable
}

// Names returns the VMs that the last call of Role selected as readers; none before the
// first call.
func (r *Readers) Names() []string {
	names := make([]string, 0, len(r.selected))
	for _, n := range r.selected {
		names = append(names, string(n))
	}
	return names
}

// Role returns this VM's role, and reports whether it has changed since the last call.
func (r *Readers) Role() (RoleChanged, bool) {
	r.selected = r.selectReaders()
	index := slices.Index(r.selected, r.self)
	role := RoleChanged{Reader: index >= 0, Second: index > 0, Peers: r.peers}
	for _, p := range r.peers {
		if r.compare(p, r.self) < 0 {
			role.Position++
		}
	}
	changed := role.Reader != r.lastRole.Reader || role.Second != r.lastRole.Second || !slices.Equal(role.Peers, r.lastRole.Peers)
	r.lastRole = role
	return role, changed
}

// selectReaders returns the first VMs in the order of compare among those to which the store
// replies, or among all if it replies to none.
func (r *Readers) selectReaders() []daisyvm.Name {
	all := append([]daisyvm.Name{r.self}, r.peers...)
	candidates := slices.DeleteFunc(slices.Clone(all), func(n daisyvm.Name) bool { return r.unavailable[n] })
	if len(candidates) == 0 {
		candidates = all
	}
	slices.SortFunc(candidates, r.compare)
	return candidates[:min(readerCount, len(candidates))]
}

// compare orders VMs by who reads the store first: those with the capacity to coordinate
// others come first, and then the hash decides.
func (r *Readers) compare(a, b daisyvm.Name) int {
	switch {
	case r.small[a] == r.small[b]:
		return daisyvm.CompareByOwnerHash(readersKey, a, b)
	case r.small[b]:
		return -1
	}
	return 1
}

// readersKey is the key whose owner hash orders the VMs.
const readersKey = "store-readers"
