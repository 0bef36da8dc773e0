package loadbalancer

import (
	"slices"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

const maxSampleRounds = 4 // rounds of sampling per tier before all targets are scanned

// Request describes a request for which Pick chooses a target.
type Request struct {
	Idempotent bool
	Class      fleet.Class
	Exclude    []string // IDs of targets that must not be picked, such as those of earlier attempts
}

// Outcome tells how an attempt at a picked target ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	Succeeded Outcome = iota // complete response
	Failed                   // error, timeout, truncation or stall at the target
	Shed                     // refused by the target or its host node because of load
	Refused                  // refused by the host node for another reason, such as draining
	LinkFault                // the connection to the host node failed
	Canceled                 // canceled by the caller; says nothing about the target
)

// Selection is the target chosen by Pick. Done must be called exactly once.
type Selection struct {
	Endpoint *fleet.Endpoint // shared and immutable
	Trial    bool            // the request is a trial request to an ejected target
	balancer *Balancer
	service  string
	load     *Load
}

// Result describes the end of an attempt.
type Result struct {
	Outcome      Outcome
	ReportedLoad int           // requests at the target as reported by its host node; negative if not reported
	RetryAfter   time.Duration // backoff requested by a target that sheds load; 0 for none
}

// Errors of Pick.
var (
	errNoTarget    = resultcode.New(resultcode.NoTarget, "no target is available for the request")
	errAllShedding = resultcode.New(resultcode.ShedByTarget, "all available targets are shedding load")
)

// Pick chooses a target of the named service and counts the request as
// outstanding there. The error is a *resultcode.Error with code NoTarget, or with
// code ShedByTarget if every remaining target is in backoff because it refused a
// request.
func (b *Balancer) Pick(now time.Duration, name string, r Request) (Selection, error) {
	snapshot := b.Snapshot(name)
	if snapshot == nil {
		return Selection{}, errNoTarget
	}
	m, trial, err := snapshot.choose(now, r, b.cfg.Choices)
	if err != nil {
		return Selection{}, err
	}
	m.load.outstanding.Add(1)
	return Selection{m.endpoint, trial, b, name, m.load}, nil
}

// Done ends the attempt and records its result in the Load of the target.
func (s *Selection) Done(now time.Duration, r Result) {
	s.load.outstanding.Add(-1)
	if r.ReportedLoad >= 0 && r.Outcome != LinkFault && r.Outcome != Canceled {
		s.load.recordReport(now, r.ReportedLoad)
	}
	switch r.Outcome {
	case Succeeded:
		s.load.recordSuccess()
	case Failed:
		s.load.recordFailure()
	case Shed:
		s.load.recordShed(now, r.RetryAfter)
	case LinkFault:
		s.load.recordLinkFault(now)
		s.balancer.rebuildService(now, s.service)
		return
	case Canceled:
		return
	}
	if s.load.clearLinkFault() {
		s.balancer.rebuildService(now, s.service)
	}
}

// choose returns the target for r and whether it is a trial request.
func (s *Snapshot) choose(now time.Duration, r Request, choices int) (*member, bool, error) {
	if m := s.chooseTrial(now, r); m != nil {
		return m, true, nil
	}
	if m := s.sampleTiers(now, r, choices); m != nil {
		return m, false, nil
	}
	var best *member
	for i := range s.tiers {
		best = lessLoaded(now, best, s.tiers[i].scan(now, r))
	}
	if best != nil {
		return best, false, nil
	}
	return s.lastResort(now, r)
}

// sampleTiers returns a target from the nearest tier in which a sampled target
// has a free slot, or else the least loaded of all sampled targets.
func (s *Snapshot) sampleTiers(now time.Duration, r Request, choices int) *member {
	var best *member
	for i := range s.tiers {
		m := s.tiers[i].sample(now, r, choices, s.rand)
		if m != nil && m.load.estimate(now) < m.capacity {
			return m
		}
		best = lessLoaded(now, best, m)
	}
	return best
}

// chooseTrial assigns an idempotent request to the trial pool, with a probability
// equal to the pool's share of the total capacity. It returns nil if the request
// is not a trial request.
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

// lastResort returns a target in shed backoff for an order, since orders are the
// last class to be refused. For other classes it returns the error. It never
// returns ejected or excluded targets.
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
		return nil, false, errAllShedding
	}
	return nil, false, errNoTarget
}

// usable reports whether m can take r now.
func (m *member) usable(now time.Duration, r Request) bool {
	return !m.load.shedding(now) && !m.load.linkDown(now) && !slices.Contains(r.Exclude, m.endpoint.ID)
}

// relativeLoad returns the load of m relative to its capacity, increased by recent
// failures.
func (m *member) relativeLoad(now time.Duration) float64 {
	penalty := 1 + float64(m.load.failures.Load())
	load := m.load.estimate(now)
	if penalty > 1 {
		load++ // so that an idle target with failures ranks behind an idle one without
	}
	return load * penalty / m.capacity
}

// lessLoaded returns the member with the lower relative load, or a if they are
// equal. Either may be nil.
func lessLoaded(now time.Duration, a, b *member) *member {
	if a == nil {
		return b
	}
	if b == nil || a.relativeLoad(now) <= b.relativeLoad(now) {
		return a
	}
	return b
}

// sample draws members in proportion to their weights and returns the least loaded
// usable one, or nil if it drew none.
func (p *pool) sample(now time.Duration, r Request, choices int, rand func() float64) *member {
	if len(p.members) == 0 {
		return nil
	}
	var best *member
	total := p.total()
	for i := 0; i < maxSampleRounds*choices; i++ {
		m := p.at(rand() * total)
		if m != best && m.usable(now, r) {
			best = lessLoaded(now, best, m)
		}
		if best != nil && i+1 >= choices {
			return best
		}
	}
	return best
}

// scan returns the least loaded usable member, or nil if there is none.
func (p *pool) scan(now time.Duration, r Request) *member {
	var best *member
	for i := range p.members {
		m := &p.members[i]
		if m.usable(now, r) {
			best = lessLoaded(now, best, m)
		}
	}
	return best
}
