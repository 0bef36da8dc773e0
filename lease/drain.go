package lease

import "slices"

// MayStop reports whether a draining process is no longer needed: it is in no
// current group, and no group waits for its acknowledgement. A member that
// stops before the next group is active can block that group permanently,
// because a majority of the members of its own group may then never
// acknowledge.
func (c *Core) MayStop() bool { return len(c.Pending()) == 0 }

// Pending returns the names of the services that still need this process.
func (c *Core) Pending() []string {
	var names []string
	for _, s := range c.participating {
		if s.needsMember(c) {
			names = append(names, s.name)
		}
	}
	return names
}

func (s *service) needsMember(c *Core) bool {
	if slices.Contains(s.current.Members, c.self) {
		return true
	}
	return s.activeEpoch < s.current.Epoch && slices.Contains(s.base.Members, c.self)
}
