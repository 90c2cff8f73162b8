package daisylatency_test

import (
	"fmt"
	"time"

	"daisyyoke/core/daisylatency"
)

func ExampleDistribution() {
	var d daisylatency.Distribution
	for i := range 100 {
		d.Add(time.Duration(i+1) * time.Millisecond)
	}
	fmt.Println(d.Mean(), d.Median().Round(10*time.Millisecond), d.P95().Round(10*time.Millisecond))
	// Output: 50.5ms 50ms 90ms
}
