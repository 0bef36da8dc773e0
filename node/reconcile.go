package node

import (
	"context"
	"sync"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/internal/loop"
	"hyssopbridge/lease"
	"hyssopbridge/membership"
)

const reconcileTick = time.Second

// reconciler brings the parts that traffic reads in line with the newest view
// of the fleet, configuration and ejection lists. One goroutine runs it.
type reconciler struct {
	n        *Node
	wake     chan struct{}
	mu       sync.Mutex
	services map[string]bool // services to update although the view did not change
	all      bool            // the configuration changed
	// The rest belongs to the goroutine.
	applied map[string]uint64 // service -> version of its endpoints
	view    uint64
}

func newReconciler(n *Node) *reconciler {
	return &reconciler{n: n, wake: make(chan struct{}, 1), services: map[string]bool{}, applied: map[string]uint64{}}
}

// poke asks for an update of one service.
func (r *reconciler) poke(service string) {
	r.mu.Lock()
	r.services[service] = true
	r.mu.Unlock()
	r.notify()
}

// configChanged asks for an update of every service.
func (r *reconciler) configChanged() {
	r.mu.Lock()
	r.all = true
	r.mu.Unlock()
	r.notify()
}

func (r *reconciler) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *reconciler) run(ctx context.Context) {
	loop.OnWake(ctx, reconcileTick, func() { r.n.balancer.Refresh(r.n.clock()) }, r.wake, r.step)
}

func (r *reconciler) step() {
	r.mu.Lock()
	poked, all := r.services, r.all
	r.services, r.all = map[string]bool{}, false
	r.mu.Unlock()
	view := r.n.members.View()
	if later := view.Superseded(); later != 0 {
		r.n.supersede(later)
	}
	if view.Version() != r.view {
		r.view = view.Version()
		r.updateNodes(view)
	}
	if all {
		r.n.local.reconfigure()
	}
	for _, service := range view.Services() {
		changed := view.ServiceVersion(service) != r.applied[service]
		if changed || all || poked[service] {
			r.updateService(view, service)
		}
	}
	r.dropServices(view)
}

// updateNodes gives the live nodes to the parts that need them.
func (r *reconciler) updateNodes(view *membership.View) {
	var live []fleet.Node
	var ids []string
	for _, v := range view.Nodes() {
		live = append(live, v.Node)
		ids = append(ids, v.ID)
	}
	r.n.watcher.SetNodes(live)
	r.n.rates.SetNodes(ids)
	r.n.operators.viewChanged(view)
}

func (r *reconciler) updateService(view *membership.View, service string) {
	endpoints := view.Endpoints(service)
	floor := 1
	if svc, ok := r.n.routes.service(service); ok {
		floor = svc.Floor
	}
	r.n.balancer.Update(r.n.clock(), service, floor, endpoints, r.n.lists.get(service))
	r.applied[service] = view.ServiceVersion(service)
	if r.n.runs(endpoints) {
		r.n.orders.setCandidates(service, candidates(view, endpoints))
	}
}

// runs reports whether one of the endpoints is beside this node.
func (n *Node) runs(endpoints []fleet.Endpoint) bool {
	for i := range endpoints {
		if endpoints[i].Node.ID == n.self.ID {
			return true
		}
	}
	return false
}

// dropServices removes the targets of services that nobody announces any more.
func (r *reconciler) dropServices(view *membership.View) {
	for service := range r.applied {
		if view.ServiceVersion(service) == 0 {
			r.n.balancer.Remove(service)
			r.n.orders.setCandidates(service, nil)
			delete(r.applied, service)
		}
	}
}

// candidates returns the nodes that run a service, each once.
func candidates(view *membership.View, endpoints []fleet.Endpoint) []lease.Candidate {
	var out []lease.Candidate
	seen := map[string]bool{}
	for _, e := range endpoints {
		if seen[e.Node.ID] || e.State == fleet.Down {
			continue
		}
		seen[e.Node.ID] = true
		out = append(out, lease.Candidate{
			Member:    fleet.Member{Node: e.Node.ID, Incarnation: e.Node.Incarnation},
			Zone:      e.Node.Zone,
			Condition: condition(view.Node(e.Node.ID)),
		})
	}
	return out
}

func condition(v *membership.NodeView) lease.Condition {
	switch {
	case v == nil || v.Status >= membership.Dead:
		return lease.Dead
	case v.Leaving:
		return lease.Draining
	default:
		return lease.Alive
	}
}
