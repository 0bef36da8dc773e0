package limits

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	retryShare   = 0.1              // retries per request
	retryWindow  = 10 * time.Second // sliding window of the budget
	retryBuckets = 10
	retryBucket  = retryWindow / retryBuckets
	// keptRetries is the number of buckets of retries. The newest one is not
	// complete, so that one more is needed to cover a whole window at any time.
	keptRetries = retryBuckets + 1
)

// RetryBudget limits the retries of one service at one node to a share of its
// requests over a 10 s sliding window, by default one tenth. The fractional
// part of the allowance is rounded up or down at random, once per window
// length. Always rounding up would guarantee each node a minimum, so that the
// fleet's retries would grow with the number of nodes.
type RetryBudget struct {
	mu       sync.Mutex
	share    float64 // retries per request
	slack    float64 // retries per window on top of the share
	rand     *rand.Rand
	rounding float64 // random rounding term of the allowance, in [0, 1)
	current  int64   // number of the newest bucket
	requests [retryBuckets]int
	retries  [keptRetries]float64
	sumReq   int
	sumRetry float64
}

// NewRetryBudget returns an empty budget. Each node must use a different seed.
func NewRetryBudget(seed uint64) *RetryBudget {
	r := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	return &RetryBudget{share: retryShare, rand: r, rounding: r.Float64()}
}

// Configure sets the number of retries allowed per request (share) and the
// retries allowed in each window on top of that (slack).
func (b *RetryBudget) Configure(share, slack float64) {
	b.mu.Lock()
	b.share, b.slack = share, slack
	b.mu.Unlock()
}

// RecordRequest counts a request from a caller. Retries and hedges must not be
// counted here.
func (b *RetryBudget) RecordRequest(now time.Duration) {
	b.mu.Lock()
	b.advance(now)
	b.requests[b.current%retryBuckets]++
	b.sumReq++
	b.mu.Unlock()
}

// Allow reports whether the budget permits a retry, and counts it if so.
func (b *RetryBudget) Allow(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.remaining() < 1 {
		return false
	}
	b.spend(1)
	return true
}

// Remaining returns the number of retries that the budget permits now.
func (b *RetryBudget) Remaining(now time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.remaining()
}

// RemainingAt returns the number of retries that the budget will permit at a
// later time if no retry is made until then and requests go on as before.
func (b *RetryBudget) RemainingAt(now, at time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	remaining := b.remaining()
	for i := range min(int64(at/retryBucket)-b.current, keptRetries) {
		remaining += b.retries[(b.current+1+i)%keptRetries]
	}
	return remaining
}

// Allowance returns the number of retries that the current window permits in
// total, including those already made.
func (b *RetryBudget) Allowance(now time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.share*float64(b.sumReq) + b.slack
}

// Spend counts retries without checking the budget, such as the calls that a
// retry of another service is expected to cause. The number may be fractional; a
// negative number returns retries that Allow counted but that were not made.
func (b *RetryBudget) Spend(now time.Duration, retries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.spend(retries)
}

// Postpone counts a retry as of now that was counted at an earlier time.
func (b *RetryBudget) Postpone(counted, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.uncount(counted)
	b.spend(1)
}

// Return takes back a retry that was counted at an earlier time and that was not
// made.
func (b *RetryBudget) Return(counted, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.uncount(counted)
}

// uncount takes back a retry, unless it has left the window since it was counted.
// Taking it from a later bucket would permit one more retry after that.
func (b *RetryBudget) uncount(counted time.Duration) {
	if n := int64(counted / retryBucket); n > b.current-keptRetries {
		b.retries[n%keptRetries]--
		b.sumRetry--
	}
}

func (b *RetryBudget) remaining() float64 {
	return b.share*float64(b.sumReq) + b.slack + b.rounding - b.sumRetry
}

func (b *RetryBudget) spend(retries float64) {
	b.retries[b.current%keptRetries] += retries
	b.sumRetry += retries
}

// Used returns the requests and retries counted in the current window.
func (b *RetryBudget) Used(now time.Duration) (requests, retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.sumReq, int(math.Round(b.sumRetry))
}

// advance moves the window to now and clears the buckets that have left it.
func (b *RetryBudget) advance(now time.Duration) {
	n := int64(now / retryBucket)
	steps := min(n-b.current, keptRetries)
	for i := n - steps + 1; i <= n; i++ {
		b.sumReq -= b.requests[i%retryBuckets]
		b.sumRetry -= b.retries[i%keptRetries]
		b.requests[i%retryBuckets], b.retries[i%keptRetries] = 0, 0
	}
	if n <= b.current {
		return
	}
	if n/retryBuckets != b.current/retryBuckets {
		b.rounding = b.rand.Float64()
	}
	b.current = n
}
