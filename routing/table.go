package routing

import (
	"errors"
	"fmt"

	"hyssopbridge/config/manifest"
)

// ConflictError reports a route that matches the same requests as a route of
// another manifest or service. Both stay in the table; the one whose mandate,
// then service and route name sort first is used.
type ConflictError struct {
	Route, Other string // route IDs
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("route %s matches the same requests as route %s", e.Route, e.Other)
}

// RouteError reports an invalid route, which is not added to the table.
type RouteError struct {
	Route string // route ID
	Err   error
}

// Error implements error.
func (e *RouteError) Error() string { return fmt.Sprintf("route %s skipped: %v", e.Route, e.Err) }

// Unwrap returns the cause.
func (e *RouteError) Unwrap() error { return e.Err }

// Table is an immutable set of routes. The zero value is not usable; see Empty.
type Table struct {
	index      *index
	services   *shardedMap[*Service]   // by service name
	mandates   *shardedMap[[]*Service] // services by mandate
	routes     int
	hostRoutes int // number of routes that name a host
}

// Empty returns a table without routes.
func Empty() *Table {
	return &Table{index: new(index), services: new(shardedMap[*Service]), mandates: new(shardedMap[[]*Service])}
}

// Build returns a table of the routes of all manifests. Defaults must be filled
// in. The table is usable even with an error; the error joins a *ConflictError
// or *RouteError for each route that does not take effect as published.
func Build(manifests []*manifest.Manifest) (*Table, error) {
	b := Empty().builder()
	for _, m := range manifests {
		b.replace(m)
	}
	return b.table, errors.Join(b.errs...)
}

// With returns a table in which m replaces the manifest of the same mandate.
// Unchanged parts are shared with t. Errors are as for Build, but only for m.
func (t *Table) With(m *manifest.Manifest) (*Table, error) {
	b := t.builder()
	b.replace(m)
	return b.table, errors.Join(b.errs...)
}

// Without returns a table without the routes of the mandate.
func (t *Table) Without(mandate string) *Table {
	b := t.builder()
	b.removeMandate(mandate)
	return b.table
}

// Len returns the total number of routes.
func (t *Table) Len() int { return t.routes }

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) { return t.services.get(name) }

// Services calls f for each service until f returns false.
func (t *Table) Services(f func(*Service) bool) {
	for _, shard := range t.services.shards {
		for _, s := range shard {
			if !f(s) {
				return
			}
		}
	}
}

// Route returns a route by service and name.
func (t *Table) Route(service, name string) (*Route, bool) {
	s, ok := t.Service(service)
	if !ok {
		return nil, false
	}
	return s.Route(name)
}

// tableBuilder modifies a copy of a table.
type tableBuilder struct {
	table  *Table
	editor *indexEditor
	errs   []error
}

func (t *Table) builder() *tableBuilder {
	next := *t
	editor := t.index.editor()
	services, mandates := *t.services, *t.mandates
	next.index, next.services, next.mandates = editor.index, &services, &mandates
	return &tableBuilder{table: &next, editor: editor}
}

func (b *tableBuilder) replace(m *manifest.Manifest) {
	b.removeMandate(m.Mandate)
	services := make([]*Service, 0, len(m.Services))
	for i := range m.Services {
		services = append(services, b.addService(m, &m.Services[i]))
	}
	b.table.mandates.set(m.Mandate, services)
}

func (b *tableBuilder) addService(m *manifest.Manifest, s *manifest.Service) *Service {
	svc := newService(m, s)
	for i := range s.Routes {
		r, err := newRoute(svc, &s.Routes[i])
		if err != nil {
			b.errs = append(b.errs, &RouteError{Route: r.ID, Err: err})
			continue
		}
		b.addRoute(svc, r)
	}
	b.table.services.set(svc.Name, svc)
	return svc
}

func (b *tableBuilder) addRoute(svc *Service, r *Route) {
	for _, other := range b.editor.add(r) {
		b.errs = append(b.errs, &ConflictError{Route: r.ID, Other: other.ID})
	}
	svc.Routes = append(svc.Routes, r)
	svc.Classes[r.Class] = true
	b.updateCounts(r, 1)
}

func (b *tableBuilder) removeMandate(mandate string) {
	services, ok := b.table.mandates.get(mandate)
	if !ok {
		return
	}
	for _, svc := range services {
		for _, r := range svc.Routes {
			b.editor.remove(r)
			b.updateCounts(r, -1)
		}
		if current, _ := b.table.services.get(svc.Name); current == svc {
			b.table.services.remove(svc.Name)
		}
	}
	b.table.mandates.remove(mandate)
}

func (b *tableBuilder) updateCounts(r *Route, n int) {
	b.table.routes += n
	if r.Host != "" {
		b.table.hostRoutes += n
	}
}
