package daisyendpoint_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"daisyyoke/core/daisyendpoint"
)

func ExampleColdBound_Rate() {
	fmt.Println(daisyendpoint.ColdBound{Over: 1.5, Slack: 8}.Rate(4.6))
	fmt.Println(daisyendpoint.ColdBound{Over: 1.5, Slack: 1}.Rate(4.6))
	fmt.Println(daisyendpoint.ColdBound{}.Rate(4.6))
	// Output:
	// 4.6
	// 2.36
	// 4.6
}

// Guards against a log line for each registration of an endpoint that is cold.
func TestCountdownIsTheSameDeclaration(t *testing.T) {
	e := daisyendpoint.Endpoint{Slots: 2, ColdFor: 3 * time.Second}
	later := e
	later.ColdFor = 2 * time.Second
	assert.Check(t, e.SameDeclaration(later))
	later.Draining = true
	assert.Check(t, !e.SameDeclaration(later))
}
