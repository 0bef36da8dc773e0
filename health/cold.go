package health

import (
	"math"
	"time"
)

const (
	maxColdStart        = 30 * time.Second // a target that stays slow for longer is no longer excused
	coldNormalResponses = 8                // consecutive normal responses that end a cold start
	coldSlowness        = math.Ln2         // a normal response takes less than twice the median
	minIdleGap          = 2 * time.Second
	idleGapFactor       = 15  // a target is idle after this many times its usual gap
	gapSmoothing        = 0.1 // weight of a new gap in the moving average
)

// coldStart infers from a target's traffic whether it has just started.
type coldStart struct {
	active          bool
	since           time.Duration // start of the first request since the target became cold
	seenRequest     bool
	joinedLater     bool // first listed after the initial list, or idle since
	normalResponses int
	lastStart       time.Duration
	usualGap        float64 // moving average of the time between requests, in seconds
}

// onStart records a request; withheld is set if an ejection explains a gap.
func (s *coldStart) onStart(now time.Duration, withheld bool) {
	if !s.seenRequest {
		s.seenRequest = true
		s.since = now
		s.lastStart = now
		return
	}
	gap := (now - s.lastStart).Seconds()
	s.lastStart = now
	if withheld {
		return
	}
	if !s.active && s.isIdle(gap) {
		s.begin(now)
		return
	}
	if s.usualGap == 0 {
		s.usualGap = gap
	}
	s.usualGap += gapSmoothing * (gap - s.usualGap)
}

func (s *coldStart) isIdle(gap float64) bool {
	return s.usualGap > 0 && gap > minIdleGap.Seconds() && gap > idleGapFactor*s.usualGap
}

func (s *coldStart) begin(now time.Duration) {
	s.active = true
	s.joinedLater = true
	s.seenRequest = true
	s.since = now
	s.normalResponses = 0
}

// onResponse ends a cold start after enough consecutive normal responses.
func (s *coldStart) onResponse(slowness float64) {
	if !s.active {
		return
	}
	if slowness > coldSlowness {
		s.normalResponses = 0
		return
	}
	s.normalResponses++
	if s.normalResponses >= coldNormalResponses {
		s.active = false
	}
}

func (s *coldStart) onTick(now time.Duration) {
	if s.active && s.seenRequest && now-s.since > maxColdStart {
		s.active = false
	}
}

// warmingUp reports whether the target does not yet count as healthy capacity.
// Targets of the initial list count, because a new arbiter has not seen any of
// their traffic.
func (s *coldStart) warmingUp() bool { return s.active && s.joinedLater }
