package limits

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	retryShare   = 0.1              // retries as a part of requests
	retryWindow  = 10 * time.Second // over which the share holds
	retryBuckets = 10
	retryBucket  = retryWindow / retryBuckets
)

// RetryBudget bounds the retries of one service at one entry node to a share
// of its requests over 10 s, a tenth unless configured otherwise. The
// fractional part of the allowance is rounded at random, anew in each window,
// instead of up: with a guaranteed minimum per node, the fleet's retries would
// grow with the number of nodes.
type RetryBudget struct {
	mu       sync.Mutex
	share    float64 // retries as a part of requests
	slack    float64 // retries in the window on top of the share
	rand     *rand.Rand
	round    float64 // rounding of the allowance, in [0, 1)
	current  int64   // number of the newest bucket
	requests [retryBuckets]int
	retries  [retryBuckets]float64
	sumReq   int
	sumRetry float64
}

// NewRetryBudget returns an empty budget. Nodes need different seeds.
func NewRetryBudget(seed uint64) *RetryBudget {
	r := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	return &RetryBudget{share: retryShare, rand: r, round: r.Float64()}
}

// Configure changes the share of requests and the retries that are allowed on
// top of it in each window.
func (b *RetryBudget) Configure(share, slack float64) {
	b.mu.Lock()
	b.share, b.slack = share, slack
	b.mu.Unlock()
}

// RecordRequest counts a request of a caller. Retries are not requests.
func (b *RetryBudget) RecordRequest(now time.Duration) {
	b.mu.Lock()
	b.advance(now)
	b.requests[b.current%retryBuckets]++
	b.sumReq++
	b.mu.Unlock()
}

// Allow reports whether a retry may be made, and counts it if so.
func (b *RetryBudget) Allow(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.room() < 1 {
		return false
	}
	b.spend(1)
	return true
}

// Remaining returns how many retries may be made now.
func (b *RetryBudget) Remaining(now time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.room()
}

// Allowance returns how many retries the window allows, with those that were made.
func (b *RetryBudget) Allowance(now time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.share*float64(b.sumReq) + b.slack
}

// Spend counts retries without asking, such as calls that a retry of another
// service is expected to make. The number may have a fraction.
func (b *RetryBudget) Spend(now time.Duration, retries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.spend(retries)
}

func (b *RetryBudget) room() float64 {
	return b.share*float64(b.sumReq) + b.slack + b.round - b.sumRetry
}

func (b *RetryBudget) spend(retries float64) {
	b.retries[b.current%retryBuckets] += retries
	b.sumRetry += retries
}

// Used returns the requests and retries of the window.
func (b *RetryBudget) Used(now time.Duration) (requests, retries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.sumReq, int(math.Round(b.sumRetry))
}

// advance drops the buckets that have left the window.
func (b *RetryBudget) advance(now time.Duration) {
	n := int64(now / retryBucket)
	steps := min(n-b.current, retryBuckets)
	for i := int64(1); i <= steps; i++ {
		k := (b.current + i) % retryBuckets
		b.sumReq -= b.requests[k]
		b.sumRetry -= b.retries[k]
		b.requests[k], b.retries[k] = 0, 0
	}
	if n <= b.current {
		return
	}
	if n/retryBuckets != b.current/retryBuckets {
		b.round = b.rand.Float64()
	}
	b.current = n
}
