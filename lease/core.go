package lease

import (
	"slices"
	"strings"
	"time"

	"hyssopbridge/fleet"
)

// Core is the lease state of one node.
type Core struct {
	self     fleet.Member
	services map[string]*service
	mine     []*service // services whose current or base group names this node, by name
	nextAsk  time.Duration
	urgent   bool                  // a service needs confirmation before the next renewal
	known    map[string]knownGroup // shared by views; nil after a change
}

// service is the view of one service.
type service struct {
	name    string
	floor   int64 // latest epoch known or acknowledged; earlier ones are refused
	current Group
	base    Group
	hasBase bool

	learned     time.Duration            // when current was learned
	acks        map[string]time.Duration // base member node -> time of its acknowledgement
	confirmed   map[string]time.Duration // current member node -> end of its confirmation
	heard       map[string]time.Duration // current member node -> last answer of any incarnation
	activeEpoch int64                    // latest epoch known to be active
	activeWall  int64                    // Unix ms at which activeEpoch became known
	usedUntil   time.Duration
	waiting     bool // in use without a confirmed lease

	candidates   []Candidate
	next         []fleet.Member // the group that candidates permit
	changeWanted bool
	wantedSince  time.Duration
	proposedAt   time.Duration
	proposed     bool
}

// New returns the state of a process that has just started. self names the
// node and the incarnation of this process.
func New(self fleet.Member) *Core {
	return &Core{self: self, services: map[string]*service{}}
}

func (c *Core) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{
			name:      name,
			acks:      map[string]time.Duration{},
			confirmed: map[string]time.Duration{},
			heard:     map[string]time.Duration{},
		}
		c.services[name] = s
	}
	return s
}

// SetGroups gives the accepted groups of a service, oldest first. Only the last
// and its base are used. An older last group than the known one is ignored.
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
	c.known = nil
	c.raise(s, last.Epoch)
	s.learned = now
	clear(s.acks)
	clear(s.confirmed)
	clear(s.heard)
	s.changeWanted = false
	s.proposed = false
	s.next = nextMembers(s)
	c.updateMine(s)
	c.updateActive(now, wallMS, s)
	c.urgent = true
}

func findBase(groups []Group, epoch int64) (Group, bool) {
	for _, g := range groups {
		if epoch != 0 && g.Epoch == epoch {
			return g, true
		}
	}
	return Group{}, false
}

// updateMine keeps the sorted list of services that this node takes part in.
func (c *Core) updateMine(s *service) {
	i, found := slices.BinarySearchFunc(c.mine, s.name, func(a *service, name string) int {
		return strings.Compare(a.name, name)
	})
	in := s.takesPart(c.self)
	if in && !found {
		c.mine = slices.Insert(c.mine, i, s)
	}
	if !in && found {
		c.mine = slices.Delete(c.mine, i, i+1)
	}
}

// takesPart reports whether the node, in any incarnation, is named in the
// current or base group, or may propose the first group.
func (s *service) takesPart(self fleet.Member) bool {
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

// raise refuses all epochs of a service before the given one.
func (c *Core) raise(s *service, epoch int64) {
	if epoch > s.floor {
		s.floor = epoch
		c.known = nil
	}
}

func majority(n int) int { return n/2 + 1 }

// MarkInUse marks a service as in use, so that its lease is renewed for UseTimeout. The
// first use without a lease asks at once; while a majority does not answer,
// further uses wait for the usual renewals.
func (c *Core) MarkInUse(now time.Duration, name string) {
	s := c.services[name]
	if s == nil {
		return
	}
	s.usedUntil = now + UseTimeout
	_, _, held := c.Holds(now, name)
	if !held && !s.waiting {
		c.urgent = true
	}
	s.waiting = !held
}
