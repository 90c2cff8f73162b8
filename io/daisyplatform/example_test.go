package daisyplatform_test

import (
	"context"
	"fmt"

	"daisyyoke/io/daisyplatform"
)

// Two writers expect the same version of a row: the first write succeeds, and the second
// is answered with Conflict.
func ExampleEmbedded() {
	p := daisyplatform.NewEmbedded()
	for _, by := range []string{"ana", "rui"} {
		switch a := p.SwapRow(context.Background(), "head", 0, []byte(by)).(type) {
		case daisyplatform.RowWritten:
			fmt.Println(by, "wrote version", a.Version)
		case daisyplatform.Conflict:
			fmt.Println(by, "came too late")
		}
	}
	// Output:
	// ana wrote version 1
	// rui came too late
}
