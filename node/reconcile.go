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

// reconciler updates the components that requests read to match the newest
// membership view, configuration and ejection lists. One goroutine runs it.
type reconciler struct {
	n        *Node
	wake     chan struct{}
	mu       sync.Mutex
	services map[string]bool // services to update even if the view did not change
	all      bool            // the configuration changed
	// The following fields are used by the goroutine of run only.
	applied     map[string]uint64 // service -> version of its endpoints
	appliedView uint64
}

func newReconciler(n *Node) *reconciler {
	return &reconciler{n: n, wake: make(chan struct{}, 1), services: map[string]bool{}, applied: map[string]uint64{}}
}

// serviceChanged requests an update of one service.
func (r *reconciler) serviceChanged(service string) {
	r.mu.Lock()
	r.services[service] = true
	r.mu.Unlock()
	r.notify()
}

// configChanged requests an update of every service.
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
	changedServices, all := r.services, r.all
	r.services, r.all = map[string]bool{}, false
	r.mu.Unlock()
	view := r.n.members.View()
	if later := view.Superseded(); later != 0 {
		r.n.supersede(later)
	}
	if view.Version() != r.appliedView {
		r.appliedView = view.Version()
		r.updateNodes(view)
	}
	if all {
		r.n.localTargets.reconfigure()
	}
	for _, service := range view.Services() {
		changed := view.ServiceVersion(service) != r.applied[service]
		if changed || all || changedServices[service] {
			r.updateService(view, service)
		}
	}
	r.removeServices(view)
}

// updateNodes passes the live nodes to the components that need them.
func (r *reconciler) updateNodes(view *membership.View) {
	var live []fleet.Node
	var ids []string
	for _, v := range view.Nodes() {
		live = append(live, v.Node)
		ids = append(ids, v.ID)
	}
	r.n.watcher.SetNodes(live)
	r.n.rates.SetNodes(ids)
	r.n.operator.recordViewChanges(view)
}

func (r *reconciler) updateService(view *membership.View, service string) {
	endpoints := view.Endpoints(service)
	floor := 1
	if svc, ok := r.n.routes.service(service); ok {
		floor = svc.Floor
	}
	r.n.balancer.Update(r.n.clock(), service, floor, endpoints, r.n.lists.get(service))
	r.applied[service] = view.ServiceVersion(service)
	if r.n.runsHere(endpoints) {
		r.n.home.setCandidates(service, candidates(view, endpoints))
	}
}

// runsHere reports whether one of the endpoints is on this node's host.
func (n *Node) runsHere(endpoints []fleet.Endpoint) bool {
	for i := range endpoints {
		if endpoints[i].Node.ID == n.self.ID {
			return true
		}
	}
	return false
}

// removeServices removes the services without announced targets.
func (r *reconciler) removeServices(view *membership.View) {
	for service := range r.applied {
		if view.ServiceVersion(service) == 0 {
			r.n.balancer.Remove(service)
			r.n.home.setCandidates(service, nil)
			delete(r.applied, service)
		}
	}
}

// candidates returns each node with a target of the service that is not down once.
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
