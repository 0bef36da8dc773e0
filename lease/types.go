package lease

import (
	"time"

	"hyssopbridge/fleet"
)

// Protocol times.
const (
	// Term is the validity of one confirmation.
	Term = 3 * time.Second
	// DriftMargin is added to Term before a new epoch acts. It covers monotonic
	// clocks whose rates differ by up to 10%.
	DriftMargin = Term / 10
	// RenewInterval is the interval of renewals: half the Term, so that one lost
	// message does not end a lease.
	RenewInterval = Term / 2
	// UseTimeout is how long a service is renewed after its last use.
	UseTimeout = 60 * time.Second
	// ProposalDelay is how long a member must be dead or leaving, or the group
	// smaller than possible, before a new group is proposed.
	ProposalDelay = 10 * time.Second
	// FirstProposalDelay is the delay of the first group of a service; it lets
	// announcements of several nodes arrive.
	FirstProposalDelay = 2 * time.Second
	// RankDelay separates the proposals of different nodes, so that the first
	// is usually accepted and known before the second is made.
	RankDelay = 2 * time.Second
	// MaxMembers is the largest size of a home group.
	MaxMembers = 5
)

// Group is a home group as accepted from the log.
type Group struct {
	fleet.HomeGroup
	Base       int64 // epoch that this group replaces; 0 for the first
	AcceptedMS int64 // log time of the record, Unix ms
	// Forced states that an operator has confirmed that no member of the base
	// epoch acts any more. It replaces the acknowledgements, not the wait.
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

// Output is what the caller sends and appends after a Tick.
type Output struct {
	Messages  []Message
	Proposals []Proposal
}
