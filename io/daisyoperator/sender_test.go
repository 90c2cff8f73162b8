package daisyoperator_test

import (
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
)

// discardSender drops every message, since the VM under test has no peers.
type discardSender struct{}

func (discardSender) Send(daisyvm.Name, daisymessage.Message) {}
