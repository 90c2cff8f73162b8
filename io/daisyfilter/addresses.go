package daisyfilter

import (
	"encoding/json"
	"net/http"
	"time"

	"daisyyoke/core/daisyrequest"
	"daisyyoke/core/daisyvm"
	"daisyyoke/io/daisyproblem"
)

// AddressesPath is the path at which callers ask which VMs to use.
const AddressesPath = "/.well-known/daisyyoke/addresses"

// AddressSource provides the addresses of the VMs for callers.
type AddressSource interface {
	// CallerAddresses returns the VMs that callers should use, best first, and
	// how long callers may cache the response.
	CallerAddresses() (vms []daisyvm.VM, ttl time.Duration)
}

// Addresses responds to requests for AddressesPath and lets all others pass.
type Addresses struct{ Source AddressSource }

func (Addresses) filter() {}

type addressesDocument struct {
	Addresses []addressDocument `json:"addresses"`
	TTL       string            `json:"keep-for"`
}

type addressDocument struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
}

func (f Addresses) apply(call *Call) Verdict {
	if call.HTTP.URL.Path != AddressesPath {
		return Continue{}
	}
	if call.HTTP.Method != http.MethodGet && call.HTTP.Method != http.MethodHead {
		return Reject{Problem: daisyproblem.Problem{
			Status: http.StatusMethodNotAllowed,
			Title:  "Only GET and HEAD are allowed here",
			Run:    daisyrequest.NotRun,
			Allow:  "GET, HEAD",
		}}
	}
	vms, ttl := f.Source.CallerAddresses()
	document := addressesDocument{Addresses: []addressDocument{}, TTL: ttl.String()}
	for _, v := range vms {
		document.Addresses = append(document.Addresses, addressDocument{
			Address:          v.Callers.String(),
			AvailabilityZone: v.Zone.String(),
		})
	}
	body, err := json.Marshal(document)
	if err != nil {
		return reject(http.StatusInternalServerError, "The addresses cannot be written")
	}
	return Reply{ContentType: "application/json", MaxAge: ttl, Body: append(body, '\n')}
}
