package daisymeasure_test

import (
	"fmt"
	"time"

	"daisyyoke/core/daisymeasure"
	"daisyyoke/core/daisyroute"
)

// If only urgent requests arrive, at half of the capacity, every request is answered
// within its target.
func ExampleRun() {
	size := daisymeasure.Size{Services: 1, Duration: 3 * time.Second, Seed: 1}
	tally := daisymeasure.Run(size.UrgentOnly(0.5).Scenario, daisymeasure.Routed{Policy: daisyroute.Credits{Overcommit: 1}})
	fmt.Println(tally.UsefulShare(daisymeasure.Urgent), tally.Lost, tally.Mismatched)
	// Output: 1 0 0
}
