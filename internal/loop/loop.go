// Package loop calls functions periodically.
package loop

import (
	"context"
	"time"
)

// Every calls step once per interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, step func()) {
	OnWake(ctx, interval, step, nil, nil)
}

// OnWake calls step once per interval and woken for each value received from
// wake until ctx ends. The calls do not overlap.
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
