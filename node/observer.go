package node

import (
	"sync"
	"sync/atomic"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/health"
	"hyssopbridge/proxy"
	"hyssopbridge/routing"
)

const (
	// maxEvidence bounds the events that wait to be reported. Under overload
	// the newest are dropped: evidence is a sample, traffic is not slowed.
	maxEvidence = 8192
)

// eventKind tells what an event reports.
type eventKind uint8

const (
	eventStart eventKind = iota + 1
	eventEnd
	eventDone // start and end of a request that ended before the report
)

// event is one observation in a report.
type event struct {
	_          struct{} `cbor:",toarray"`
	Kind       eventKind
	ID         uint64 // unique among the requests of the reporting node; 0 for eventDone
	Target     uint16 // index in the report's targets; not eventEnd
	Class      fleet.Class
	Idempotent bool
	Outcome    health.Outcome // not eventStart
	LatencyUS  int64          // not eventStart, µs
	Neutral    bool           // not eventStart: the outcome says nothing about the target
	AgeMS      int64          // time from the event, or from the end of eventDone, to its report, ms
}

// evidence is what was observed of one service since the last report.
type evidence struct {
	targets []string
	events  []event
	times   []time.Duration // of the events
}

func (v *evidence) target(id string) uint16 {
	for i, known := range v.targets {
		if known == id {
			return uint16(i)
		}
	}
	v.targets = append(v.targets, id)
	return uint16(len(v.targets) - 1)
}

// observer collects what the entry handler sees. It implements proxy.Observer.
type observer struct {
	finished func(*proxy.Result)
	operate  func(*proxy.Result) // events, objectives and metrics
	lastID   atomic.Uint64
	dropped  atomic.Int64
	clock    func() time.Duration
	trace    *traceRecorder // nil when traffic is not recorded
	mu       sync.Mutex
	pending  map[string]*evidence // by service
	round    uint64               // reports so far
	count    int
}

// observation follows one attempt.
type observation struct {
	o       *observer
	service string
	id      uint64
	round   uint64 // report that the start belongs to
	index   int    // of the start in its evidence; -1 when it was dropped
}

// Start implements proxy.Observer.
func (o *observer) Start(route *routing.Route, ep *fleet.Endpoint) proxy.Observation {
	ob := &observation{o: o, service: route.Service.Name, id: o.lastID.Add(1)}
	if o.trace != nil {
		o.trace.start(ob.service, health.RequestStart{ID: ob.id, Target: ep.ID, Class: route.Class, Idempotent: route.Idempotent})
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.of(ob.service)
	e := event{Kind: eventStart, ID: ob.id, Target: v.target(ep.ID), Class: route.Class, Idempotent: route.Idempotent}
	ob.round, ob.index = o.round, o.add(v, e)
	return ob
}

// End implements proxy.Observation.
func (ob *observation) End(outcome proxy.Outcome, took time.Duration) {
	e := event{Kind: eventEnd, ID: ob.id, LatencyUS: took.Microseconds()}
	e.Outcome, e.Neutral = healthOutcome(outcome)
	o := ob.o
	if o.trace != nil && !e.Neutral {
		o.trace.end(ob.service, health.RequestEnd{ID: ob.id, Outcome: e.Outcome, Latency: took})
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.of(ob.service)
	if ob.round != o.round || ob.index < 0 {
		o.add(v, e)
		return
	}
	start := &v.events[ob.index]
	start.Kind, start.ID = eventDone, 0
	start.Outcome, start.Neutral, start.LatencyUS = e.Outcome, e.Neutral, e.LatencyUS
	v.times[ob.index] = o.clock()
}

func healthOutcome(o proxy.Outcome) (outcome health.Outcome, neutral bool) {
	switch o {
	case proxy.OutcomeOK:
		return health.OK, false
	case proxy.OutcomeTimeout, proxy.OutcomeUnreachable:
		return health.Timeout, false
	case proxy.OutcomeTruncated:
		return health.Truncated, false
	case proxy.OutcomeShed:
		return health.Shed, false
	case proxy.OutcomeError:
		return health.Error, false
	default:
		return health.OK, true
	}
}

// Finished implements proxy.Observer.
func (o *observer) Finished(r *proxy.Result) {
	if o.operate != nil {
		o.operate(r)
	}
	if o.finished != nil {
		o.finished(r)
	}
}

func (o *observer) of(service string) *evidence {
	if o.pending == nil {
		o.pending = map[string]*evidence{}
	}
	v := o.pending[service]
	if v == nil {
		v = &evidence{}
		o.pending[service] = v
	}
	return v
}

// add returns the index of the event, or -1 when there is no room.
func (o *observer) add(v *evidence, e event) int {
	if o.count >= maxEvidence {
		o.dropped.Add(1)
		return -1
	}
	o.count++
	v.events = append(v.events, e)
	v.times = append(v.times, o.clock())
	return len(v.events) - 1
}

// take returns what was observed since the last call.
func (o *observer) take() map[string]*evidence {
	o.mu.Lock()
	out := o.pending
	o.pending, o.count = nil, 0
	o.round++
	now := o.clock()
	o.mu.Unlock()
	for _, v := range out {
		for i := range v.events {
			v.events[i].AgeMS = (now - v.times[i]).Milliseconds()
		}
	}
	return out
}
