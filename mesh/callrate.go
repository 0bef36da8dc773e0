package mesh

import (
	"sync"
	"time"

	"hyssopbridge/admission"
)

// callRate estimates how many requests the target beside this node makes of its
// own in a second of running idempotent ones. Requests for other services that
// begin on this host are counted, so the clients of the host make the estimate
// too high and never too low. The rate refers to run time instead of to runs,
// because requests that a gray target resets and requests that end at once make
// no calls and would hide those of the others.
type callRate struct {
	now func() time.Duration

	mu    sync.Mutex
	at    time.Duration
	busy  time.Duration
	calls float64
}

const (
	// callRateWindow is the time over which counts lose half of their weight.
	callRateWindow = 10 * time.Second
	// minCallBusy is the run time below which nothing is estimated.
	minCallBusy = time.Second
	// maxCallRate bounds the estimate, in calls for a second of run time.
	maxCallRate = 30
)

// run counts an idempotent request that ran for a time.
func (c *callRate) run(took time.Duration) { c.add(took, 0) }

// call counts a request for another service that began on this host.
func (c *callRate) call() { c.add(0, 1) }

func (c *callRate) add(busy time.Duration, calls float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay()
	c.busy += busy
	c.calls += calls
}

// decay halves the counts once for each window that has passed.
func (c *callRate) decay() {
	for c.now()-c.at >= callRateWindow {
		c.at += callRateWindow
		c.busy /= 2
		c.calls /= 2
	}
}

// rate returns the calls for a second of run time, or admission.CallsUnknown.
func (c *callRate) rate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay()
	if c.busy < minCallBusy {
		return admission.CallsUnknown
	}
	return min(maxCallRate, c.calls/c.busy.Seconds())
}

// runTimes holds how long the requests of each route run.
type runTimes struct {
	mu      sync.Mutex
	byRoute map[string]time.Duration
}

const (
	// runTimeWeight is the weight of the newest run in the mean of its route.
	runTimeWeight = 0.1
	// unknownRunTime is assumed for a route before its first run.
	unknownRunTime = 300 * time.Millisecond
	// maxRunTimes bounds the routes whose run time is kept.
	maxRunTimes = 4096
)

// observe records a complete run.
func (t *runTimes) observe(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	mean, ok := t.byRoute[route]
	switch {
	case ok:
		t.byRoute[route] = mean + time.Duration(runTimeWeight*float64(took-mean))
	case len(t.byRoute) < maxRunTimes:
		t.byRoute[route] = took
	}
}

// mean returns how long a request of the route is expected to run.
func (t *runTimes) mean(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if mean, ok := t.byRoute[route]; ok {
		return mean
	}
	return unknownRunTime
}
