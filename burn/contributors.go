package burn

import (
	"cmp"
	"slices"
	"strings"
)

// maxSpenders bounds the targets, and the customers, that a slot tracks.
const maxSpenders = 64

// spenders keeps the names with the most bad requests in fixed memory: a new
// name replaces the one with the fewest and inherits its count, so that no name
// with more bad requests than that is missed.
type spenders struct{ list []Contributor }

func (s *spenders) add(service, name string) {
	if name == "" {
		return
	}
	least := 0
	for i := range s.list {
		e := &s.list[i]
		if e.Name == name && e.Service == service {
			e.Bad++
			return
		}
		if e.Bad < s.list[least].Bad {
			least = i
		}
	}
	// The name may be part of a header section, which a copy does not keep in
	// memory.
	name = strings.Clone(name)
	if len(s.list) < maxSpenders {
		s.list = append(s.list, Contributor{Service: service, Name: name, Bad: 1})
		return
	}
	over := s.list[least].Bad
	s.list[least] = Contributor{Service: service, Name: name, Bad: over + 1, MaxOvercount: over}
}

func (s *spenders) sorted() []Contributor {
	list := slices.Clone(s.list)
	slices.SortFunc(list, func(a, b Contributor) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), strings.Compare(a.Service, b.Service), strings.Compare(a.Name, b.Name))
	})
	return list
}
