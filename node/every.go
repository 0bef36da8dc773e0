package node

import (
	"context"
	"time"
)

// every calls step at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, step func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			step()
		}
	}
}

// sleep waits for d; false means that ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
