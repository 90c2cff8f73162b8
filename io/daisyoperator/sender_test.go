package daisyoperator_test

import (
	"daisyyoke/core/daisymessage"
	"daisyyoke/core/daisyvm"
)

// noSender is a VM without others.
type noSender struct{}

func (noSender) Send(daisyvm.Name, daisymessage.Message) {}
