package lease

import (
	"cmp"
	"slices"
	"time"

	"hyssopbridge/fleet"
)

// SetCandidates sets the nodes that run instances of a service, with their
// membership state. Members of the current group that are missing from the
// list, or listed with another incarnation, count as dead.
func (c *Core) SetCandidates(name string, candidates []Candidate) {
	s := c.service(name)
	s.candidates = slices.Clone(candidates)
	slices.SortFunc(s.candidates, func(a, b Candidate) int { return cmp.Compare(a.Node, b.Node) })
	s.next = nextMembers(s)
	c.updateParticipating(s)
}

// propose returns the next group once a change has been needed for at least
// proposalDelay and this node may propose.
func (c *Core) propose(now time.Duration, s *service) (Proposal, bool) {
	if !changeNeeded(s, s.next) {
		s.changePending = false
		s.proposed = false
		return Proposal{}, false
	}
	if !s.changePending {
		s.changePending = true
		s.changeSince = now
	}
	if now < s.changeSince+c.proposalDelay(s) || !c.mayPropose(now, s) {
		return Proposal{}, false
	}
	if s.proposed && now < s.proposedAt+ProposalDelay {
		return Proposal{}, false
	}
	s.proposed = true
	s.proposedAt = now
	return Proposal{Service: s.name, Base: s.current.Epoch, Members: slices.Clone(s.next)}, true
}

// mayPropose reports whether this node may propose a group. The current epoch
// must be known to be active, so that no other epoch can hold leases. A
// majority of its nodes must have responded within Term, so that the next epoch
// can become active; otherwise a minority that reaches the log could stop a
// majority that is serving.
func (c *Core) mayPropose(now time.Duration, s *service) bool {
	if s.current.Epoch == 0 {
		return true
	}
	if s.minEpoch > s.current.Epoch || s.activeEpoch != s.current.Epoch {
		return false
	}
	if memberIndex(s.current.Members, c.self.Node) < 0 {
		return false
	}
	reached := 0
	for _, m := range s.current.Members {
		at, ok := s.lastAnswers[m.Node]
		if m.Node == c.self.Node || ok && now-at <= Term {
			reached++
		}
	}
	return reached >= majority(len(s.current.Members))
}

// proposalDelay returns ProposalDelay, or FirstProposalDelay for the first
// group, plus RankDelay for each live proposer that precedes this node in
// rendezvous order.
func (c *Core) proposalDelay(s *service) time.Duration {
	delay := ProposalDelay
	if s.current.Epoch == 0 {
		delay = FirstProposalDelay
	}
	own := score(s.name, "", c.self.Node)
	for _, k := range s.candidates {
		if k.Condition == Alive && k.Node != c.self.Node && s.isProposer(k.Node) && score(s.name, "", k.Node) > own {
			delay += RankDelay
		}
	}
	return delay
}

func (s *service) isProposer(node string) bool {
	return s.current.Epoch == 0 || memberIndex(s.current.Members, node) >= 0
}

// changeNeeded reports whether a member must be replaced or one can be added.
func changeNeeded(s *service, next []fleet.Member) bool {
	if len(next) == 0 {
		return false
	}
	return len(next) > len(s.current.Members) || hasLostMember(s, next)
}

func hasLostMember(s *service, next []fleet.Member) bool {
	for _, m := range s.current.Members {
		if !slices.Contains(next, m) {
			return true
		}
	}
	return false
}

// nextMembers returns the live members of the current group, plus live
// candidates up to MaxMembers. Each is taken from a zone with the fewest
// members.
func nextMembers(s *service) []fleet.Member {
	var next []fleet.Member
	zones := map[string]int{}
	var rest []Candidate
	for _, k := range s.candidates {
		switch {
		case k.Condition != Alive:
		case slices.Contains(s.current.Members, k.Member):
			next = append(next, k.Member)
			zones[k.Zone]++
		default:
			rest = append(rest, k)
		}
	}
	for len(next) < MaxMembers && len(rest) > 0 {
		i := bestCandidate(s.name, rest, zones)
		next = append(next, rest[i].Member)
		zones[rest[i].Zone]++
		rest = slices.Delete(rest, i, i+1)
	}
	slices.SortFunc(next, func(a, b fleet.Member) int { return cmp.Compare(a.Node, b.Node) })
	return next
}

func bestCandidate(service string, rest []Candidate, zones map[string]int) int {
	best := 0
	for i := 1; i < len(rest); i++ {
		a, b := rest[i], rest[best]
		if zones[a.Zone] != zones[b.Zone] {
			if zones[a.Zone] < zones[b.Zone] {
				best = i
			}
			continue
		}
		if score(service, "", a.Node) > score(service, "", b.Node) {
			best = i
		}
	}
	return best
}
