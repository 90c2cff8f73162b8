package daisyhealth_test

import (
	"fmt"
	"time"

	"daisyyoke/core/daisyhealth"
)

func ExampleGroup() {
	g := daisyhealth.NewGroup()
	failing := g.Join(3, false)
	g.Join(3, false)
	for range 2 {
		g.Observe(start, failing, start, daisyhealth.Fault{})
	}
	fmt.Println(failing.Allowance(start, 0), failing.Allowance(start.Add(time.Second), 0))
	// Output: 0 1
}
