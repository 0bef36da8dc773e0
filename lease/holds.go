package lease

import (
	"slices"
	"time"

	"hyssopbridge/fleet"
)

// Holds reports whether this process may act for the service, in which epoch
// and until when. now must be read after the request in question arrived.
func (c *Core) Holds(now time.Duration, name string) (epoch int64, deadline time.Duration, ok bool) {
	s := c.services[name]
	if s == nil || s.floor > s.current.Epoch || s.activeEpoch != s.current.Epoch {
		return 0, 0, false
	}
	if !slices.Contains(s.current.Members, c.self) {
		return 0, 0, false
	}
	deadline = c.confirmedUntil(now, s)
	if deadline <= now {
		return 0, 0, false
	}
	return s.current.Epoch, deadline, true
}

// confirmedUntil returns the time until which a majority has confirmed the
// current epoch. The process confirms itself, because it knows no later epoch.
func (c *Core) confirmedUntil(now time.Duration, s *service) time.Duration {
	ends := make([]time.Duration, 0, MaxMembers)
	for _, m := range s.current.Members {
		if m == c.self {
			ends = append(ends, now+Term)
			continue
		}
		if end, ok := s.confirmed[m.Node]; ok {
			ends = append(ends, end)
		}
	}
	need := majority(len(s.current.Members))
	if len(ends) < need {
		return 0
	}
	slices.Sort(ends)
	return ends[len(ends)-need]
}

// ActiveSince returns the newest epoch known to be active and the wall time at
// which this process learned that; ok is false if it is not the current epoch.
func (c *Core) ActiveSince(name string) (epoch, wallMS int64, ok bool) {
	s := c.services[name]
	if s == nil || s.current.Epoch == 0 || s.activeEpoch != s.current.Epoch {
		return 0, 0, false
	}
	return s.activeEpoch, s.activeWall, true
}

// Admits reports whether this node, as host node, may start an order of the
// given epoch: it knows no later epoch. An order of a later epoch than the
// known one is proof that this epoch was accepted and is remembered. The
// caller also checks the lease deadline that was sent with the order.
func (c *Core) Admits(_ time.Duration, name string, epoch int64) bool {
	if epoch <= 0 {
		return false
	}
	s := c.service(name)
	if epoch < s.floor {
		return false
	}
	c.raise(s, epoch)
	return true
}

// Group returns the newest known group of a service.
func (c *Core) Group(name string) (Group, bool) {
	s := c.services[name]
	if s == nil || s.current.Epoch == 0 {
		return Group{}, false
	}
	return s.current, true
}

// MinEpoch returns the latest epoch of a service that this node knows or has
// acknowledged, for use in a snapshot of Admits.
func (c *Core) MinEpoch(name string) int64 {
	if s := c.services[name]; s != nil {
		return s.floor
	}
	return 0
}

// IsMember reports whether this process is a member of the newest known group.
func (c *Core) IsMember(name string) bool {
	s := c.services[name]
	return s != nil && slices.Contains(s.current.Members, c.self)
}

// Self returns the node and incarnation of this process.
func (c *Core) Self() fleet.Member { return c.self }
