package daisyconfig

import "daisyyoke/core/daisyvm"

// Peer is another VM as a source of configurations.
type Peer = daisyvm.Name
