package mesh

import (
	"net/http"

	"hyssopbridge/admission"
	"hyssopbridge/config/dynamic"
	"hyssopbridge/resultcode"
)

// priority returns the rank of the request in queues: by its customer, then by
// its route. 0 is the most urgent.
func (q *request) priority(route *dynamic.Route) int {
	if q.customer == nil {
		return route.Priority
	}
	return q.customer.Priority*admission.RoutePriorities + min(route.Priority, admission.RoutePriorities-1)
}

// customerName returns the name of the request's customer, or "".
func (q *request) customerName() string {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name
}

// weight returns the share of the request's customer when a service has too little
// room, and 0 if there is none.
func (q *request) weight() float64 {
	if q.customer == nil {
		return 0
	}
	return q.customer.Weight()
}

// identify returns the customer that holds the request's key, or nil if callers
// need none. A key that this node does not know may belong to a version that
// another node has already. So a node of each zone is asked, and the request is
// refused as not run rather than as unauthorized if one has a newer version or
// none answers.
func (e *entryNode) identify(r *http.Request, cfg *dynamic.Config, route *dynamic.Route) (*dynamic.Customer, error) {
	if !cfg.KeysRequired {
		return nil, nil
	}
	key := r.Header.Get(e.headers.Key)
	customer := cfg.Customer(key)
	if customer != nil || route.Public {
		return customer, nil
	}
	if key != "" && !e.behind(cfg.Version) {
		if err := e.versions.wait(r.Context()); err != nil {
			return nil, notRun(resultcode.StaleConfiguration, "version %d does not hold the key, and no other node confirms the version: %w", cfg.Version, err)
		}
	}
	if e.behind(cfg.Version) {
		return nil, notRun(resultcode.StaleConfiguration, "version %d does not hold the key, and another node has a newer version", cfg.Version)
	}
	return nil, notRun(resultcode.UnknownKey, "version %d does not hold the key", cfg.Version)
}

// authorize reports whether the configuration in force still gives the key to
// the request's customer, to which it belonged in an earlier version. A request
// without a customer needs no key. On a public route, a request whose key was
// withdrawn goes on without a customer.
func (e *entryNode) authorize(q *request, key string, version int64) *resultcode.Error {
	if q.customer == nil {
		return nil
	}
	if !e.confirmed() { // before the version is read, which the confirmation may replace
		return notRun(resultcode.StaleConfiguration, "process was suspended while the request waited, and no other node has confirmed the version since")
	}
	cfg := e.config()
	if cfg.Version == version || !cfg.KeysRequired {
		return nil
	}
	if holder := cfg.Customer(key); holder != nil && holder.Name == q.customer.Name {
		return nil
	}
	if route := cfg.Match(q.host, q.url.EscapedPath()); route != nil && route.Public {
		delete(q.header, http.CanonicalHeaderKey(e.headers.Customer))
		return nil
	}
	return notRun(resultcode.UnknownKey, "version %d has withdrawn the key that version %d held", cfg.Version, version)
}

// setCustomer replaces what the caller stated about its customer. The target
// gets the customer's name and never the key. The key is kept for as long as the
// request waits, since a later version may withdraw it.
func (e *entryNode) setCustomer(r *http.Request, q *request, customer *dynamic.Customer, version int64) {
	key := r.Header.Get(e.headers.Key)
	q.customer = customer
	q.authorize = func() *resultcode.Error { return e.authorize(q, key, version) }
	delete(q.header, http.CanonicalHeaderKey(e.headers.Key))
	name := http.CanonicalHeaderKey(e.headers.Customer)
	delete(q.header, name)
	if customer != nil {
		q.header[name] = []string{customer.Name}
	}
}
