package daisyconfig

import (
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
}

// NewIndex returns the index of a snapshot.
func NewIndex(snapshot *Snapshot) *Index {
	var routes []daisypath.Route
	services := make(map[daisyservice.ID]daisyservice.Service)
	for _, f := range snapshot.Intent.Fleets {
		for _, r := range f.Routes {
			r.Revision = uint64(snapshot.Revision)
			routes = append(routes, r)
		}
		for _, v := range f.Services {
			services[v.ID] = v
		}
	}
	return &Index{revision: snapshot.Revision, routes: daisypath.NewTable(routes), services: services}
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
