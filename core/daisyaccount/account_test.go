package daisyaccount_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyaccount"
)

func ExampleTable_Find() {
	table := daisyaccount.NewTable([]daisyaccount.Account{
		{Name: "north", Keys: []daisyaccount.Digest{daisyaccount.DigestOf("k-1"), daisyaccount.DigestOf("k-2")}},
	})
	account, ok := table.Find(daisyaccount.DigestOf("k-2"))
	fmt.Println(account.Name, ok)
	// Output: north true
}

// Guards against requests that are counted for an account that got their key by mistake.
func TestKeyOfTwoAccountsBelongsToTheFirst(t *testing.T) {
	key := daisyaccount.DigestOf("k")
	table := daisyaccount.NewTable([]daisyaccount.Account{
		{Name: "none"},
		{Name: "first", Keys: []daisyaccount.Digest{key}},
		{Name: "second", Keys: []daisyaccount.Digest{key, daisyaccount.DigestOf("other")}},
	})
	account, ok := table.Find(key)
	assert.Assert(t, ok)
	assert.Equal(t, account.Name, daisyaccount.Name("first"))
	_, ok = table.Find(daisyaccount.DigestOf(""))
	assert.Assert(t, !ok)
}

// Guards against quotas that no bucket can keep.
func TestQuotasAreFiniteAndNotNegative(t *testing.T) {
	for _, c := range []struct {
		rate, burst float64
		ok          bool
	}{{1, 2, true}, {0, 0, true}, {-1, 0, false}, {1, -1, false}, {math.NaN(), 0, false}, {1, math.Inf(1), false}} {
		_, ok := daisyaccount.NewQuota(c.rate, c.burst)
		assert.Equal(t, ok, c.ok, "%v", c)
	}
}
