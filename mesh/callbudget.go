package mesh

import (
	"sync"
	"time"

	"hyssopbridge/limits"
	"hyssopbridge/placement"
)

// callBudget bounds the retries that the target beside this node runs by the
// retry budgets of the services that it calls: the calls of a retried run count
// as retries there. A called service states how many such calls it admits in a
// window, and each host of other services has an equal part. A part is used up
// when a retry is admitted, before its calls are made: what the called service
// counts reaches the other hosts only seconds later, when a storm of retries has
// already passed.
type callBudget struct {
	now   func() time.Duration
	view  *placement.View
	calls *outboundCalls
	seed  uint64

	mu        sync.Mutex
	byService map[string]*callWindow
}

// callWindow counts the retried runs that call one service.
type callWindow struct {
	maxHosts int // largest number of hosts of other services seen so far
	runs     *limits.RetryBudget
}

func newCallBudget(now func() time.Duration, view *placement.View, calls *outboundCalls, seed uint64) *callBudget {
	return &callBudget{now: now, view: view, calls: calls, seed: seed, byService: map[string]*callWindow{}}
}

// admit reports whether a retry may run, and counts it if so.
func (b *callBudget) admit(s callSource) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	windows, ok := b.windows(s)
	if !ok {
		return false
	}
	for _, w := range windows {
		w.Spend(b.now(), 1)
	}
	return true
}

// admits reports whether a retry may run.
func (b *callBudget) admits(s callSource) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.windows(s)
	return ok
}

// giveBack takes back a retry that admit counted and that was not run.
func (b *callBudget) giveBack(s callSource) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range b.calls.callsPerRun(s) {
		if w := b.byService[service]; w != nil {
			w.runs.Spend(b.now(), -1)
		}
	}
}

// windows returns the windows of the services that a run calls. ok is false if
// one of them has no room for a retried run. The caller holds b.mu.
func (b *callBudget) windows(s callSource) (windows []*limits.RetryBudget, ok bool) {
	now := b.now()
	for service, calls := range b.calls.callsPerRun(s) {
		allowed, otherHosts, known := b.view.RetryCalls(service)
		if !known {
			continue
		}
		w := b.byService[service]
		if w == nil {
			w = &callWindow{runs: limits.NewRetryBudget(b.seed + uint64(len(b.byService)))}
			b.byService[service] = w
		}
		w.maxHosts = max(w.maxHosts, otherHosts, minAssumedHosts)
		ramp := min(1, now.Seconds()/budgetRamp.Seconds())
		w.runs.Configure(0, max(0, ramp*allowed/float64(w.maxHosts)/calls-0.5))
		if w.runs.Remaining(now) < 1 {
			return nil, false
		}
		windows = append(windows, w.runs)
	}
	return windows, true
}
