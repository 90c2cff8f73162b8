package daisyconfig

import (
	"daisyyoke/core/daisyaccount"
	"daisyyoke/core/daisyfleet"
	"daisyyoke/core/daisypath"
	"daisyyoke/core/daisyservice"
)

// Index is an immutable index of one snapshot, by which requests are matched. A request
// keeps the Index that it was matched with, so that its route, service and rank are those
// of one revision, whatever is put in force meanwhile.
type Index struct {
	revision Revision
	routes   *daisypath.Table
	services map[daisyservice.ID]daisyservice.Service
	// accounts has the client accounts of the fleets that require keys.
	accounts map[daisyfleet.Name]*daisyaccount.Table
}

// NewIndex returns the index of a snapshot.
func NewIndex(snapshot *Snapshot) *Index {
	var routes []daisypath.Route
	services := make(map[daisyservice.ID]daisyservice.Service)
	accounts := make(map[daisyfleet.Name]*daisyaccount.Table)
	for _, f := range snapshot.Intent.Fleets {
		for _, r := range f.Routes {
			r.Revision = uint64(snapshot.Revision)
			routes = append(routes, r)
		}
		for _, v := range f.Services {
			services[v.ID] = v
		}
		if len(f.Accounts) > 0 || f.KeysRequired {
			accounts[f.Name] = daisyaccount.NewTable(f.Accounts)
		}
	}
	return &Index{revision: snapshot.Revision, routes: daisypath.NewTable(routes), services: services, accounts: accounts}
}

// Revision returns the revision of the snapshot.
func (x *Index) Revision() Revision { return x.revision }

// FindRoute returns the route for a host and a path, and reports whether there is one.
func (x *Index) FindRoute(host, path string) (daisypath.Route, bool) {
	return x.routes.Find(host, path)
}

// FindService returns the declaration of a service, and reports whether there is one.
func (x *Index) FindService(id daisyservice.ID) (daisyservice.Service, bool) {
	s, ok := x.services[id]
	return s, ok
}

// Accounts returns the client accounts of a fleet; nil if it requires no keys.
func (x *Index) Accounts(fleet daisyfleet.Name) *daisyaccount.Table { return x.accounts[fleet] }
