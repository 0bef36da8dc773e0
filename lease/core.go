package lease

import (
	"slices"
	"strings"
	"time"

	"hyssopbridge/fleet"
)

// Core is the lease state machine of one node.
type Core struct {
	self          fleet.Member
	services      map[string]*service
	participating []*service // services in which this node participates, sorted by name
	nextRequest   time.Duration
	requestNow    bool                  // the next Tick sends requests without waiting for nextRequest
	sharedGroups  map[string]knownGroup // shared between views; nil after a change
}

// service is the state of one service as this node knows it.
type service struct {
	name     string
	minEpoch int64 // latest known or acknowledged epoch; earlier ones are refused
	current  Group
	base     Group
	hasBase  bool

	learnedAt     time.Duration            // when this node learned of current
	acks          map[string]time.Duration // by node ID of a base member: time of its acknowledgement
	confirmed     map[string]time.Duration // by node ID of a current member: end of its confirmation
	lastAnswers   map[string]time.Duration // by node ID of a current member: latest answer of that or a later incarnation
	activeEpoch   int64                    // latest epoch known to be active; 0 if none
	activeWall    int64                    // when this node learned that activeEpoch is active, Unix ms
	inUseUntil    time.Duration
	awaitingLease bool // in use but not confirmed by a majority

	candidates    []Candidate
	next          []fleet.Member // members that the next group should have, from candidates
	changePending bool
	changeSince   time.Duration
	proposedAt    time.Duration
	proposed      bool
}

// New returns the core of a process that has just started. self is its node ID
// and incarnation.
func New(self fleet.Member) *Core {
	return &Core{self: self, services: map[string]*service{}}
}

func (c *Core) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{
			name:        name,
			acks:        map[string]time.Duration{},
			confirmed:   map[string]time.Duration{},
			lastAnswers: map[string]time.Duration{},
		}
		c.services[name] = s
	}
	return s
}

// SetGroups sets the accepted groups of a service, oldest first. Only the last
// one and its base are used. The call is ignored unless the last one is newer
// than the known group.
func (c *Core) SetGroups(now time.Duration, wallMS int64, name string, groups []Group) {
	if len(groups) == 0 {
		return
	}
	last := groups[len(groups)-1]
	s := c.service(name)
	if last.Epoch <= s.current.Epoch {
		return
	}
	s.current = last
	s.base, s.hasBase = findBase(groups, last.Base)
	c.sharedGroups = nil
	c.raiseMinEpoch(s, last.Epoch)
	s.learnedAt = now
	clear(s.acks)
	clear(s.confirmed)
	clear(s.lastAnswers)
	s.changePending = false
	s.proposed = false
	s.next = nextMembers(s)
	c.updateParticipating(s)
	c.updateActive(now, wallMS, s)
	c.requestNow = true
}

func findBase(groups []Group, epoch int64) (Group, bool) {
	for _, g := range groups {
		if epoch != 0 && g.Epoch == epoch {
			return g, true
		}
	}
	return Group{}, false
}

// updateParticipating adds s to the services in which this node participates,
// or removes it.
func (c *Core) updateParticipating(s *service) {
	i, found := slices.BinarySearchFunc(c.participating, s.name, func(a *service, name string) int {
		return strings.Compare(a.name, name)
	})
	in := s.participates(c.self)
	if in && !found {
		c.participating = slices.Insert(c.participating, i, s)
	}
	if !in && found {
		c.participating = slices.Delete(c.participating, i, i+1)
	}
}

// participates reports whether the node, in any incarnation, is a member of the
// current or base group, or may propose the first group.
func (s *service) participates(self fleet.Member) bool {
	if s.current.Epoch == 0 {
		return candidateIndex(s.candidates, self.Node) >= 0
	}
	return memberIndex(s.current.Members, self.Node) >= 0 || memberIndex(s.base.Members, self.Node) >= 0
}

func memberIndex(members []fleet.Member, node string) int {
	return slices.IndexFunc(members, func(m fleet.Member) bool { return m.Node == node })
}

func candidateIndex(candidates []Candidate, node string) int {
	return slices.IndexFunc(candidates, func(m Candidate) bool { return m.Node == node })
}

// raiseMinEpoch refuses all epochs of a service before the given one from now
// on.
func (c *Core) raiseMinEpoch(s *service, epoch int64) {
	if epoch > s.minEpoch {
		s.minEpoch = epoch
		c.sharedGroups = nil
	}
}

func majority(n int) int { return n/2 + 1 }

// MarkInUse marks a service as in use, so that its lease is renewed for
// UseTimeout. The first use without a lease requests one immediately. While a
// majority does not respond, further uses wait for the periodic renewals.
func (c *Core) MarkInUse(now time.Duration, name string) {
	s := c.services[name]
	if s == nil {
		return
	}
	s.inUseUntil = now + UseTimeout
	_, _, held := c.Holds(now, name)
	if !held && !s.awaitingLease {
		c.requestNow = true
	}
	s.awaitingLease = !held
}
