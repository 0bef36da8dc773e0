package burn

import (
	"cmp"
	"slices"
	"strings"
)

// maxContributors bounds the targets, and also the customers, that an interval
// tracks.
const maxContributors = 64

// contributors tracks the names with the most bad requests in bounded memory, with
// the space-saving algorithm: a new name replaces the name with the fewest and
// inherits its count, so that no name with more bad requests than that is missed.
type contributors struct{ list []Contributor }

func (c *contributors) add(service, name string) {
	if name == "" {
		return
	}
	least := 0
	for i := range c.list {
		e := &c.list[i]
		if e.Name == name && e.Service == service {
			e.Bad++
			return
		}
		if e.Bad < c.list[least].Bad {
			least = i
		}
	}
	// The name may be a substring of a whole header section. Cloning it lets the
	// header section be freed.
	name = strings.Clone(name)
	if len(c.list) < maxContributors {
		c.list = append(c.list, Contributor{Service: service, Name: name, Bad: 1})
		return
	}
	over := c.list[least].Bad
	c.list[least] = Contributor{Service: service, Name: name, Bad: over + 1, MaxOvercount: over}
}

func (c *contributors) sorted() []Contributor {
	list := slices.Clone(c.list)
	slices.SortFunc(list, func(a, b Contributor) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), strings.Compare(a.Service, b.Service), strings.Compare(a.Name, b.Name))
	})
	return list
}
