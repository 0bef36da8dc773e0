package platformlog

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes the waits between attempts. Each wait is drawn at random from
// the upper half of a bound that doubles from a base to a maximum.
type Backoff struct {
	base, max, next time.Duration
	rng             *rand.Rand
}

// NewBackoff returns a backoff whose bound grows from base to max. Equal seeds
// give equal sequences of waits.
func NewBackoff(base, max time.Duration, seed int64) *Backoff {
	return &Backoff{base: base, max: max, next: base, rng: rand.New(rand.NewPCG(uint64(seed), 0x6261636b6f6666))}
}

// Next returns the next wait.
func (b *Backoff) Next() time.Duration {
	bound := b.next
	b.next = min(2*b.next, b.max)
	return bound/2 + time.Duration(b.rng.Int64N(int64(bound/2)+1))
}

// Reset sets the bound back to the base.
func (b *Backoff) Reset() { b.next = b.base }

// Wait waits for d. It returns the error of ctx if ctx ends first.
func Wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
