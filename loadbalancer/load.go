package loadbalancer

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	reportTTL       = time.Second // a reported load is used for this long
	reportWeight    = 0.1         // weight of the newest report in the average
	shedBackoffMin  = 50 * time.Millisecond
	shedBackoffMax  = 2 * time.Second
	linkBackoffMin  = 250 * time.Millisecond
	linkBackoffMax  = 5 * time.Second
	maxFailureCount = 8 // limits the penalty for recent failures
)

// Load holds what a node knows about the load of one target and about the link to
// its host node. All fields are atomics, so that it is used without a lock. Times
// are nanoseconds on the balancer's clock.
type Load struct {
	outstanding   atomic.Int64
	failures      atomic.Int32 // recent failures, halved on success
	sheds         atomic.Int32 // consecutive refusals because of load
	shedUntil     atomic.Int64
	linkFaults    atomic.Int32 // consecutive failed connection attempts
	linkDownUntil atomic.Int64
	otherLoad     atomic.Uint64 // average load from other nodes, as float64 bits
	reportedAt    atomic.Int64
}

// Outstanding returns the number of requests that this node has in flight at the
// target.
func (l *Load) Outstanding() int { return int(l.outstanding.Load()) }

// estimate returns the estimated number of requests at the target: this node's
// own plus the average of those of other nodes. The average is used since a
// report is about as old as a request takes, so that its momentary value says
// little about the next request; using that value directly made nodes avoid the
// same targets at the same time.
func (l *Load) estimate(now time.Duration) float64 {
	own := float64(l.outstanding.Load())
	at := l.reportedAt.Load()
	if at == 0 || int64(now)-at > int64(reportTTL) {
		return own
	}
	return own + math.Float64frombits(l.otherLoad.Load())
}

// recordReport records the number of requests at the target as reported by its
// host node. Of two concurrent reports, one may be lost.
func (l *Load) recordReport(now time.Duration, requests int) {
	others := max(0, float64(int64(requests)-l.outstanding.Load()))
	at := l.reportedAt.Swap(max(1, int64(now)))
	if at != 0 && int64(now)-at <= int64(reportTTL) {
		old := math.Float64frombits(l.otherLoad.Load())
		others = old + reportWeight*(others-old)
	}
	l.otherLoad.Store(math.Float64bits(others))
}

// shedding reports whether the target is in backoff after refusing requests
// because of load.
func (l *Load) shedding(now time.Duration) bool { return l.shedUntil.Load() > int64(now) }

// linkDown reports whether the link is in backoff after a failed connection
// attempt.
func (l *Load) linkDown(now time.Duration) bool { return l.linkDownUntil.Load() > int64(now) }

// linkFault reports whether the last attempt to connect to the host node failed,
// even if its backoff has ended.
func (l *Load) linkFault() bool { return l.linkFaults.Load() > 0 }

func (l *Load) recordShed(now, atLeast time.Duration) {
	wait := max(atLeast, backoff(l.sheds.Add(1), shedBackoffMin, shedBackoffMax))
	l.shedUntil.Store(int64(now + min(wait, shedBackoffMax)))
}

func (l *Load) recordLinkFault(now time.Duration) {
	wait := backoff(l.linkFaults.Add(1), linkBackoffMin, linkBackoffMax)
	l.linkDownUntil.Store(int64(now + wait))
}

func (l *Load) recordFailure() {
	if l.failures.Load() < maxFailureCount {
		l.failures.Add(1)
	}
}

func (l *Load) recordSuccess() {
	if f := l.failures.Load(); f > 0 {
		l.failures.CompareAndSwap(f, f/2)
	}
	if l.sheds.Load() != 0 {
		l.sheds.Store(0)
		l.shedUntil.Store(0)
	}
}

// clearLinkFault clears the link fault, if any, and reports whether there was
// one.
func (l *Load) clearLinkFault() bool {
	if l.linkFaults.Load() == 0 {
		return false
	}
	l.linkDownUntil.Store(0)
	return l.linkFaults.Swap(0) > 0
}

// backoff returns the exponential backoff after the n-th consecutive failure.
func backoff(n int32, first, limit time.Duration) time.Duration {
	d := first
	for ; n > 1 && d < limit; n-- {
		d *= 2
	}
	return min(d, limit)
}
