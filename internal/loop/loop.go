// Package loop repeats work at intervals.
package loop

import (
	"context"
	"time"
)

// Every calls step at each interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, step func()) {
	OnWake(ctx, interval, step, nil, nil)
}

// OnWake calls step at each interval and woken at each value of wake, one at a
// time, until ctx ends.
func OnWake(ctx context.Context, interval time.Duration, step func(), wake <-chan struct{}, woken func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			step()
		case <-wake:
			woken()
		}
	}
}
