package manifest

import "fmt"

// CrossCheck compares a valid manifest with the accepted manifests of other
// live mandates. It reports services that another mandate owns, and routes
// with the same host, path and method as another mandate's. data is the source
// text of m and gives the positions.
func CrossCheck(name string, data []byte, m *Manifest, others []*Manifest) []Problem {
	owners := make(map[string]string)
	c := make(claims)
	for _, o := range others {
		for i := range o.Services {
			s := &o.Services[i]
			owners[s.Name] = o.Mandate
			c.takeAll(o.Mandate, s)
		}
	}
	_, r := read(name, data)
	r.problems = nil
	for i := range m.Services {
		r.crossService(fmt.Sprintf("services[%d]", i), &m.Services[i], owners, c)
	}
	return r.sorted()
}

func (c claims) takeAll(mandate string, s *Service) {
	for i := range s.Routes {
		c.take(&s.Routes[i], holder{mandate: mandate, service: s.Name, route: s.Routes[i].Name})
	}
}

func (r *report) crossService(key string, s *Service, owners map[string]string, c claims) {
	if owner, taken := owners[s.Name]; taken {
		r.add(key+".name", "service %q belongs to mandate %q", s.Name, owner)
	}
	for i := range s.Routes {
		at := routeKey(key, i)
		if other, method, taken := c.take(&s.Routes[i], holder{key: at}); taken {
			r.add(at+".path", "shadowed by route %q of service %q of mandate %q: same host and path, %s",
				other.route, other.service, other.mandate, methodText(method))
		}
	}
}
