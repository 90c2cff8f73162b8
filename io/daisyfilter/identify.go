package daisyfilter

import (
	"net/http"
	"strings"

	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyservice"
	"daisyyoke/io/daisyproblem"
)

// Identify finds the service of a request by its Host, which has the form SERVICE.FLEET.
type Identify struct{}

func (Identify) filter() {}

func (Identify) apply(call *Call) Verdict {
	id, ok := parseHost(call.HTTP.Host)
	if !ok {
		return reject(http.StatusBadRequest, "Host has to be SERVICE.FLEET")
	}
	service, ok := call.Config.FindService(id)
	if !ok {
		return reject(http.StatusNotFound, "No such service or fleet")
	}
	call.Service = service
	call.Request.Service = id
	return Continue{}
}

func parseHost(host string) (daisyservice.ID, bool) {
	service, fleet, ok := strings.Cut(strings.ToLower(hostName(host)), ".")
	if !ok || !daisyfleet.ValidName(service) || !daisyfleet.ValidName(fleet) {
		return daisyservice.ID{}, false
	}
	return daisyservice.ID{Fleet: daisyfleet.Name(fleet), Name: service}, true
}

func reject(status int, title string) Reject {
	return Reject{Problem: daisyproblem.Problem{Status: status, Title: title, Run: daisyrequest.NotRun}}
}
