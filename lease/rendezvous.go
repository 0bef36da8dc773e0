package lease

import (
	"github.com/cespare/xxhash/v2"

	"hyssopbridge/fleet"
)

// score returns the rendezvous hash of a node for a key of a service. It
// ignores the incarnation, so a restart does not move keys.
func score(service, key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	sep := []byte{0}
	_, _ = d.WriteString(service)
	_, _ = d.Write(sep)
	_, _ = d.WriteString(key)
	_, _ = d.Write(sep)
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// HomeIn returns the home of a key within a group; ok is false for a group
// without members. An empty key selects the arbiter of the service.
func HomeIn(g fleet.HomeGroup, key string) (home fleet.Member, ok bool) {
	var best uint64
	for _, m := range g.Members {
		w := score(g.Service, key, m.Node)
		if !ok || w > best || w == best && m.Node < home.Node {
			home, best, ok = m, w, true
		}
	}
	return home, ok
}

// Home returns the home of a key in the latest known group of a service.
func (c *Core) Home(service, key string) (home fleet.Member, ok bool) {
	s := c.services[service]
	if s == nil {
		return fleet.Member{}, false
	}
	return HomeIn(s.current.HomeGroup, key)
}

// Arbiter returns the member that publishes ejection lists for a service while
// it holds the lease.
func (c *Core) Arbiter(service string) (arbiter fleet.Member, ok bool) {
	return c.Home(service, "")
}
