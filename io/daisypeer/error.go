package daisypeer

import "daisyyoke/core/daisyerror"

var (
	// Malformed marks bytes that are no message of the protocol.
	Malformed = daisyerror.InvalidRequest.NewSubtype("malformed-message")
	// Oversized marks a message longer than its stream allows.
	Oversized = Malformed.NewSubtype("oversized")
	// WrongVersion marks a peer more than one version away.
	WrongVersion = daisyerror.InvalidRequest.NewSubtype("wrong-version")
	// WrongVM marks a peer that is not the VM that was called, or that takes this VM's name.
	WrongVM = daisyerror.InvalidRequest.NewSubtype("wrong-vm")
	// Outdated marks a connection of an earlier incarnation than the linked one, or a needless second one.
	Outdated = daisyerror.Stale.NewSubtype("outdated-connection")
	// Broken marks a connection that failed, timed out or was closed by the peer.
	Broken = daisyerror.Unavailable.NewSubtype("broken-connection")
)
