package daisyvm

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the VM that owns a key by rendezvous hashing among the VMs that have the
// capacity to coordinate others: every VM that sees the same live VMs picks the same owner,
// and the loss of a VM moves only the keys that it owned, unless that changes which VMs
// have the capacity. It returns the empty name when vms is empty.
func Owner(vms []VM, key string) Name {
	var owner Name
	var bestHash uint64
	minMillicores := MinCoordinator(vms)
	for _, v := range vms {
		if !v.Coordinates(minMillicores) {
			continue
		}
		h := ownerHash(v.Name, key)
		if owner == "" || h > bestHash || h == bestHash && v.Name < owner {
			owner, bestHash = v.Name, h
		}
	}
	return owner
}

// CompareByOwnerHash orders names for a key by the hash that Owner uses, the owner first.
func CompareByOwnerHash(key string, a, b Name) int {
	if c := cmp.Compare(ownerHash(b, key), ownerHash(a, key)); c != 0 {
		return c
	}
	return cmp.Compare(a, b)
}

func ownerHash(name Name, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(name))
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}
