package limits

import (
	"sync"
	"time"
)

// ownedBucket is the token bucket of one key at its owner.
type ownedBucket struct {
	rate   Rate
	tokens float64 // negative when nodes spent ahead of a grant
	last   time.Duration
	window int64 // number of the window in which short asks are counted
	short  int   // asks in this window that got less than they wanted
	before int   // the same for the window before
}

// rateOwner keeps the buckets of the keys that this node owns. Idle buckets
// that are full again are dropped, since a new bucket starts full.
type rateOwner struct {
	mu      sync.Mutex
	buckets map[RateKey]*ownedBucket
	max     int
}

func newRateOwner(limit int) *rateOwner {
	return &rateOwner{buckets: make(map[RateKey]*ownedBucket), max: limit}
}

// grant answers one ask: first come, first served, up to the tokens in the
// bucket. Fairness between the nodes of one customer is no aim; a division by
// demand would leave tokens in a small bucket unused.
func (o *rateOwner) grant(now time.Duration, a *RateRequest) RateGrant {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.bucket(now, a.Key, a.Rate)
	b.refill(now)
	b.charge(float64(a.Spent) - float64(a.Returned))
	want := max(0, float64(a.Want))
	tokens := min(want, max(0, b.tokens))
	b.tokens -= tokens
	g := RateGrant{Key: a.Key, Tokens: float32(tokens)}
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

// evictOne drops an arbitrary bucket; its customer regains at most one burst.
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

// charge subtracts used tokens. The debt is bounded, so that one burst over
// many nodes does not block a customer for long.
func (b *ownedBucket) charge(n float64) {
	floor := -(b.rate.Burst + b.rate.PerSecond*maxDebt.Seconds())
	b.tokens = min(b.rate.Burst, max(floor, b.tokens-n))
}

// retryMS returns the time in which the bucket gains a token for each node
// that is short of them.
func (b *ownedBucket) retryMS(now time.Duration) uint16 {
	w := int64(now / grantHorizon)
	if w != b.window {
		b.before = 0
		if w == b.window+1 {
			b.before = b.short
		}
		b.short, b.window = 0, w
	}
	b.short++
	wait := retryLong
	if b.rate.PerSecond > 0 {
		need := (float64(max(b.short, b.before)) - b.tokens) / b.rate.PerSecond
		wait = time.Duration(min(need, retryLong.Seconds()) * float64(time.Second))
	}
	return uint16(max(wait, retryShort) / time.Millisecond)
}

// sweep drops buckets that are idle and full.
func (o *rateOwner) sweep(now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, b := range o.buckets {
		if now-b.last < idleAfter {
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
