package daisypeer

import "daisyyoke/core/daisyerror"

var (
	// Malformed marks bytes that are not a valid message of the protocol.
	Malformed = daisyerror.InvalidRequest.NewSubtype("malformed-message")
	// Oversized marks a message that exceeds the frame limit of its stream.
	Oversized = Malformed.NewSubtype("oversized")
	// WrongVersion marks a peer whose protocol version differs by more than one.
	WrongVersion = daisyerror.InvalidRequest.NewSubtype("wrong-version")
	// WrongVM marks a peer that is not the VM that was dialed, or that uses this VM's name.
	WrongVM = daisyerror.InvalidRequest.NewSubtype("wrong-vm")
	// Outdated marks a connection to an earlier incarnation than the linked one, or a redundant
	// second connection.
	Outdated = daisyerror.Stale.NewSubtype("outdated-connection")
	// Broken marks a connection that failed, timed out, or was closed by this VM or the peer.
	Broken = daisyerror.Unavailable.NewSubtype("broken-connection")
)
