package lease

import (
	"time"

	"hyssopbridge/fleet"
)

// Protocol parameters.
const (
	// Term is how long a confirmation is valid.
	Term = 3 * time.Second
	// DriftMargin is added to Term before a new epoch becomes active. It covers
	// monotonic clocks whose rates differ by up to 10%.
	DriftMargin = Term / 10
	// RenewInterval is the time between renewals. Half of Term allows one lost
	// message without losing the lease.
	RenewInterval = Term / 2
	// UseTimeout is how long the lease of a service is renewed after its last
	// use.
	UseTimeout = 60 * time.Second
	// ProposalDelay is how long a member must be dead or draining, or the group
	// smaller than possible, before a new group is proposed.
	ProposalDelay = 10 * time.Second
	// FirstProposalDelay is the delay before the first group of a service is
	// proposed. It lets the announcements of several nodes arrive.
	FirstProposalDelay = 2 * time.Second
	// RankDelay separates the proposals of different nodes, so that the first
	// is usually accepted and known before the second is sent.
	RankDelay = 2 * time.Second
	// MaxMembers is the maximum number of members of a home group.
	MaxMembers = 5
)

// Group is a home group that was accepted in the log.
type Group struct {
	fleet.HomeGroup
	Base       int64 // epoch that this group replaces; 0 for the first
	AcceptedMS int64 // log time of the record, Unix ms
	// Forced means that an operator has confirmed that no member of the base
	// epoch acts any more. It replaces the acknowledgements, but not the wait.
	Forced bool
}

// Condition is the membership state of a candidate.
type Condition uint8

// Conditions. A suspect node counts as Alive.
const (
	Alive Condition = iota
	Draining
	Dead
)

// Candidate is a node that runs instances of a service.
type Candidate struct {
	fleet.Member
	Zone      string
	Condition Condition
}

// Proposal is a home group to be appended to the log. It is accepted if Base
// is the current epoch.
type Proposal struct {
	Service string
	Base    int64
	Members []fleet.Member
}

// Output contains the messages to send and the proposals to append to the log
// after a Tick.
type Output struct {
	Messages  []Message
	Proposals []Proposal
}
