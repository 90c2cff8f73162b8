package daisyconfig

import "daisyyoke/core/daisyvm"

// Peer is the name of another VM, which can be a source of snapshots.
type Peer = daisyvm.Name
