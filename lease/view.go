package lease

import (
	"time"

	"hyssopbridge/fleet"
)

// View is an immutable snapshot of the decisions of a Core for the goroutines
// that serve requests. A lease in it is valid until its deadline, whatever the
// Core learns later, because a later epoch waits until all earlier
// confirmations have expired.
type View struct {
	grants map[string]Grant
	groups map[string]knownGroup
}

// Grant is a lease that this process holds.
type Grant struct {
	Epoch      int64
	Deadline   time.Duration // monotonic time of this process
	ActiveWall int64         // see Core.ActiveSince
}

// knownGroup is the latest known group of a service and its minimum epoch.
type knownGroup struct {
	minEpoch int64
	group    fleet.HomeGroup
}

// View returns a snapshot of the current decisions. Views share unchanged
// parts, so a new one per tick is cheap.
func (c *Core) View(now time.Duration) *View {
	v := &View{grants: make(map[string]Grant, len(c.participating)), groups: c.knownGroups()}
	for _, s := range c.participating {
		if epoch, deadline, ok := c.Holds(now, s.name); ok {
			v.grants[s.name] = Grant{Epoch: epoch, Deadline: deadline, ActiveWall: s.activeWall}
		}
	}
	return v
}

func (c *Core) knownGroups() map[string]knownGroup {
	if c.sharedGroups == nil {
		c.sharedGroups = make(map[string]knownGroup, len(c.services))
		for name, s := range c.services {
			c.sharedGroups[name] = knownGroup{minEpoch: s.minEpoch, group: s.current.HomeGroup}
		}
	}
	return c.sharedGroups
}

// Holds returns the lease of a service if it is valid at now, which must have
// been read after the request arrived.
func (v *View) Holds(now time.Duration, service string) (g Grant, ok bool) {
	g, ok = v.grants[service]
	if !ok || now >= g.Deadline {
		return Grant{}, false
	}
	return g, true
}

// Admits reports whether the given epoch is admitted, which is the case if no
// later one is known, and whether it is unseen. The caller passes an unseen
// epoch to Core.Admits, which records it.
func (v *View) Admits(service string, epoch int64) (admitted, unseen bool) {
	minEpoch := v.groups[service].minEpoch
	return epoch > 0 && epoch >= minEpoch, epoch > minEpoch
}

// Home returns the home of a key in the latest known group of a service.
func (v *View) Home(service, key string) (home fleet.Member, ok bool) {
	return HomeIn(v.groups[service].group, key)
}
