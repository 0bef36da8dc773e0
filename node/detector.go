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
	detectorTick   = 50 * time.Millisecond
	reportTimeout  = 500 * time.Millisecond
	// targetRefreshInterval is the interval at which an arbiter updates its set
	// of targets from the membership.
	targetRefreshInterval = 500 * time.Millisecond
	// arbiterRetention is how long an arbiter is kept after this node lost the
	// lease of the service.
	arbiterRetention = 10 * time.Second
	// observationDelay is how far the failure detectors run behind the clock.
	// Reports of several nodes arrive at different times; without the delay, a
	// request that has ended but whose end is not reported yet would look slow.
	observationDelay = reportInterval + 50*time.Millisecond
	// maxEventAge is the maximum age of an event in a report; larger ages are
	// clamped.
	maxEventAge = time.Second
	// maxQueuedEvents is the maximum number of events queued in one arbiter.
	maxQueuedEvents = 1 << 16
	// maxReportEvents is the maximum number of events in one report.
	maxReportEvents = 4096
)

// report carries an entry node's observations of one service to its arbiter.
type report struct {
	Service string   `cbor:"1,keyasint"`
	Zone    string   `cbor:"2,keyasint"`
	Targets []string `cbor:"4,keyasint"`
	Events  []event  `cbor:"3,keyasint"`
}

type reportResponse struct{}

// detector sends this node's observations to the arbiters of the services, and
// runs the arbiters of the services for which this node holds the lease.
type detector struct {
	n        *Node
	mu       sync.Mutex
	arbiters map[string]*arbiter
}

// arbiter decides which targets of one service are ejected.
type arbiter struct {
	detector         *health.Detector
	prefer           manifest.Preference
	floor            int
	epoch            int64
	seq              int64
	published        []fleet.Ejection
	idBases          map[string]uint64 // by node; offset that keeps the request IDs of nodes distinct
	leaseHeldAt      time.Duration     // last time at which the lease was held
	targetsUpdatedAt time.Duration
	events           eventQueue
	lastCompleteID   uint64 // ID of the last request that was reported as complete
}

func newDetector(n *Node) *detector {
	return &detector{n: n, arbiters: map[string]*arbiter{}}
}

// runReports sends reports until ctx ends.
func (d *detector) runReports(ctx context.Context) {
	loop.Every(ctx, reportInterval, func() {
		for service, v := range d.n.observer.takePending() {
			d.send(ctx, service, v)
		}
	})
}

func (d *detector) send(ctx context.Context, service string, v *serviceEvents) {
	r := &report{Service: service, Zone: d.n.self.Zone, Targets: v.targets, Events: v.events[:min(len(v.events), maxReportEvents)]}
	home, ok := d.n.home.homeOf(service, "")
	switch {
	case !ok:
	case home == d.n.member:
		d.receive(d.n.self.ID, r)
	default:
		go func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			_, _ = call[report, reportResponse](ctx, d.n, home.Node, methodReport, r)
		}()
	}
}

func (d *detector) serveReport(_ context.Context, from peer.Identity, r *report) (*reportResponse, error) {
	d.receive(from.Node, r)
	return &reportResponse{}, nil
}

// receive queues the events of a report if this node is the arbiter of its
// service.
func (d *detector) receive(node string, r *report) {
	l, held := d.n.home.lease(r.Service)
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
	base := a.idBase(node)
	for i := range r.Events {
		a.enqueue(now, queuedEvent{node: node, zone: r.Zone, base: base, event: r.Events[i]}, r.Targets)
	}
}

// enqueue queues an event. A request that was reported as complete becomes a
// start and an end event, unless its outcome is neutral.
func (a *arbiter) enqueue(now time.Duration, q queuedEvent, targets []string) {
	if q.Kind != eventEnd && int(q.Target) >= len(targets) {
		return
	}
	age := time.Duration(q.AgeMS) * time.Millisecond
	if q.Kind != eventEnd {
		q.target = targets[q.Target]
	}
	if q.Kind != eventComplete {
		a.events.add(now-min(max(0, age), maxEventAge), q)
		return
	}
	if q.Neutral {
		return
	}
	a.lastCompleteID++
	q.ID, q.base = a.lastCompleteID, completeIDBase
	start, end := q, q
	start.Kind, end.Kind = eventStart, eventEnd
	at := now - min(max(0, age), maxEventAge)
	took := time.Duration(q.LatencyUS) * time.Microsecond
	a.events.add(at-min(max(0, took), maxEventAge), start)
	a.events.add(at, end)
}

