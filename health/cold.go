package health

import (
	"math"
	"time"
)

const (
	coldGrace   = 30 * time.Second // longest time that a slow start is excused
	coldAnswers = 8                // normal answers that end a cold start
	coldLevel   = math.Ln2         // a normal answer is below twice the median
	idleMin     = 2 * time.Second
	idleFactor  = 15 // an idle gap is this many times the usual gap
	gapWeight   = 0.1
)

// coldState infers whether a target has just started.
type coldState struct {
	cold      bool
	since     time.Duration // start of the first request of the cold start
	started   bool
	joined    bool // known since after the first list, or idle since
	normal    int
	lastStart time.Duration
	gap       float64 // usual time between requests, in seconds
}

// onStart notes a request; withheld is set when an ejection explains a gap.
func (s *coldState) onStart(now time.Duration, withheld bool) {
	if !s.started {
		s.started = true
		s.since = now
		s.lastStart = now
		return
	}
	gap := (now - s.lastStart).Seconds()
	s.lastStart = now
	if withheld {
		return
	}
	if !s.cold && s.isIdle(gap) {
		s.begin(now)
		return
	}
	if s.gap == 0 {
		s.gap = gap
	}
	s.gap += gapWeight * (gap - s.gap)
}

func (s *coldState) isIdle(gap float64) bool {
	return s.gap > 0 && gap > idleMin.Seconds() && gap > idleFactor*s.gap
}

func (s *coldState) begin(now time.Duration) {
	s.cold = true
	s.joined = true
	s.started = true
	s.since = now
	s.normal = 0
}

// onAnswer ends a cold start after a run of normal answers.
func (s *coldState) onAnswer(level float64) {
	if !s.cold {
		return
	}
	if level > coldLevel {
		s.normal = 0
		return
	}
	s.normal++
	if s.normal >= coldAnswers {
		s.cold = false
	}
}

func (s *coldState) onTick(now time.Duration) {
	if s.cold && s.started && now-s.since > coldGrace {
		s.cold = false
	}
}

// unproven reports whether the target does not yet count as healthy capacity.
// Targets of the first list count: a new arbiter has seen no work of theirs.
func (s *coldState) unproven() bool { return s.cold && s.joined }
