package daisydaemon

import (
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
)

// noLinks is the Linker of a standalone VM.
type noLinks struct{}

// Send drops the message, because a standalone VM has no peers.
func (noLinks) Send(daisyvm.Name, daisymessage.Message) {}

// Connect does nothing.
func (noLinks) Connect(daisyvm.VM) {}

// Forget does nothing.
func (noLinks) Forget(daisyvm.Name) {}
