package daisyfeed

import (
	"slices"

	"daisyyoke/core/daisyvm"
)

// readerCount is how many VMs read the store for all: two, so that the loss of one leaves no gap.
const readerCount = 2

// Readers decides which VMs read the store for the others. All VMs that see the
// same VMs pick the same ones, and pass over those that the store does not answer.
// It is not safe for concurrent use.
type Readers struct {
	self  daisyvm.Name
	peers []daisyvm.Name
	blind map[daisyvm.Name]bool
	// told is the duty that Duty gave last.
	told   DutyChanged
	picked []daisyvm.Name
}

// NewReaders gives the readers of a VM that knows no other.
func NewReaders(self daisyvm.Name) *Readers {
	return &Readers{self: self, blind: make(map[daisyvm.Name]bool)}
}

// SetVMs brings the live VMs, and those of them that leave.
func (r *Readers) SetVMs(vms, leaving []daisyvm.VM) {
	r.peers = r.peers[:0:0]
	for _, v := range slices.Concat(vms, leaving) {
		if v.Name != r.self {
			r.peers = append(r.peers, v.Name)
		}
	}
}

// SetBlind says whether the store does not answer a VM.
func (r *Readers) SetBlind(name daisyvm.Name, blind bool) { r.blind[name] = blind }

// Names gives the VMs that read.
func (r *Readers) Names() []string {
	names := make([]string, 0, len(r.picked))
	for _, n := range r.picked {
		names = append(names, string(n))
	}
	return names
}

// Duty gives this VM's part, and whether it has changed since it was last given.
func (r *Readers) Duty() (DutyChanged, bool) {
	r.picked = r.pick()
	duty := DutyChanged{Reader: slices.Contains(r.picked, r.self), Peers: r.peers}
	for _, p := range r.peers {
		if daisyvm.CompareByOwnerHash(readersKey, p, r.self) < 0 {
			duty.Place++
		}
	}
	changed := duty.Reader != r.told.Reader || !slices.Equal(duty.Peers, r.told.Peers)
	r.told = duty
	return duty, changed
}

// pick gives the first VMs in the order of a hash among those that the store
// answers, or among all when it answers none.
func (r *Readers) pick() []daisyvm.Name {
	all := append([]daisyvm.Name{r.self}, r.peers...)
	sighted := slices.DeleteFunc(slices.Clone(all), func(n daisyvm.Name) bool { return r.blind[n] })
	if len(sighted) == 0 {
		sighted = all
	}
	slices.SortFunc(sighted, func(a, b daisyvm.Name) int {
		return daisyvm.CompareByOwnerHash(readersKey, a, b)
	})
	return sighted[:min(readerCount, len(sighted))]
}

// readersKey is what the VMs are ordered by the hash of.
const readersKey = "store-readers"
