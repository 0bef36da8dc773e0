package limits

import (
	"sync"
	"time"
)

// ownedBucket is the token bucket of one key at its owner node.
type ownedBucket struct {
	rate        Rate
	tokens      float64 // negative if nodes used more tokens ahead of a grant than there were
	last        time.Duration
	window      int64 // number of the window in which partial grants are counted
	partial     int   // requests in this window that were not granted in full
	prevPartial int   // the same for the previous window
}

// rateOwner keeps the token buckets of the keys that this node owns. An idle
// bucket that has filled up is dropped, since a new bucket starts full.
type rateOwner struct {
	mu      sync.Mutex
	buckets map[RateKey]*ownedBucket
	max     int
}

func newRateOwner(limit int) *rateOwner {
	return &rateOwner{buckets: make(map[RateKey]*ownedBucket), max: limit}
}

// grant responds to one request with up to the tokens in the bucket, first come,
// first served. It does not divide the tokens fairly between the nodes that a
// customer uses: a division by demand would leave tokens of a small bucket
// unused.
func (o *rateOwner) grant(now time.Duration, req *RateRequest) RateGrant {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.bucket(now, req.Key, req.Rate)
	b.refill(now)
	b.charge(float64(req.Spent) - float64(req.Returned))
	want := max(0, float64(req.Want))
	tokens := min(want, max(0, b.tokens))
	b.tokens -= tokens
	g := RateGrant{Key: req.Key, Tokens: float32(tokens)}
	if tokens < want || b.tokens < 0 {
		g.RetryMS = b.retryMS(now)
	}
	return g
}

func (o *rateOwner) bucket(now time.Duration, key RateKey, r Rate) *ownedBucket {
	b := o.buckets[key]
	if b == nil {
		if len(o.buckets) >= o.max {
			o.evictOne()
		}
		b = &ownedBucket{tokens: r.Burst, last: now}
		o.buckets[key] = b
	}
	b.rate = r
	return b
}

// evictOne drops an arbitrary bucket, whose customer regains at most one burst.
func (o *rateOwner) evictOne() {
	for key := range o.buckets {
		delete(o.buckets, key)
		return
	}
}

func (b *ownedBucket) refill(now time.Duration) {
	if now > b.last {
		b.tokens = min(b.rate.Burst, b.tokens+b.rate.PerSecond*(now-b.last).Seconds())
		b.last = now
	}
}

// charge subtracts used tokens. The debt is limited, so that one burst over many
// nodes does not block a customer for long.
func (b *ownedBucket) charge(n float64) {
	floor := -(b.rate.Burst + b.rate.PerSecond*maxDebtTime.Seconds())
	b.tokens = min(b.rate.Burst, max(floor, b.tokens-n))
}

// retryMS counts a request that the bucket could not satisfy and returns the
// time in ms in which it gains a token for each such request of the current or
// the previous window, whichever had more.
func (b *ownedBucket) retryMS(now time.Duration) uint16 {
	w := int64(now / grantHorizon)
	if w != b.window {
		b.prevPartial = 0
		if w == b.window+1 {
			b.prevPartial = b.partial
		}
		b.partial, b.window = 0, w
	}
	b.partial++
	wait := maxRetryDelay
	if b.rate.PerSecond > 0 {
		need := (float64(max(b.partial, b.prevPartial)) - b.tokens) / b.rate.PerSecond
		wait = time.Duration(min(need, maxRetryDelay.Seconds()) * float64(time.Second))
	}
	return uint16(max(wait, minRetryDelay) / time.Millisecond)
}

// sweep drops the buckets that are idle and full.
func (o *rateOwner) sweep(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, b := range o.buckets {
		if now-b.last < idleTimeout {
			continue
		}
		full := b.tokens+b.rate.PerSecond*(now-b.last).Seconds() >= b.rate.Burst
		if full {
			delete(o.buckets, key)
		}
	}
}

func (o *rateOwner) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.buckets)
}