// arbiter returns the arbiter of a service. For a new epoch, or a changed floor
// or preference, it creates one that starts from the ejection list in force.
func (d *detector) arbiter(service string, prefer manifest.Preference, floor int, epoch int64) *arbiter {
	now := d.n.detectorClock()
	a := d.arbiters[service]
	if a != nil && a.epoch == epoch && a.floor == floor && a.prefer == prefer {
		a.leaseHeldAt = now
		return a
	}
	seq := int64(0)
	if a != nil && a.epoch == epoch {
		seq = a.seq
	}
	a = &arbiter{detector: health.New(health.Config{Service: service, Prefer: prefer, Floor: floor}),
		prefer: prefer, floor: floor, epoch: epoch, seq: seq, idBases: map[string]uint64{}, leaseHeldAt: now, targetsUpdatedAt: now}
	d.arbiters[service] = a
	a.detector.SetTargets(now, d.n.healthTargets(service))
	if list := d.n.lists.get(service); list != nil {
		a.detector.RestoreEjections(now, list.Entries)
		a.published = list.Entries
	}
	return a
}

// completeIDBase is the offset of the IDs that the arbiter gives to requests that
// were reported as complete.
const completeIDBase = 1 << 62

// idBase returns the offset for the request IDs of a node.
func (a *arbiter) idBase(node string) uint64 {
	base, ok := a.idBases[node]
	if !ok {
		base = uint64(len(a.idBases)+1) << 48
		a.idBases[node] = base
	}
	return base
}

// detectorClock returns the time up to which the failure detectors run.
func (n *Node) detectorClock() time.Duration { return n.clock() - observationDelay }

// advance passes the queued events up to now to the failure detector, in order
// of their times.
func (a *arbiter) advance(now time.Duration) {
	for {
		q, ok := a.events.next(now)
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
		a.detector.ObserveStart(now, health.RequestStart{ID: id, Node: q.node, Zone: q.zone, Target: q.target, Class: e.Class, Idempotent: e.Idempotent})
	case eventEnd:
		if e.Neutral {
			a.detector.Cancel(id)
			return
		}
		a.detector.ObserveEnd(now, health.RequestEnd{ID: id, Outcome: e.Outcome, Latency: time.Duration(e.LatencyUS) * time.Microsecond})
	}
}

// run ticks the arbiters until ctx ends.
func (d *detector) run(ctx context.Context) {
	loop.Every(ctx, detectorTick, func() {
		for _, list := range d.step() {
			d.n.lists.put(list)
		}
	})
}

// step advances the arbiters and returns the ejection lists that changed.
func (d *detector) step() []*fleet.EjectionList {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.n.detectorClock()
	var changed []*fleet.EjectionList
	for service, a := range d.arbiters {
		l, held := d.n.home.peekLease(service)
		if !held || l.Epoch != a.epoch {
			if now-a.leaseHeldAt > arbiterRetention {
				delete(d.arbiters, service)
			}
			continue
		}
		a.leaseHeldAt = now
		if now-a.targetsUpdatedAt >= targetRefreshInterval {
			a.targetsUpdatedAt = now
			a.detector.SetTargets(now, d.n.healthTargets(service))
		}
		a.advance(now)
		a.detector.Tick(now)
		d.reportDecisions(service, a)
		if list := a.changedList(service); list != nil {
			changed = append(changed, list)
		}
	}
	return changed
}

func (d *detector) reportDecisions(service string, a *arbiter) {
	for _, dec := range a.detector.Decisions() {
		d.n.recordDecision(service, a.epoch, &dec)
	}
}

// changedList returns a new ejection list if the ejections differ from those of
// the last one, else nil.
func (a *arbiter) changedList(service string) *fleet.EjectionList {
	entries := a.detector.Ejections()
	if sameEjections(entries, a.published) {
		return nil
	}
	a.published = entries
	a.seq++
	return &fleet.EjectionList{Service: service, Epoch: a.epoch, Seq: a.seq, Entries: entries}
}

// sameEjections compares what entry nodes act on: the order, the target and the
// share of trial requests. The weight is left out, because it changes with every
// observation.
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

// healthTargets returns the announced targets of a service that are not down.
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
