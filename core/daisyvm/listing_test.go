package daisyvm_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyvm"
)

func ExampleListReadInterval() {
	for _, vms := range []int{1, 8, 39, 123} {
		fmt.Println(vms, daisyvm.ListReadInterval(30*time.Second, 5*time.Minute, vms))
	}
	// Output:
	// 1 30s
	// 8 30s
	// 39 2m26.25s
	// 123 5m0s
}

// Guards against reads of the platform's list that grow with the number of VMs.
func TestReadsOfTheListAreBounded(t *testing.T) {
	const maxPerSecond = 0.5
	for vms := 1; vms <= 150; vms++ {
		interval := daisyvm.ListReadInterval(30*time.Second, 5*time.Minute, vms)
		assert.Assert(t, float64(vms)/interval.Seconds() <= maxPerSecond, "%d VMs: one read each %v", vms, interval)
	}
}
