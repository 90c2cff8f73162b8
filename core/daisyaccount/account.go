// Package daisyaccount describes client accounts: whose requests are whose, by the keys that
// callers send, and what an account may ask for.
package daisyaccount

import (
	"crypto/sha256"
	"math"

	"daisyyoke/core/daisyrank"
)

// Name identifies a client account within its fleet.
type Name string

// Digest is the SHA-256 of a key. Keys themselves are kept nowhere.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Quota limits the requests of an account at all VMs together. The zero value limits nothing.
type Quota struct {
	// PerSecond is the rate of requests; 0 means no limit.
	PerSecond float64
	// Burst is the number of requests in excess of the rate that may come at once.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// NewQuota returns a quota. It returns false if a number is negative or not finite.
func NewQuota(perSecond, burst float64) (Quota, bool) {
	for _, n := range []float64{perSecond, burst} {
		if math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
			return Quota{}, false
		}
	}
	return Quota{PerSecond: perSecond, Burst: burst}, true
}

// Account is the declaration of a client account.
type Account struct {
	Name Name
	// Keys are the digests of the keys of the account.
	Keys []Digest
	// Rank goes before the rank of a request's route; empty means the route's.
	Rank  daisyrank.Name
	Quota Quota
}

// Table finds accounts by key. It is immutable.
type Table struct{ accounts map[Digest]Account }

// NewTable returns the table of the given accounts. A key that several accounts declare
// belongs to the first of them.
func NewTable(accounts []Account) *Table {
	t := &Table{accounts: make(map[Digest]Account)}
	for _, a := range accounts {
		for _, k := range a.Keys {
			if _, ok := t.accounts[k]; !ok {
				t.accounts[k] = a
			}
		}
	}
	return t
}

// Find returns the account that holds a key, and reports whether there is one.
func (t *Table) Find(key Digest) (Account, bool) {
	a, ok := t.accounts[key]
	return a, ok
}
