package daisydaemon

import (
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
)

// noLinks are the links of a VM that stands alone.
type noLinks struct{}

// Send drops the message: there is nobody to get it.
func (noLinks) Send(daisyvm.Name, daisymessage.Message) {}

// Connect does nothing.
func (noLinks) Connect(daisyvm.VM) {}

// Forget does nothing.
func (noLinks) Forget(daisyvm.Name) {}
