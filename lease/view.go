package lease

import (
	"time"

	"hyssopbridge/fleet"
)

// View is an immutable copy of the decisions of a Core for traffic goroutines.
// A lease in it is valid until its deadline, whatever the Core learns later: a
// later epoch waits until every confirmation given before has ended.
type View struct {
	grants map[string]Grant
	known  map[string]knownGroup
}

// Grant is a lease held by this process.
type Grant struct {
	Epoch      int64
	Deadline   time.Duration // monotonic time of this process
	ActiveWall int64         // see Core.ActiveSince
}

type knownGroup struct {
	floor int64
	group fleet.HomeGroup
}

// View returns the current decisions. Views share what has not changed, so a
// new one per tick costs little.
func (c *Core) View(now time.Duration) *View {
	v := &View{grants: make(map[string]Grant, len(c.mine)), known: c.knownGroups()}
	for _, s := range c.mine {
		if epoch, deadline, ok := c.Holds(now, s.name); ok {
			v.grants[s.name] = Grant{Epoch: epoch, Deadline: deadline, ActiveWall: s.activeWall}
		}
	}
	return v
}

func (c *Core) knownGroups() map[string]knownGroup {
	if c.known == nil {
		c.known = make(map[string]knownGroup, len(c.services))
		for name, s := range c.services {
			c.known[name] = knownGroup{floor: s.floor, group: s.current.HomeGroup}
		}
	}
	return c.known
}

// Holds returns the lease of a service if it is valid at now, which must be
// read after the request arrived.
func (v *View) Holds(now time.Duration, service string) (g Grant, ok bool) {
	g, ok = v.grants[service]
	if !ok || now >= g.Deadline {
		return Grant{}, false
	}
	return g, true
}

// Admits reports whether no later epoch than the given one is known. The
// caller passes an epoch that it has not seen before to Core.Admits, which
// remembers it.
func (v *View) Admits(service string, epoch int64) (admitted, unseen bool) {
	floor := v.known[service].floor
	return epoch > 0 && epoch >= floor, epoch > floor
}

// Home returns the home of a key in the newest known group of a service.
func (v *View) Home(service, key string) (home fleet.Member, ok bool) {
	return HomeIn(v.known[service].group, key)
}
