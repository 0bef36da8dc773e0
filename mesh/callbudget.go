package mesh

import (
	"sync"
	"time"

	"hyssopbridge/limits"
	"hyssopbridge/placement"
)

// priorHostCalls is the number of calls that is added to those of each host, so
// that one without calls has a part as well.
const priorHostCalls = 2

// callBudget bounds the retries that the target beside this node runs by the
// retry budgets of the services that it calls: the calls of a retried run count
// as retries there. A called service states how many such calls it admits in a
// window, and each host of other services has an equal part. A part is used up
// when a retry is admitted, before its calls are made: what the called service
// counts reaches the other hosts only seconds later, when a storm of retries has
// already passed. Retried runs count also before it is known what they call.
type callBudget struct {
	now   func() time.Duration
	view  *placement.View
	calls *outboundCalls

	mu       sync.Mutex
	maxHosts map[string]int // by calling service, the largest number of hosts seen so far
	runs     [numSources]*limits.RetryBudget
}

func newCallBudget(now func() time.Duration, view *placement.View, calls *outboundCalls, seed uint64) *callBudget {
	b := &callBudget{now: now, view: view, calls: calls, maxHosts: map[string]int{}}
	for s := range numSources {
		b.runs[s] = limits.NewRetryBudget(seed + uint64(s))
	}
	return b
}

// admit reports whether a retry may run, and counts it if so.
func (b *callBudget) admit(s callSource) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRoom(s) {
		return false
	}
	b.runs[s].Spend(b.now(), 1)
	return true
}

// admits reports whether a retry may run.
func (b *callBudget) admits(s callSource) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasRoom(s)
}

// postpone counts a retry as of now that was admitted at an earlier time.
func (b *callBudget) postpone(s callSource, admitted time.Duration) {
	b.runs[s].Postpone(admitted, b.now())
}

// giveBack takes back a retry that was admitted at an earlier time and that was
// not run.
func (b *callBudget) giveBack(s callSource, admitted time.Duration) {
	b.runs[s].Return(admitted, b.now())
}

// hasRoom reports whether the services that a run calls have room for the calls
// of a retried one. The caller holds b.mu.
func (b *callBudget) hasRoom(s callSource) bool {
	now := b.now()
	for service, calls := range b.calls.callsPerRun(s) {
		allowed, known := b.view.RetryCalls(service)
		if !known {
			continue
		}
		ramp := min(1, now.Seconds()/budgetRamp.Seconds())
		part := ramp*allowed*b.share(service) - b.callsOfOthers(s, service)
		b.runs[s].Configure(0, max(0, part/calls))
		if b.runs[s].Remaining(now) < 1 {
			return false
		}
	}
	return true
}

// share returns the fraction of the calls to a service that runs at this host's
// target make. Hosts that have not been heard of count as average ones of their
// service, so that the parts of all hosts add up to no more than the whole.
func (b *callBudget) share(called string) float64 {
	own, service, callers := b.calls.callersOf(called)
	all := 0.0
	for caller, known := range callers {
		hosts := max(b.maxHosts[caller], b.view.Count(caller), known.hosts, minAssumedHosts)
		b.maxHosts[caller] = hosts
		all += float64(hosts) * (known.stats.calls(known.stats)/float64(known.hosts) + priorHostCalls)
	}
	ofService := callers[service].stats
	return (ofService.calls(own) + priorHostCalls) / all
}

// callsOfOthers returns the calls to a service of the retried runs in the window
// that are not of a kind.
func (b *callBudget) callsOfOthers(kind callSource, service string) float64 {
	calls := 0.0
	for s := range numSources {
		if s != kind {
			_, runs := b.runs[s].Used(b.now())
			calls += float64(runs) * b.calls.callsPerRun(s)[service]
		}
	}
	return calls
}
