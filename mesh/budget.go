package mesh

import (
	"context"
	"sync"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/limits"
	"hyssopbridge/placement"
)

// RetryPolicy bounds the repeats of all nodes together.
type RetryPolicy struct {
	Ratio float64 // repeats as a part of the requests for a service
	Slack float64 // repeats on top of it, of all nodes together
}

const (
	// budgetMargin is the part of the service's allowance that host nodes grant.
	// The rest covers requests that are counted in another window than their
	// repeats, and the random rounding of each host's allowance.
	budgetMargin = 0.6
	// callsMargin is the part that calls of repeats may use besides. From then on
	// services that call this one repeat nothing.
	callsMargin = 0.85
	// minHosts is the number of hosts that share the slack of a service at least.
	// A node that knows few others must not take their part.
	minHosts = 4
	// budgetRamp is how long a node that has started takes to reach its part of
	// the slack, since its earlier process may have spent it.
	budgetRamp = 10 * time.Second
)

// budget bounds the repeats that reach the target beside this node. A service's
// allowance is divided among its hosts, by the requests that each gets, rather
// than among entry nodes, since a request that is repeated may use any host that
// has room left.
type budget struct {
	now    func() time.Duration
	policy func() RetryPolicy
	hosts  func() int // hosts of the service
	// calledHaveRoom reports whether the services that a run calls would admit
	// the calls of a repeat, which count as repeats there.
	calledHaveRoom func() bool

	mu     sync.Mutex
	most   int // most hosts of the service at any time
	window *limits.RetryBudget
}

func newBudget(now func() time.Duration, policy func() RetryPolicy, hosts func() int, calledHaveRoom func() bool, seed uint64) *budget {
	return &budget{now: now, policy: policy, hosts: hosts, calledHaveRoom: calledHaveRoom, window: limits.NewRetryBudget(seed)}
}

// reserve takes a slot for a request and counts it.
func (b *budget) reserve(ctx context.Context, g *admission.Gate, r admission.Request) (*admission.Reservation, admission.Reason) {
	b.configure()
	if r.Retry && (!b.calledHaveRoom() || !b.window.Allow(b.now())) {
		return nil, admission.NoBudget
	}
	t, why := g.Reserve(ctx, r)
	switch {
	case t == nil && r.Retry:
		b.window.Spend(b.now(), -1)
	case t != nil && !r.Retry:
		b.window.RecordRequest(b.now())
		b.window.Spend(b.now(), r.CalledByRetry)
	}
	return t, why
}

// room reports whether a repeat would be admitted, and whether a repeat at
// another service may call this one.
func (b *budget) room() (repeats, calls bool) {
	b.configure()
	now := b.now()
	left := b.window.Remaining(now)
	repeats = left >= 1 && b.calledHaveRoom()
	return repeats, left+(callsMargin/budgetMargin-1)*b.window.Allowance(now) >= 0
}

// haveRoom reports whether most hosts of each service would admit calls of a repeat.
func haveRoom(v *placement.View, services []string) bool {
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
	b.most = max(b.most, b.hosts(), minHosts)
	hosts := float64(b.most)
	b.mu.Unlock()
	ramp := min(1, b.now().Seconds()/budgetRamp.Seconds())
	// Each host's allowance is rounded at random, by half a repeat on average.
	b.window.Configure(budgetMargin*p.Ratio, max(0, ramp*budgetMargin*p.Slack/hosts-0.5))
}
