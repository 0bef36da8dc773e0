package manifest

import (
	"fmt"
	"slices"
)

// Among the routes that match a request, an exact host takes precedence over
// any host, then an exact path over a prefix and a longer prefix over a
// shorter one, then a listed method over any method. So a route shadows
// another only if host and path are equal and a method, or its absence, is
// listed by both; a route for any method cannot be reached if other routes of
// the same host and path list every method.

// pattern is the part of a route that is compared exactly.
type pattern struct{ host, path string }

// holder names the route that takes a method of a pattern.
type holder struct {
	key     string // key path of the route in this document; empty for another mandate's
	mandate string
	service string
	route   string
}

// anyMethod stands for a route without listed methods.
const anyMethod = "*"

// claims records which route takes each method of a pattern.
type claims map[pattern]map[string]holder

// take claims the methods of a route. It returns the holder of a method that
// is already taken.
func (c claims) take(route *Route, h holder) (taken holder, method string, ok bool) {
	p := pattern{route.Host, route.Path}
	byMethod := c[p]
	if byMethod == nil {
		byMethod = make(map[string]holder, 1)
		c[p] = byMethod
	}
	list := route.Methods
	if len(list) == 0 {
		list = []string{anyMethod}
	}
	for _, m := range list {
		if other, exists := byMethod[m]; exists && other.key != h.key {
			return other, m, true
		}
		byMethod[m] = h
	}
	return holder{}, "", false
}

func (r *report) checkShadows(m *Manifest) {
	c := make(claims)
	for i := range m.Services {
		s := &m.Services[i]
		for j := range s.Routes {
			key := routeKey(fmt.Sprintf("services[%d]", i), j)
			h := holder{key: key, service: s.Name, route: s.Routes[j].Name}
			if other, method, taken := c.take(&s.Routes[j], h); taken {
				r.add(key+".path", "shadowed by route %q of service %q in line %d: same host and path, %s",
					other.route, other.service, r.line(other.key), methodText(method))
			}
		}
	}
	r.checkUnreachable(c)
}

func (r *report) checkUnreachable(c claims) {
	for _, byMethod := range c {
		free := func(method string) bool {
			_, taken := byMethod[method]
			return !taken
		}
		if h, ok := byMethod[anyMethod]; ok && !slices.ContainsFunc(methods, free) {
			r.add(h.key+".path", "cannot be reached: other routes of the same host and path list every method")
		}
	}
}

func methodText(method string) string {
	if method == anyMethod {
		return "any method"
	}
	return "method " + method
}
