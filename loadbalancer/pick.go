package loadbalancer

import (
	"slices"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

const sampleTries = 4 // rounds of sampling before all targets are looked at

// Request describes what a pick must respect.
type Request struct {
	Idempotent bool
	Class      fleet.Class
	Exclude    []string // IDs of targets already tried
}

// Outcome is how an attempt at a picked target ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	Succeeded Outcome = iota // complete response
	Failed                   // error, timeout, truncation or stall at the target
	Shed                     // refused because of load
	Refused                  // refused by the host node for another reason, such as leaving
	LinkFault                // no connection to the host node could be made
	Canceled                 // ended by the caller; says nothing about the target
)

// Selection is a chosen target. Done must be called exactly once.
type Selection struct {
	Endpoint *fleet.Endpoint // shared and immutable
	Trial    bool            // trial work of a target that returns
	balancer *Balancer
	service  string
	load     *Load
}

// Result reports an attempt to Done.
type Result struct {
	Outcome      Outcome
	ReportedLoad int           // requests at the target as told by its host node; negative if not told
	RetryAfter   time.Duration // asked for by a target that sheds; 0 if none
}

// Errors of Pick.
var (
	errNoTarget = resultcode.New(resultcode.NoTarget, "no target can take the request")
	errShedding = resultcode.New(resultcode.ShedByTarget, "all targets refuse work for a moment")
)

// Pick chooses a target of the service and counts the request as outstanding
// there. The error is a *resultcode.Error: NoTarget, or ShedByTarget when
// every remaining target has refused work within its backoff.
func (b *Balancer) Pick(now time.Duration, name string, r Request) (Selection, error) {
	set := b.Snapshot(name)
	if set == nil {
		return Selection{}, errNoTarget
	}
	m, trial, err := set.choose(now, r, b.cfg.Choices)
	if err != nil {
		return Selection{}, err
	}
	m.load.outstanding.Add(1)
	return Selection{m.endpoint, trial, b, name, m.load}, nil
}

// Done ends the attempt and records its result.
func (p *Selection) Done(now time.Duration, r Result) {
	p.load.outstanding.Add(-1)
	if r.ReportedLoad >= 0 && r.Outcome != LinkFault && r.Outcome != Canceled {
		p.load.report(now, r.ReportedLoad)
	}
	switch r.Outcome {
	case Succeeded:
		p.load.noteSuccess()
	case Failed:
		p.load.noteFailure()
	case Shed:
		p.load.noteShed(now, r.RetryAfter)
	case LinkFault:
		p.load.noteLinkFault(now)
		p.balancer.relink(now, p.service)
		return
	case Canceled:
		return
	}
	if p.load.noteReached() {
		p.balancer.relink(now, p.service)
	}
}

func (s *Snapshot) choose(now time.Duration, r Request, choices int) (*member, bool, error) {
	if m := s.chooseTrial(now, r); m != nil {
		return m, true, nil
	}
	if m := s.sampleTiers(now, r, choices); m != nil {
		return m, false, nil
	}
	var best *member
	for i := range s.tiers {
		best = lighter(now, best, s.tiers[i].scan(now, r))
	}
	if best != nil {
		return best, false, nil
	}
	return s.lastResort(now, r)
}

// sampleTiers takes the nearest tier in which a sampled target has a free
// slot, or the lightest sampled target if none has.
func (s *Snapshot) sampleTiers(now time.Duration, r Request, choices int) *member {
	var best *member
	for i := range s.tiers {
		m := s.tiers[i].sample(now, r, choices, s.rand)
		if m != nil && m.load.work(now) < m.capacity {
			return m
		}
		best = lighter(now, best, m)
	}
	return best
}

// chooseTrial gives an idempotent request to the trial pool with the
// probability of that pool's share of the capacity.
func (s *Snapshot) chooseTrial(now time.Duration, r Request) *member {
	trial := s.trial.total()
	if !r.Idempotent || trial == 0 {
		return nil
	}
	if s.rand()*(trial+s.capacity) >= trial {
		return nil
	}
	m := s.trial.at(s.rand() * trial)
	if !m.usable(now, r) {
		return nil
	}
	return m
}

// lastResort offers targets in shed backoff to orders, which are refused
// last. It never offers withheld or excluded targets.
func (s *Snapshot) lastResort(now time.Duration, r Request) (*member, bool, error) {
	shedding := false
	for i := range s.tiers {
		for k := range s.tiers[i].members {
			m := &s.tiers[i].members[k]
			if m.load.linkDown(now) || slices.Contains(r.Exclude, m.endpoint.ID) {
				continue
			}
			if r.Class == fleet.Order {
				return m, false, nil
			}
			shedding = true
		}
	}
	if shedding {
		return nil, false, errShedding
	}
	return nil, false, errNoTarget
}

func (m *member) usable(now time.Duration, r Request) bool {
	return !m.load.shedding(now) && !m.load.linkDown(now) && !slices.Contains(r.Exclude, m.endpoint.ID)
}

// pressure is the work of m for its capacity; recent failures raise it.
func (m *member) pressure(now time.Duration) float64 {
	suspect := 1 + float64(m.load.failures.Load())
	work := m.load.work(now)
	if suspect > 1 {
		work++ // an idle suspect target loses against an idle one without failures
	}
	return work * suspect / m.capacity
}

// lighter returns the member with less pressure; a wins a tie.
func lighter(now time.Duration, a, b *member) *member {
	if a == nil {
		return b
	}
	if b == nil || a.pressure(now) <= b.pressure(now) {
		return a
	}
	return b
}

// sample draws members in proportion to their weight and returns the lightest
// usable one, or nil if the draws found none.
func (p *pool) sample(now time.Duration, r Request, choices int, rand func() float64) *member {
	if len(p.members) == 0 {
		return nil
	}
	var best *member
	total := p.total()
	for i := 0; i < sampleTries*choices; i++ {
		m := p.at(rand() * total)
		if m != best && m.usable(now, r) {
			best = lighter(now, best, m)
		}
		if best != nil && i+1 >= choices {
			return best
		}
	}
	return best
}

// scan returns the lightest usable member.
func (p *pool) scan(now time.Duration, r Request) *member {
	var best *member
	for i := range p.members {
		m := &p.members[i]
		if m.usable(now, r) {
			best = lighter(now, best, m)
		}
	}
	return best
}
