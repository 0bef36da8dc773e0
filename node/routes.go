package node

import (
	"net/http"
	"sync/atomic"

	"hyssopbridge/control"
	"hyssopbridge/resultcode"
	"hyssopbridge/routing"
)

// routes matches requests against the newest snapshot. It implements
// proxy.Router.
type routes struct {
	current atomic.Pointer[routeView]
	logger  logger
	usable  func() error // an error while the configuration may be out of date
}

// routeView is what traffic reads. Routes of withdrawn mandates are kept apart,
// so that their callers learn of the withdrawal.
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

// update applies the mandates that changed since the last snapshot. It is
// called by the watcher's goroutine only.
func (r *routes) update(s *control.Snapshot) {
	old := r.current.Load()
	next := &routeView{snapshot: s, live: old.live, withdrawn: old.withdrawn}
	for m := range s.Changed(old.snapshot.Version) {
		if m.Withdrawn {
			next.live = next.live.Without(m.Name)
			next.withdrawn = r.with(next.withdrawn, m)
			continue
		}
		next.withdrawn = next.withdrawn.Without(m.Name)
		next.live = r.with(next.live, m)
	}
	r.current.Store(next)
}

func (r *routes) with(t *routing.Table, m *control.Mandate) *routing.Table {
	if m.Manifest == nil {
		return t
	}
	next, err := t.With(m.Manifest)
	if err != nil {
		r.logger.Warnf("mandate %s revision %d: %v", m.Name, m.Revision, err)
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
	if err := r.usable(); err != nil {
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
	errNoConfiguration = resultcode.New(resultcode.NoConfiguration, "no configuration is known yet")
	errWithdrawn       = resultcode.New(resultcode.ServiceWithdrawn, "the mandate was withdrawn")
	errNoRoute         = resultcode.New(resultcode.NoRoute, "no route matches")
)

// Find implements proxy.Router.
func (r *routes) Find(service, route string) (*routing.Route, error) {
	if err := r.usable(); err != nil {
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

// allowed returns an error when a service may no longer serve. A service that
// this node does not know yet is allowed: the entry node may be ahead.
func (r *routes) allowed(service string) error {
	if err := r.usable(); err != nil {
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
