package manifest

import "fmt"

// CrossCheck compares a valid manifest with the accepted manifests of other
// mandates in force. It reports services that belong to another mandate, and
// routes with the same host, path and method as a route of another mandate. data
// is the source text of m, used to locate the problems.
func CrossCheck(name string, data []byte, m *Manifest, others []*Manifest) []Problem {
	owners := make(map[string]string)
	c := make(routeClaims)
	for _, o := range others {
		for i := range o.Services {
			s := &o.Services[i]
			owners[s.Name] = o.Mandate
			c.claimAll(o.Mandate, s)
		}
	}
	_, r := read(name, data)
	r.problems = nil
	for i := range m.Services {
		r.crossCheckService(fmt.Sprintf("services[%d]", i), &m.Services[i], owners, c)
	}
	return r.sortedProblems()
}

// claimAll claims the methods of all routes of a service.
func (c routeClaims) claimAll(mandate string, s *Service) {
	for i := range s.Routes {
		c.claim(&s.Routes[i], routeRef{mandate: mandate, service: s.Name, route: s.Routes[i].Name})
	}
}

// crossCheckService reports a service that another mandate owns and routes that
// another mandate has claimed.
func (r *report) crossCheckService(key string, s *Service, owners map[string]string, c routeClaims) {
	if owner, taken := owners[s.Name]; taken {
		r.add(key+".name", "service %q belongs to mandate %q", s.Name, owner)
	}
	for i := range s.Routes {
		at := routeKey(key, i)
		if other, method, taken := c.claim(&s.Routes[i], routeRef{key: at}); taken {
			r.add(at+".path", "shadowed by route %q of service %q of mandate %q: same host and path, %s",
				other.route, other.service, other.mandate, methodText(method))
		}
	}
}
