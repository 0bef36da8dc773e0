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
// another node has already; such a request is refused as not run rather than as
// unauthorized.
func (e *entryNode) identify(r *http.Request, cfg *dynamic.Config, route *dynamic.Route) (*dynamic.Customer, error) {
	if !cfg.HasCustomers() {
		return nil, nil
	}
	customer := cfg.Customer(r.Header.Get(e.headers.Key))
	switch {
	case customer != nil || route.Public:
		return customer, nil
	case e.behind(cfg.Version):
		return nil, notRun(resultcode.StaleConfiguration, "version %d does not hold the key, and another node has a newer version", cfg.Version)
	}
	return nil, notRun(resultcode.UnknownKey, "version %d does not hold the key", cfg.Version)
}

// authorize reports whether the configuration in force still gives the key to
// the customer that it belonged to in an earlier version. A request without a
// customer needs no key.
func (e *entryNode) authorize(customer *dynamic.Customer, key string, version int64) *resultcode.Error {
	cfg := e.config()
	if customer == nil || cfg == nil || cfg.Version == version || !cfg.HasCustomers() {
		return nil
	}
	if holder := cfg.Customer(key); holder == nil || holder.Name != customer.Name {
		return notRun(resultcode.UnknownKey, "version %d has withdrawn the key that version %d held", cfg.Version, version)
	}
	return nil
}

// setCustomer replaces what the caller stated about its customer. The target
// gets the customer's name and never the key. The key is kept for as long as the
// request waits, since a later version may withdraw it.
func (e *entryNode) setCustomer(r *http.Request, q *request, customer *dynamic.Customer, version int64) {
	key := r.Header.Get(e.headers.Key)
	q.customer = customer
	q.authorize = func() *resultcode.Error { return e.authorize(customer, key, version) }
	delete(q.header, http.CanonicalHeaderKey(e.headers.Key))
	name := http.CanonicalHeaderKey(e.headers.Customer)
	delete(q.header, name)
	if customer != nil {
		q.header[name] = []string{customer.Name}
	}
}
