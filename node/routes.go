package node

import (
	"net/http"
	"sync/atomic"

	"hyssopbridge/control"
	"hyssopbridge/resultcode"
	"hyssopbridge/routing"
)

// routes matches requests against the newest configuration. It implements
// proxy.Router.
type routes struct {
	current      atomic.Pointer[routeView]
	logger       logger
	checkCurrent func() error // returns an error while the configuration may be out of date
}

// routeView holds the routing tables of one snapshot. Routes of withdrawn mandates
// are kept in a table of their own, so that callers are told of the withdrawal.
type routeView struct {
	snapshot  *control.Snapshot
	live      *routing.Table
	withdrawn *routing.Table
}

func newRoutes(l logger) *routes {
	r := &routes{logger: l}
	r.current.Store(&routeView{snapshot: &control.Snapshot{}, live: routing.Empty(), withdrawn: routing.Empty()})
	return r
}

// update applies the mandates that changed since the last snapshot. Only the
// watcher's goroutine calls it.
func (r *routes) update(s *control.Snapshot) {
	old := r.current.Load()
	next := &routeView{snapshot: s, live: old.live, withdrawn: old.withdrawn}
	for m := range s.Changed(old.snapshot.Version) {
		if m.Withdrawn {
			next.live = next.live.Without(m.Name)
			next.withdrawn = r.withMandate(next.withdrawn, m)
			continue
		}
		next.withdrawn = next.withdrawn.Without(m.Name)
		next.live = r.withMandate(next.live, m)
	}
	r.current.Store(next)
}

func (r *routes) withMandate(t *routing.Table, m *control.Mandate) *routing.Table {
	if m.Manifest == nil {
		return t
	}
	next, err := t.With(m.Manifest)
	if err != nil {
		r.logger.Warnf("routes of mandate %s revision %d: %v", m.Name, m.Revision, err)
	}
	if next == nil {
		return t
	}
	return next
}

// Match implements proxy.Router.
func (r *routes) Match(req *http.Request) (*routing.Route, error) {
	v := r.current.Load()
	if v.snapshot.Version == 0 {
		return nil, errNoConfiguration
	}
	if err := r.checkCurrent(); err != nil {
		return nil, err
	}
	path, err := routing.Normalize(req.URL.EscapedPath())
	if err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "%w", err)
	}
	if route, ok := v.live.Lookup(req.Host, path, req.Method); ok {
		return route, nil
	}
	if _, ok := v.withdrawn.Lookup(req.Host, path, req.Method); ok {
		return nil, errWithdrawn
	}
	return nil, errNoRoute
}

var (
	errNoConfiguration = resultcode.New(resultcode.NoConfiguration, "this node has no configuration yet")
	errWithdrawn       = resultcode.New(resultcode.ServiceWithdrawn, "the mandate of the service was withdrawn")
	errNoRoute         = resultcode.New(resultcode.NoRoute, "no route matches the host, path and method")
)

// Find implements proxy.Router.
func (r *routes) Find(service, route string) (*routing.Route, error) {
	if err := r.checkCurrent(); err != nil {
		return nil, err
	}
	v := r.current.Load()
	if found, ok := v.live.Route(service, route); ok {
		return found, nil
	}
	if _, ok := v.withdrawn.Route(service, route); ok {
		return nil, errWithdrawn
	}
	return nil, resultcode.New(resultcode.StaleConfiguration, "route %s of service %s is not known here", route, service)
}

// Version implements proxy.Router.
func (r *routes) Version() int64 { return r.current.Load().snapshot.Version }

// checkService returns an error if the mandate of a service was withdrawn or the
// configuration may be out of date. A service that this node does not know is
// allowed, because the entry node may have a newer configuration.
func (r *routes) checkService(service string) error {
	if err := r.checkCurrent(); err != nil {
		return err
	}
	v := r.current.Load()
	if _, ok := v.live.Service(service); ok {
		return nil
	}
	if _, ok := v.withdrawn.Service(service); ok {
		return errWithdrawn
	}
	return nil
}

// service returns the settings of a live service.
func (r *routes) service(name string) (*routing.Service, bool) {
	return r.current.Load().live.Service(name)
}
