package mesh

import (
	"context"
	"sync"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/limits"
	"hyssopbridge/placement"
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
	budgetShare = 0.6
	// orderShare is the fraction up to which retries of non-idempotent requests
	// may use the allowance. They are made only after proof that the request did
	// not run, and without one it is refused; a retry or hedge of an idempotent
	// request often only saves time.
	orderShare = 0.8
	// nestedCallShare is the fraction up to which the calls that retried runs
	// make may use the allowance. Beyond it, services that call this one make
	// no retries.
	nestedCallShare = 0.85
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
	// calledServicesAdmit reports whether the services that a run calls would
	// admit the calls of a retried run, which count as retries there.
	calledServicesAdmit func() bool

	mu       sync.Mutex
	maxHosts int // largest number of hosts of the service seen so far
	window   *limits.RetryBudget
}

func newBudget(now func() time.Duration, policy func() RetryPolicy, hosts func() int, calledServicesAdmit func() bool, seed uint64) *budget {
	return &budget{now: now, policy: policy, hosts: hosts, calledServicesAdmit: calledServicesAdmit, window: limits.NewRetryBudget(seed)}
}

// reserve reserves a slot for a request and counts the request.
func (b *budget) reserve(ctx context.Context, g *admission.Gate, r admission.Request) (*admission.Reservation, admission.Reason) {
	return b.reserveInLine(ctx, g, r, func() {})
}

// reserveInLine is reserve with a function that is called if the request has to
// wait.
func (b *budget) reserveInLine(ctx context.Context, g *admission.Gate, r admission.Request, onQueued func()) (*admission.Reservation, admission.Reason) {
	b.configure()
	if r.Retry && !b.admitRetry(r) {
		return nil, admission.NoBudget
	}
	reserved, reason := g.ReserveInLine(ctx, r, onQueued)
	switch {
	case reserved == nil && r.Retry:
		b.window.Spend(b.now(), -1)
	case reserved != nil && !r.Retry:
		b.window.RecordRequest(b.now())
		b.window.Spend(b.now(), r.CalledByRetry)
	}
	return reserved, reason
}

// admitRetry reports whether the allowance permits a retry, and counts it if so.
func (b *budget) admitRetry(r admission.Request) bool {
	now := b.now()
	switch {
	case !b.calledServicesAdmit():
		return false
	case r.Idempotent:
		return b.window.Allow(now)
	case b.remaining(orderShare, now) < 1:
		return false
	}
	b.window.Spend(now, 1)
	return true
}

// remaining returns how many retries are left until they use a fraction of the
// service's allowance.
func (b *budget) remaining(share float64, now time.Duration) float64 {
	return b.window.Remaining(now) + (share/budgetShare-1)*b.window.Allowance(now)
}

// available reports whether a retry would be admitted, and whether a retried
// run at another service may call this one.
func (b *budget) available() (retries, calls bool) {
	b.configure()
	now := b.now()
	retries = b.window.Remaining(now) >= 1 && b.calledServicesAdmit()
	return retries, b.remaining(nestedCallShare, now) >= 0
}

// servicesAdmitCalls reports whether at least half of the hosts of each service
// would admit calls of a retried run.
func servicesAdmitCalls(v *placement.View, services []string) bool {
	for _, s := range services {
		if !v.AdmitsRetryCalls(s) {
			return false
		}
	}
	return true
}

func (b *budget) configure() {
	p := b.policy()
	b.mu.Lock()
	b.maxHosts = max(b.maxHosts, b.hosts(), minAssumedHosts)
	hosts := float64(b.maxHosts)
	b.mu.Unlock()
	ramp := min(1, b.now().Seconds()/budgetRamp.Seconds())
	// Each host's allowance is rounded at random, by half a retry on average.
	b.window.Configure(budgetShare*p.Ratio, max(0, ramp*budgetShare*p.Slack/hosts-0.5))
}
