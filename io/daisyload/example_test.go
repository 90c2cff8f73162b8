package daisyload_test

import (
	"fmt"
	"time"

	"daisyyoke/io/daisyload"
)

func ExampleParse() {
	report, err := daisyload.Parse(time.Now(), []string{"in-flight=2, slots=3, draining=?0"})
	fmt.Println(report.InFlight, report.Slots, report.Draining, err)
	_, err = daisyload.Parse(time.Now(), []string{"in-flight=2"})
	fmt.Println(err)
	// Output:
	// 2 3 false <nil>
	// daisyyoke.invalid-request: Daisy-Load: slots has to be an integer from 1 to 1048576
}
