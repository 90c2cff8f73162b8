package daisyfactory

import (
	"context"
	"net/netip"

	"daisyyoke/core/daisyconfig"
	"daisyyoke/core/daisylint"
)

// Checker reads the configurations of a platform that has a format and a store of its own.
type Checker interface {
	// Decode decodes a configuration. The snapshot is nil if there are problems.
	Decode(text []byte) (*daisyconfig.Snapshot, []daisylint.Invalid)
	// ReadInForce reads what is in force from the store at an address.
	ReadInForce(ctx context.Context, store netip.AddrPort) (daisylint.InForce, error)
}
