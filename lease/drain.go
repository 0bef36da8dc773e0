package lease

import "slices"

// MayStop reports whether a leaving process is no longer needed: it is in no
// current group, and no group waits for its acknowledgement. A member that
// stops before its successor group is active can block that group for good,
// because a majority of its own group may then never acknowledge.
func (c *Core) MayStop() bool { return len(c.Pending()) == 0 }

// Pending returns the services that still need this process, by name.
func (c *Core) Pending() []string {
	var names []string
	for _, s := range c.mine {
		if s.needs(c) {
			names = append(names, s.name)
		}
	}
	return names
}

func (s *service) needs(c *Core) bool {
	if slices.Contains(s.current.Members, c.self) {
		return true
	}
	return s.activeEpoch < s.current.Epoch && slices.Contains(s.base.Members, c.self)
}
