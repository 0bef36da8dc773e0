package limits

import (
	"sync/atomic"
	"time"

	"hyssopbridge/fleet"
)

const (
	stallGapMultiple = 20                     // a body has stalled after this many average gaps
	minStallGap      = 500 * time.Millisecond // shorter gaps are never a stall
	gapAverageWeight = 64                     // a new gap has weight 1/gapAverageWeight in the average
)

// Gaps keeps, for each class, a moving average of the time between two reads
// that return body bytes. The zero value is ready to use. Its methods are safe
// for concurrent use.
type Gaps struct {
	average [fleet.NumClasses]atomic.Int64 // ns
}

// Record adds a gap between two reads to the average of the class.
func (g *Gaps) Record(class fleet.Class, gap time.Duration) {
	avg := &g.average[class]
	old := avg.Load()
	if old == 0 {
		avg.CompareAndSwap(0, max(1, int64(gap)))
		return
	}
	avg.CompareAndSwap(old, max(1, old+(int64(gap)-old)/gapAverageWeight))
}

// Average returns the average gap of a class, or 0 if none was recorded.
func (g *Gaps) Average(class fleet.Class) time.Duration {
	return time.Duration(g.average[class].Load())
}

// Limit returns the gap after which a body of the class counts as stalled: a
// multiple of the average gap, at least 500 ms and at most stall.
func (g *Gaps) Limit(class fleet.Class, stall time.Duration) time.Duration {
	avg := g.Average(class)
	if avg == 0 {
		return stall
	}
	return min(stall, max(minStallGap, stallGapMultiple*avg))
}

// StallDetector detects when the transfer of one body stalls. Record and Resume
// are for the goroutine that reads the body; Deadline and Stalled may be called
// by another one.
type StallDetector struct {
	gaps  *Gaps
	class fleet.Class
	stall time.Duration
	bytes atomic.Int64
	last  atomic.Int64 // time of the last byte, ns
}

// NewStallDetector returns a detector for a body whose transfer starts now. stall
// is the stall limit of the route.
func NewStallDetector(gaps *Gaps, class fleet.Class, stall, now time.Duration) *StallDetector {
	d := &StallDetector{gaps: gaps, class: class, stall: stall}
	d.last.Store(int64(now))
	return d
}

// Record records a read of n bytes. A read without bytes is not progress and is
// ignored. The wait for the first byte is not recorded as a gap.
func (d *StallDetector) Record(now time.Duration, n int) {
	if n <= 0 {
		return
	}
	gap := int64(now) - d.last.Swap(int64(now))
	if d.bytes.Add(int64(n)) > int64(n) {
		d.gaps.Record(d.class, time.Duration(gap))
	}
}

// Resume restarts the wait for the next byte. Call it after a write that
// blocked, since that time says nothing about the sender of the body.
func (d *StallDetector) Resume(now time.Duration) { d.last.Store(int64(now)) }

// Bytes returns the number of body bytes read so far.
func (d *StallDetector) Bytes() int64 { return d.bytes.Load() }

// Deadline returns the time from which the body counts as stalled if no further
// byte arrives.
func (d *StallDetector) Deadline() time.Duration {
	return time.Duration(d.last.Load()) + d.gaps.Limit(d.class, d.stall)
}

// Stalled reports whether the body has stalled at time now.
func (d *StallDetector) Stalled(now time.Duration) bool { return now >= d.Deadline() }
