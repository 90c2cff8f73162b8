package daisyforward

import (
	"daisyyoke/core/daisyroute"
	"daisyyoke/io/daisylog"
)

func (x *exchange) logSend(d daisyroute.Send) {
	if x.forwarder.log == nil {
		return
	}
	x.forwarder.log.Write(daisylog.Sent{
		Service:    x.call.Service.ID,
		Rank:       x.rank,
		Request:    d.Request,
		Attempt:    d.Attempt,
		Endpoint:   d.Endpoint,
		Why:        d.Reason.String(),
		Choice:     d.Choice.String(),
		Considered: d.Considered,
		Free:       d.Free,
		Waited:     d.Waited,
	})
}

func (x *exchange) logFail(d daisyroute.Fail, status int) {
	if x.forwarder.log == nil {
		return
	}
	x.forwarder.log.Write(daisylog.Refused{
		Service: x.call.Service.ID,
		Rank:    x.rank,
		Request: d.Request,
		Why:     d.Cause.String(),
		Status:  status,
		Waited:  d.Waited,
	})
}

func (x *exchange) logCancel(a *attempt) {
	if x.forwarder.log == nil {
		return
	}
	x.forwarder.log.Write(daisylog.Canceled{
		Service:  x.call.Service.ID,
		Rank:     x.rank,
		Request:  a.send.Request,
		Attempt:  a.send.Attempt,
		Endpoint: a.send.Endpoint,
	})
}
