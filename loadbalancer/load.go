package loadbalancer

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	reportValid     = time.Second // reported load is used for this long after the last report
	reportWeight    = 0.1         // weight of the newest report in the average
	shedBackoffMin  = 50 * time.Millisecond
	shedBackoffMax  = 2 * time.Second
	linkBackoffMin  = 250 * time.Millisecond
	linkBackoffMax  = 5 * time.Second
	maxFailureCount = 8 // bounds the weight reduction of a suspect target
)

// Load holds what a node knows about the work and the link of one target. All
// fields are atomics; times are nanoseconds on the balancer's clock.
type Load struct {
	outstanding atomic.Int64
	failures    atomic.Int32 // recent failures, halved on success
	sheds       atomic.Int32 // refusals in a row
	shedUntil   atomic.Int64
	linkFaults  atomic.Int32 // failed dials in a row
	linkUntil   atomic.Int64
	others      atomic.Uint64 // average work of other nodes at the target, as float64 bits
	reportedAt  atomic.Int64
}

// Outstanding returns the requests that this node has in flight at the target.
func (l *Load) Outstanding() int { return int(l.outstanding.Load()) }

// work estimates the requests at the target: this node's own and the average
// of the others'. A report is about as old as a request takes, so that its
// momentary value says little about the next request; used as such it made
// nodes avoid the same targets at the same time.
func (l *Load) work(now time.Duration) float64 {
	own := float64(l.outstanding.Load())
	at := l.reportedAt.Load()
	if at == 0 || int64(now)-at > int64(reportValid) {
		return own
	}
	return own + math.Float64frombits(l.others.Load())
}

// report takes in the work at the target as told by its host node. Of two
// reports at the same moment one may be lost.
func (l *Load) report(now time.Duration, busy int) {
	others := max(0, float64(int64(busy)-l.outstanding.Load()))
	at := l.reportedAt.Swap(max(1, int64(now)))
	if at != 0 && int64(now)-at <= int64(reportValid) {
		old := math.Float64frombits(l.others.Load())
		others = old + reportWeight*(others-old)
	}
	l.others.Store(math.Float64bits(others))
}

func (l *Load) shedding(now time.Duration) bool { return l.shedUntil.Load() > int64(now) }

func (l *Load) linkDown(now time.Duration) bool { return l.linkUntil.Load() > int64(now) }

// linkFault reports whether the last dial failed, also after its backoff ended.
func (l *Load) linkFault() bool { return l.linkFaults.Load() > 0 }

func (l *Load) noteShed(now, atLeast time.Duration) {
	wait := max(atLeast, backoff(l.sheds.Add(1), shedBackoffMin, shedBackoffMax))
	l.shedUntil.Store(int64(now + min(wait, shedBackoffMax)))
}

func (l *Load) noteLinkFault(now time.Duration) {
	wait := backoff(l.linkFaults.Add(1), linkBackoffMin, linkBackoffMax)
	l.linkUntil.Store(int64(now + wait))
}

func (l *Load) noteFailure() {
	if l.failures.Load() < maxFailureCount {
		l.failures.Add(1)
	}
}

func (l *Load) noteSuccess() {
	if f := l.failures.Load(); f > 0 {
		l.failures.CompareAndSwap(f, f/2)
	}
	if l.sheds.Load() != 0 {
		l.sheds.Store(0)
		l.shedUntil.Store(0)
	}
}

// noteReached clears a link fault and reports whether there was one.
func (l *Load) noteReached() bool {
	if l.linkFaults.Load() == 0 {
		return false
	}
	l.linkUntil.Store(0)
	return l.linkFaults.Swap(0) > 0
}

func backoff(n int32, first, limit time.Duration) time.Duration {
	d := first
	for ; n > 1 && d < limit; n-- {
		d *= 2
	}
	return min(d, limit)
}
