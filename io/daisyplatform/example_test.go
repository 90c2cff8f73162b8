package daisyplatform_test

import (
	"context"
	"fmt"

	"daisyyoke/io/daisyplatform"
)

// Of two writers that saw the same version one wins.
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
