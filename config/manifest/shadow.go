package manifest

import (
	"fmt"
	"slices"
)

// Among the routes that match a request, an exact host takes precedence over
// any host, then an exact path over a prefix and a longer prefix over a
// shorter one, then a listed method over any method. A route therefore shadows
// another only if host and path are equal and either both list the same method
// or neither lists any. A route for any method is unreachable if other routes of
// the same host and path list every method.

// hostPath is the host and path of a route as written in the manifest. Only
// routes with equal values can shadow each other.
type hostPath struct{ host, path string }

// routeRef identifies the route that has claimed a method.
type routeRef struct {
	key     string // key path of the route in this document; empty for a route of another mandate
	mandate string
	service string
	route   string
}

// anyMethod represents the methods of a route that lists none.
const anyMethod = "*"

// routeClaims records which route handles each method of a host and path.
type routeClaims map[hostPath]map[string]routeRef

// claim records that a route handles its methods. If another route has already
// claimed one of them, it returns that route and the method.
func (c routeClaims) claim(route *Route, ref routeRef) (taken routeRef, method string, ok bool) {
	p := hostPath{route.Host, route.Path}
	byMethod := c[p]
	if byMethod == nil {
		byMethod = make(map[string]routeRef, 1)
		c[p] = byMethod
	}
	list := route.Methods
	if len(list) == 0 {
		list = []string{anyMethod}
	}
	for _, m := range list {
		if other, exists := byMethod[m]; exists && other.key != ref.key {
			return other, m, true
		}
		byMethod[m] = ref
	}
	return routeRef{}, "", false
}

// checkShadows reports routes that are shadowed by another route of the manifest
// and routes that are unreachable.
func (r *report) checkShadows(m *Manifest) {
	c := make(routeClaims)
	for i := range m.Services {
		s := &m.Services[i]
		for j := range s.Routes {
			key := routeKey(fmt.Sprintf("services[%d]", i), j)
			ref := routeRef{key: key, service: s.Name, route: s.Routes[j].Name}
			if other, method, taken := c.claim(&s.Routes[j], ref); taken {
				r.add(key+".path", "shadowed by route %q of service %q in line %d: same host and path, %s",
					other.route, other.service, r.line(other.key), methodText(method))
			}
		}
	}
	r.checkUnreachable(c)
}

func (r *report) checkUnreachable(c routeClaims) {
	for _, byMethod := range c {
		unclaimed := func(method string) bool {
			_, taken := byMethod[method]
			return !taken
		}
		if ref, ok := byMethod[anyMethod]; ok && !slices.ContainsFunc(knownMethods, unclaimed) {
			r.add(ref.key+".path", "cannot be reached: other routes of the same host and path list every method")
		}
	}
}

func methodText(method string) string {
	if method == anyMethod {
		return "any method"
	}
	return "method " + method
}
