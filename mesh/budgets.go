package mesh

import (
	"sync"
	"time"

	"hyssopbridge/limits"
)

// RetryPolicy bounds the retries of all nodes together.
type RetryPolicy struct {
	Ratio float64 // retries as a part of the requests for a service
	Slack float64 // retries on top of it, of all nodes together
}

// budgetMargin is the part of the fleet's allowance that nodes use. The rest
// covers requests that are counted in another window than their retries, and
// the random rounding of each node's allowance.
const budgetMargin = 0.8

// minFleet is the number of nodes that share the slack at least. A node that
// knows few others must not take their part.
const minFleet = 16

// budgets holds a retry budget for each service.
type budgets struct {
	now    func() time.Duration
	policy func() RetryPolicy
	nodes  func() int // nodes that share the allowance
	seed   uint64

	mu       sync.Mutex
	services map[string]*limits.RetryBudget
}

func newBudgets(now func() time.Duration, policy func() RetryPolicy, nodes func() int, seed uint64) *budgets {
	return &budgets{now: now, policy: policy, nodes: nodes, seed: seed, services: map[string]*limits.RetryBudget{}}
}

func (b *budgets) get(service string) *limits.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		b.seed++
		s = limits.NewRetryBudget(b.seed)
		b.services[service] = s
	}
	return s
}

func (b *budgets) request(service string) { b.get(service).Request(b.now()) }

// allow reports whether a retry may be made at a service, and counts it if so.
// calls is the number of requests for other services that its run is expected
// to make: they count as retries there, although other nodes send them on.
func (b *budgets) allow(service string, calls float64) bool {
	own, others, ok := b.room(service, calls)
	if !ok {
		return false
	}
	now := b.now()
	own.Spend(now, 1)
	for _, o := range others {
		o.Spend(now, calls)
	}
	return true
}

// hasRoom reports whether a retry could be made now.
func (b *budgets) hasRoom(service string, calls float64) bool {
	_, _, ok := b.room(service, calls)
	return ok
}

func (b *budgets) room(service string, calls float64) (own *limits.RetryBudget, others []*limits.RetryBudget, ok bool) {
	now := b.now()
	own, others = b.get(service), b.others(service)
	b.configure(own)
	ok = own.Room(now) >= 1
	for _, o := range others {
		b.configure(o)
		ok = ok && (calls == 0 || o.Room(now) >= calls)
	}
	return own, others, ok
}

func (b *budgets) configure(s *limits.RetryBudget) {
	p := b.policy()
	share := budgetMargin * p.Slack / float64(max(minFleet, b.nodes()))
	// Each node's allowance is rounded at random, by half a retry on average.
	s.Configure(budgetMargin*p.Ratio, max(0, share-0.5))
}

func (b *budgets) others(service string) []*limits.RetryBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*limits.RetryBudget
	for name, s := range b.services {
		if name != service {
			out = append(out, s)
		}
	}
	return out
}
