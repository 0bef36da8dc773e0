package mesh

import (
	"context"
	"sync"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/limits"
)

// RetryPolicy bounds the retries of all nodes together, hedges included.
type RetryPolicy struct {
	Ratio float64 // retries as a fraction of the requests for a service
	Slack float64 // retries allowed on top of the ratio, by all nodes together
}

const (
	// budgetShare is the fraction of the service's allowance that host nodes
	// grant. The rest covers requests that are counted in another window than
	// their retries, and the random rounding of each host's allowance.
	budgetShare = 0.7
	// urgentShare is the fraction up to which retries of requests that have not
	// run and can still be in time may use the allowance: without one they are
	// late or refused. A hedge often only saves time, and a late response is worth
	// less; late requests at one node must not take the budget from those at
	// another that can be in time.
	urgentShare = 0.8
	// nestedCallShare is the fraction up to which retries and the calls that
	// retried runs make may use the allowance together, and maxCallShare the
	// fraction up to which such calls alone may. directShare is the fraction
	// that is left for retries of this service even so: a retry of a failed call
	// costs one request here, a retry of the run that made it repeats all its
	// calls.
	nestedCallShare = 0.8
	maxCallShare    = 0.7
	directShare     = 0.2
	// mostShare is the fraction beyond which neither is admitted, whatever the
	// shares, since calls are attributed to retried runs by probabilities.
	mostShare = 0.85
	// minAssumedHosts is the smallest number of hosts among which the slack of
	// a service is divided. A node that knows few other hosts must not claim
	// their share.
	minAssumedHosts = 4
	// budgetRamp is how long a node takes after its start to reach its full
	// share of the slack, since its previous process may have spent that share.
	budgetRamp = 10 * time.Second
)

// budget bounds the retries that reach the target beside this node. A service's
// allowance is divided among its hosts, in proportion to the requests that each
// gets, rather than among entry nodes, since a retry may use any host that has
// budget left.
type budget struct {
	now    func() time.Duration
	policy func() RetryPolicy
	hosts  func() int // number of hosts of the service
	// metrics counts what reaches the target; it may be nil.
	metrics *metrics
	// calls bounds the calls that the retried runs make to other services, which
	// count as retries there.
	calls *callBudget
	// admission is locked from the check of the allowance until a retry is counted,
	// so that concurrent retries are not admitted on the same rest.
	admission sync.Mutex

	mu            sync.Mutex
	maxHosts      int     // largest number of hosts of the service seen so far
	calledByRetry float64 // first attempts made by retried runs that are not yet left out of the requests
	// window counts retries and calls of retried runs, direct the retries alone.
	window, direct *limits.RetryBudget
}

func newBudget(now func() time.Duration, policy func() RetryPolicy, hosts func() int, calls *callBudget, seed uint64) *budget {
	return &budget{now: now, policy: policy, hosts: hosts, calls: calls, window: limits.NewRetryBudget(seed), direct: limits.NewRetryBudget(seed + 1)}
}

// reserve reserves a slot for a request and counts the request.
func (b *budget) reserve(ctx context.Context, g *admission.Gate, r admission.Request) (*admission.Reservation, admission.Reason) {
	return b.reserveInLine(ctx, g, r, func() {})
}

// reserveInLine is reserve with a function that is called if the request has to
// wait.
func (b *budget) reserveInLine(ctx context.Context, g *admission.Gate, r admission.Request, onQueued func()) (*admission.Reservation, admission.Reason) {
	b.configure()
	asked := b.now()
	if r.Retry && !b.admitRetry(r) {
		return nil, admission.NoBudget
	}
	reserved, reason := g.ReserveInLine(ctx, r, onQueued)
	switch {
	case reserved != nil && r.Retry:
		// It reaches the target now, which may be seconds after it asked.
		b.window.Postpone(asked, b.now())
		b.direct.Postpone(asked, b.now())
		b.calls.postpone(runSource(r.Idempotent), asked)
		b.metrics.add(metricBudgetRetries, 1)
	case reserved == nil && r.Retry:
		b.window.Return(asked, b.now())
		b.direct.Return(asked, b.now())
		b.calls.giveBack(runSource(r.Idempotent), asked)
	case reserved != nil && !r.Retry:
		b.recordFirst(r.CalledByRetry)
	}
	return reserved, reason
}

// recordFirst counts the first attempt of a request, which counts as a retry with
// the given probability. Such attempts add nothing to the allowance.
func (b *budget) recordFirst(calledByRetry float64) {
	now := b.now()
	b.metrics.add(metricBudgetRequests, 1-calledByRetry)
	b.metrics.add(metricBudgetRetryCalls, calledByRetry)
	b.window.Spend(now, calledByRetry)
	b.mu.Lock()
	b.calledByRetry += calledByRetry
	isRequest := b.calledByRetry < 1
	if !isRequest {
		b.calledByRetry--
	}
	b.mu.Unlock()
	if isRequest {
		b.window.RecordRequest(now)
		b.direct.RecordRequest(now)
	}
}

// admitRetry reports whether the allowance permits a retry, and counts it if so.
func (b *budget) admitRetry(r admission.Request) bool {
	b.admission.Lock()
	defer b.admission.Unlock()
	if !b.hasRoom(r.Urgent) || !b.calls.admit(runSource(r.Idempotent)) {
		return false
	}
	b.spend(1)
	return true
}

// hasRoom reports whether the allowance permits a retry.
func (b *budget) hasRoom(urgent bool) bool {
	now := b.now()
	share := budgetShare
	if urgent {
		share = urgentShare
	}
	return b.remaining(b.window, share, now) >= 1 || b.remaining(b.direct, directShare, now) >= 1 && b.remaining(b.window, mostShare, now) >= 1
}

func (b *budget) spend(retries float64) {
	b.window.Spend(b.now(), retries)
	b.direct.Spend(b.now(), retries)
}

// remaining returns how many retries are left until those of a window use a
// fraction of the service's allowance.
func (b *budget) remaining(w *limits.RetryBudget, share float64, now time.Duration) float64 {
	return w.Remaining(now) + (share/budgetShare-1)*w.Allowance(now)
}

// describe sets the fields of the status that concern the budget.
func (b *budget) describe(s *admission.Status) {
	b.configure()
	callsAdmit := b.calls.admits(idempotentRuns)
	s.AdmitsRetries = callsAdmit && b.hasRoom(false)
	s.AdmitsUrgentRetries = b.hasRoom(true) && (callsAdmit || b.calls.admits(nonIdempotentRuns))
	s.RetryCalls = b.retryCalls()
}

// retryCalls returns how many calls in a window retried runs of other services
// may make to the target.
func (b *budget) retryCalls() float64 {
	now := b.now()
	if b.remaining(b.window, mostShare, now) < 0 {
		return 0
	}
	most := b.direct.Allowance(now) / budgetShare
	return max(0, min(maxCallShare*most, b.remaining(b.direct, nestedCallShare, now)))
}

func (b *budget) configure() {
	p := b.policy()
	b.mu.Lock()
	b.maxHosts = max(b.maxHosts, b.hosts(), minAssumedHosts)
	hosts := float64(b.maxHosts)
	b.mu.Unlock()
	ramp := min(1, b.now().Seconds()/budgetRamp.Seconds())
	// Each host's allowance is rounded at random, by half a retry on average.
	for _, w := range []*limits.RetryBudget{b.window, b.direct} {
		w.Configure(budgetShare*p.Ratio, max(0, ramp*budgetShare*p.Slack/hosts-0.5))
	}
}
