package mesh

import (
	"sync"
	"time"
)

// callRate estimates how many requests the target beside this node makes for
// each idempotent request that it runs. Requests for other services that begin
// on this host are counted, so the clients of the host make the estimate too
// high and never too low.
type callRate struct {
	now func() time.Duration

	mu    sync.Mutex
	at    time.Duration
	runs  float64
	calls float64
}

const (
	// callRateWindow is the time over which counts lose half of their weight.
	callRateWindow = 10 * time.Second
	// minCallRuns is the number of runs below which nothing is estimated.
	minCallRuns = 3
	// maxCallRate bounds the estimate.
	maxCallRate = 8
)

func (c *callRate) run() { c.add(1, 0) }

func (c *callRate) call() { c.add(0, 1) }

func (c *callRate) add(runs, calls float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay()
	c.runs += runs
	c.calls += calls
}

// decay halves the counts once for each window that has passed.
func (c *callRate) decay() {
	for c.now()-c.at >= callRateWindow {
		c.at += callRateWindow
		c.runs /= 2
		c.calls /= 2
	}
}

func (c *callRate) rate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay()
	if c.runs < minCallRuns {
		return 0
	}
	return min(maxCallRate, c.calls/c.runs)
}
