package daisylease_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"daisyyoke/core/daisylease"
	"daisyyoke/core/daisyvm"
)

// A VM acquires a lease that nobody holds, and loses it because it was paused for too long.
func ExampleClaim() {
	now := time.Date(2026, time.November, 1, 8, 0, 0, 0, time.UTC)
	c := daisylease.NewClaim(now, daisyvm.VM{Name: "vm-1", Incarnation: 1}, rand.New(rand.NewPCG(1, 1)))
	fmt.Printf("%T\n", c.Handle(now, daisylease.TimePassed{})[0])
	fmt.Printf("%T\n", c.Handle(now, daisylease.RowMissing{})[0])
	fmt.Printf("%T\n", c.Handle(now, daisylease.Written{Token: 1})[0])
	fmt.Printf("%T\n", c.Handle(now.Add(time.Minute), daisylease.TimePassed{})[0])
	// Output:
	// daisylease.ReadRow
	// daisylease.WriteRow
	// daisylease.Acquired
	// daisylease.Lost
}
