package node

import (
	"context"
	"sync"
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
	"hyssopbridge/health"
	"hyssopbridge/internal/loop"
	"hyssopbridge/peer"
)

const (
	reportInterval = 100 * time.Millisecond
	healthTick     = 50 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	// targetRefresh is how often an arbiter takes the announced targets anew.
	targetRefresh = 500 * time.Millisecond
	// arbiterIdle is how long a core is kept after this node lost the lease.
	arbiterIdle = 10 * time.Second
	// evidenceDelay is how far the decision cores run behind the clock. Reports
	// of several nodes arrive at different times; without the delay a request
	// that had ended, but whose end was not reported yet, looked slow.
	evidenceDelay = reportInterval + 50*time.Millisecond
	// maxEventAge bounds the age that a report may state.
	maxEventAge = time.Second
	// maxWaiting bounds the events that wait in one arbiter.
	maxWaiting = 1 << 16
	// maxReportEvents bounds one report.
	maxReportEvents = 4096
)

// report carries a node's observations of one service to its arbiter.
type report struct {
	Service string   `cbor:"1,keyasint"`
	Zone    string   `cbor:"2,keyasint"`
	Targets []string `cbor:"4,keyasint"`
	Events  []event  `cbor:"3,keyasint"`
}

type reportAnswer struct{}

// detector sends this node's observations to the arbiters, and decides for the
// services that this node is the arbiter of.
type detector struct {
	n        *Node
	mu       sync.Mutex
	arbiters map[string]*arbiter
}

// arbiter is the decision core of one service.
type arbiter struct {
	core      *health.Detector
	prefer    manifest.Preference
	floor     int
	epoch     int64
	seq       int64
	last      []fleet.Ejection
	nodeIDs   map[string]uint64 // base of request IDs by node, so that IDs do not collide
	heldAt    time.Duration     // when the lease was last held
	targetsAt time.Duration
	waiting   eventQueue
	lastDone  uint64 // ID of the last request that was reported whole
}

func newDetector(n *Node) *detector {
	return &detector{n: n, arbiters: map[string]*arbiter{}}
}

// runReports sends observations until ctx ends.
func (d *detector) runReports(ctx context.Context) {
	loop.Every(ctx, reportInterval, func() {
		for service, v := range d.n.observer.take() {
			d.route(ctx, service, v)
		}
	})
}

func (d *detector) route(ctx context.Context, service string, v *evidence) {
	r := &report{Service: service, Zone: d.n.self.Zone, Targets: v.targets, Events: v.events[:min(len(v.events), maxReportEvents)]}
	home, ok := d.n.orders.homeOf(service, "")
	switch {
	case !ok:
	case home == d.n.member:
		d.take(d.n.self.ID, r)
	default:
		go func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			_, _ = call[report, reportAnswer](ctx, d.n, home.Node, methodReport, r)
		}()
	}
}

func (d *detector) serveReport(_ context.Context, from peer.Identity, r *report) (*reportAnswer, error) {
	d.take(from.Node, r)
	return &reportAnswer{}, nil
}

