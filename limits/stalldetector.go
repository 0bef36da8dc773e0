package limits

import (
	"sync/atomic"
	"time"

	"hyssopbridge/fleet"
)

const (
	gapMultiple = 20                     // a body has stalled after this many usual gaps
	gapMinimum  = 500 * time.Millisecond // a shorter pause is never a stall
	gapWeight   = 64                     // one new gap moves the usual gap by 1/gapWeight
)

// Gaps keeps the usual gap between two reads of body bytes for each class. The
// zero value is ready; its methods are safe for concurrent use.
type Gaps struct {
	usual [fleet.NumClasses]atomic.Int64 // ns
}

// Record records a gap that ended with a byte.
func (g *Gaps) Record(class fleet.Class, gap time.Duration) {
	u := &g.usual[class]
	old := u.Load()
	if old == 0 {
		u.CompareAndSwap(0, max(1, int64(gap)))
		return
	}
	u.CompareAndSwap(old, max(1, old+(int64(gap)-old)/gapWeight))
}

// Average returns the usual gap of a class, or 0 if none was recorded.
func (g *Gaps) Average(class fleet.Class) time.Duration {
	return time.Duration(g.usual[class].Load())
}

// Limit returns the gap after which a body of the class has stalled: a
// multiple of the usual gap, at least 500 ms and at most stall.
func (g *Gaps) Limit(class fleet.Class, stall time.Duration) time.Duration {
	usual := g.Average(class)
	if usual == 0 {
		return stall
	}
	return min(stall, max(gapMinimum, gapMultiple*usual))
}

// StallDetector watches one body. It is meant for one reader; Deadline and Stalled
// may be called by another goroutine.
type StallDetector struct {
	gaps  *Gaps
	class fleet.Class
	stall time.Duration
	bytes atomic.Int64
	last  atomic.Int64 // time of the last byte, ns
}

// NewStallDetector starts to watch a body. stall is the limit of the route.
func NewStallDetector(gaps *Gaps, class fleet.Class, stall, now time.Duration) *StallDetector {
	p := &StallDetector{gaps: gaps, class: class, stall: stall}
	p.last.Store(int64(now))
	return p
}

// Record records n bytes read. Only reads that return bytes count.
func (p *StallDetector) Record(now time.Duration, n int) {
	if n <= 0 {
		return
	}
	gap := int64(now) - p.last.Swap(int64(now))
	if p.bytes.Add(int64(n)) > int64(n) {
		p.gaps.Record(p.class, time.Duration(gap))
	}
}

// Resume restarts the wait for the next byte. It is called when the reader
// returns from a write that blocked, since that time says nothing about the
// sender of the body.
func (p *StallDetector) Resume(now time.Duration) { p.last.Store(int64(now)) }

// Bytes returns the number of bytes read.
func (p *StallDetector) Bytes() int64 { return p.bytes.Load() }

// Deadline returns the time at which the body has stalled if no byte arrives.
func (p *StallDetector) Deadline() time.Duration {
	return time.Duration(p.last.Load()) + p.gaps.Limit(p.class, p.stall)
}

// Stalled reports whether the body has stalled.
func (p *StallDetector) Stalled(now time.Duration) bool { return now >= p.Deadline() }
