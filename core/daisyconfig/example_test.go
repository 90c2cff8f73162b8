package daisyconfig_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"daisyyoke/core/daisyconfig"
)

// A VM learns of a newer configuration, requests it from the VM that announced it,
// and ignores an older snapshot that arrives late.
func ExampleFollower() {
	now := time.Date(2026, time.November, 1, 8, 0, 0, 0, time.UTC)
	f := daisyconfig.NewFollower(now, rand.New(rand.NewPCG(1, 1)))
	events := []daisyconfig.Event{
		daisyconfig.HeadRead{Head: daisyconfig.Head{Revision: 6, Hash: "a6"}},
		daisyconfig.HeadAnnounced{From: "vm-2", Revision: 7, Hash: "a7"},
		daisyconfig.SnapshotReceived{From: "vm-2", Snapshot: &daisyconfig.Snapshot{Revision: 7, Hash: "a7"}},
		daisyconfig.SnapshotReceived{From: "vm-3", Snapshot: &daisyconfig.Snapshot{Revision: 6, Hash: "a6"}},
	}
	for _, e := range events {
		for _, d := range f.Handle(now, e) {
			switch d := d.(type) {
			case daisyconfig.RequestSnapshot:
				fmt.Println("ask", d.To, "for", d.Hash)
			case daisyconfig.PutInForce:
				fmt.Println("revision", d.Snapshot.Revision, "is in force")
			}
		}
	}
	fmt.Println("still", f.InForce().Revision)
	// Output:
	// ask vm-2 for a7
	// revision 7 is in force
	// still 7
}