// take feeds a report to the core of its service, if this node is the arbiter.
func (d *detector) take(node string, r *report) {
	l, held := d.n.orders.lease(r.Service)
	if !held {
		return
	}
	svc, live := d.n.routes.service(r.Service)
	if !live {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.arbiter(r.Service, svc.Prefer, svc.Floor, l.Epoch)
	now := d.n.clock()
	base := a.base(node)
	for i := range r.Events {
		a.queue(now, queuedEvent{node: node, zone: r.Zone, base: base, event: r.Events[i]}, r.Targets)
	}
}

// queue adds an event to the arbiter. A request that was reported whole becomes
// a start and an end; one whose outcome says nothing is left out.
func (a *arbiter) queue(now time.Duration, q queuedEvent, targets []string) {
	if q.Kind != eventEnd && int(q.Target) >= len(targets) {
		return
	}
	age := time.Duration(q.AgeMS) * time.Millisecond
	if q.Kind != eventEnd {
		q.target = targets[q.Target]
	}
	if q.Kind != eventDone {
		a.waiting.add(now-min(max(0, age), maxEventAge), q)
		return
	}
	if q.Neutral {
		return
	}
	a.lastDone++
	q.ID, q.base = a.lastDone, doneBase
	start, end := q, q
	start.Kind, end.Kind = eventStart, eventEnd
	at := now - min(max(0, age), maxEventAge)
	took := time.Duration(q.LatencyUS) * time.Microsecond
	a.waiting.add(at-min(max(0, took), maxEventAge), start)
	a.waiting.add(at, end)
}

// arbiter returns the core of a service. A new epoch, or a changed floor or
// preference, starts from the list in force.
func (d *detector) arbiter(service string, prefer manifest.Preference, floor int, epoch int64) *arbiter {
	now := d.n.coreClock()
	a := d.arbiters[service]
	if a != nil && a.epoch == epoch && a.floor == floor && a.prefer == prefer {
		a.heldAt = now
		return a
	}
	seq := int64(0)
	if a != nil && a.epoch == epoch {
		seq = a.seq
	}
	a = &arbiter{core: health.New(health.Config{Service: service, Prefer: prefer, Floor: floor}),
		prefer: prefer, floor: floor, epoch: epoch, seq: seq, nodeIDs: map[string]uint64{}, heldAt: now, targetsAt: now}
	d.arbiters[service] = a
	a.core.SetTargets(now, d.n.healthTargets(service))
	if list := d.n.lists.get(service); list != nil {
		a.core.RestoreEjections(now, list.Entries)
		a.last = list.Entries
	}
	return a
}

// doneBase is the offset of the IDs that the arbiter gives to requests that
// were reported whole.
const doneBase = 1 << 62

// base returns an offset for the request IDs of a node.
func (a *arbiter) base(node string) uint64 {
	base, ok := a.nodeIDs[node]
	if !ok {
		base = uint64(len(a.nodeIDs)+1) << 48
		a.nodeIDs[node] = base
	}
	return base
}

// coreClock is the time up to which the decision cores have run.
func (n *Node) coreClock() time.Duration { return n.clock() - evidenceDelay }

// advance feeds the events up to now to the core, in order of their times.
func (a *arbiter) advance(now time.Duration) {
	for {
		q, ok := a.waiting.next(now)
		if !ok {
			return
		}
		a.observe(&q)
	}
}

func (a *arbiter) observe(q *queuedEvent) {
	e, now := &q.event, q.at
	id := q.base | e.ID&(1<<48-1)
	switch e.Kind {
	case eventStart:
		a.core.ObserveStart(now, health.RequestStart{ID: id, Node: q.node, Zone: q.zone, Target: q.target, Class: e.Class, Idempotent: e.Idempotent})
	case eventEnd:
		if e.Neutral {
			a.core.Cancel(id)
			return
		}
		a.core.ObserveEnd(now, health.RequestEnd{ID: id, Outcome: e.Outcome, Latency: time.Duration(e.LatencyUS) * time.Microsecond})
	}
}

// run ticks the cores until ctx ends.
func (d *detector) run(ctx context.Context) {
	loop.Every(ctx, healthTick, func() {
		for _, list := range d.step() {
			d.n.lists.put(list)
		}
	})
}

// step returns the lists that changed.
func (d *detector) step() []*fleet.EjectionList {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.n.coreClock()
	var changed []*fleet.EjectionList
	for service, a := range d.arbiters {
		l, held := d.n.orders.peekLease(service)
		if !held || l.Epoch != a.epoch {
			if now-a.heldAt > arbiterIdle {
				delete(d.arbiters, service)
			}
			continue
		}
		a.heldAt = now
		if now-a.targetsAt >= targetRefresh {
			a.targetsAt = now
			a.core.SetTargets(now, d.n.healthTargets(service))
		}
		a.advance(now)
		a.core.Tick(now)
		d.logDecisions(service, a)
		if list := a.changedList(service); list != nil {
			changed = append(changed, list)
		}
	}
	return changed
}

func (d *detector) logDecisions(service string, a *arbiter) {
	for _, dec := range a.core.Decisions() {
		d.n.decided(service, a.epoch, &dec)
	}
}

// changedList returns the next list if the ejections differ from the last one.
func (a *arbiter) changedList(service string) *fleet.EjectionList {
	entries := a.core.Ejections()
	if sameEjections(entries, a.last) {
		return nil
	}
	a.last = entries
	a.seq++
	return &fleet.EjectionList{Service: service, Epoch: a.epoch, Seq: a.seq, Entries: entries}
}

// sameEjections compares what entry nodes act on: order, target and trial
// share. The weight changes with every observation.
func sameEjections(a, b []fleet.Ejection) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Target != b[i].Target || a[i].Trial != b[i].Trial {
			return false
		}
	}
	return true
}

// healthTargets returns the announced instances of a service.
func (n *Node) healthTargets(service string) []health.Target {
	endpoints := n.members.View().Endpoints(service)
	out := make([]health.Target, 0, len(endpoints))
	for _, e := range endpoints {
		if e.State == fleet.Down {
			continue
		}
		out = append(out, health.Target{ID: e.ID, Zone: e.Node.Zone, Slots: e.Slots, State: e.State})
	}
	return out
}
