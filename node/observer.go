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
	// maxPendingEvents is the maximum number of events that wait to be reported.
	// Beyond it, new events are dropped rather than traffic slowed: failure
	// detection works with a sample.
	maxPendingEvents = 8192
)

// eventKind is the kind of an event.
type eventKind uint8

const (
	eventStart eventKind = iota + 1
	eventEnd
	eventComplete // start and end of a request that ended before its start was reported
)

// event is one observation in a report.
type event struct {
	_          struct{} `cbor:",toarray"`
	Kind       eventKind
	ID         uint64 // unique among the requests of the reporting node; 0 for eventComplete
	Target     uint16 // index in the report's targets; not eventEnd
	Class      fleet.Class
	Idempotent bool
	Outcome    health.Outcome // not eventStart
	LatencyUS  int64          // not eventStart, µs
	Neutral    bool           // not eventStart: the outcome says nothing about the target
	AgeMS      int64          // time from the event, or from the end of an eventComplete, to its report, ms
}

// serviceEvents holds the events of one service since the last report.
type serviceEvents struct {
	targets []string
	events  []event
	times   []time.Duration // of the events
}

// targetIndex returns the index of a target in targets and adds the target if it
// is new.
func (v *serviceEvents) targetIndex(id string) uint16 {
	for i, known := range v.targets {
		if known == id {
			return uint16(i)
		}
	}
	v.targets = append(v.targets, id)
	return uint16(len(v.targets) - 1)
}

// observer collects the outcomes of attempts and requests at this node. It
// implements proxy.Observer.
type observer struct {
	onResult       func(*proxy.Result)
	resultRecorder func(*proxy.Result) // records events, objectives and metrics
	lastID         atomic.Uint64
	dropped        atomic.Int64
	clock          func() time.Duration
	trace          *traceRecorder // nil when traffic is not recorded
	mu             sync.Mutex
	pending        map[string]*serviceEvents // by service
	reportNumber   uint64                    // number of the next report
	pendingCount   int
}

// observation tracks one attempt.
type observation struct {
	o            *observer
	service      string
	id           uint64
	reportNumber uint64 // number of the report that contains the start event
	startIndex   int    // index of the start event in its report; -1 if it was dropped
}

// Start implements proxy.Observer.
func (o *observer) Start(route *routing.Route, ep *fleet.Endpoint) proxy.Observation {
	ob := &observation{o: o, service: route.Service.Name, id: o.lastID.Add(1)}
	if o.trace != nil {
		o.trace.start(ob.service, health.RequestStart{ID: ob.id, Target: ep.ID, Class: route.Class, Idempotent: route.Idempotent})
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.forService(ob.service)
	e := event{Kind: eventStart, ID: ob.id, Target: v.targetIndex(ep.ID), Class: route.Class, Idempotent: route.Idempotent}
	ob.reportNumber, ob.startIndex = o.reportNumber, o.add(v, e)
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
	v := o.forService(ob.service)
	if ob.reportNumber != o.reportNumber || ob.startIndex < 0 {
		o.add(v, e)
		return
	}
	start := &v.events[ob.startIndex]
	start.Kind, start.ID = eventComplete, 0
	start.Outcome, start.Neutral, start.LatencyUS = e.Outcome, e.Neutral, e.LatencyUS
	v.times[ob.startIndex] = o.clock()
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
	if o.resultRecorder != nil {
		o.resultRecorder(r)
	}
	if o.onResult != nil {
		o.onResult(r)
	}
}

func (o *observer) forService(service string) *serviceEvents {
	if o.pending == nil {
		o.pending = map[string]*serviceEvents{}
	}
	v := o.pending[service]
	if v == nil {
		v = &serviceEvents{}
		o.pending[service] = v
	}
	return v
}

// add appends an event and returns its index. If too many events are pending, it
// drops the event and returns -1.
func (o *observer) add(v *serviceEvents, e event) int {
	if o.pendingCount >= maxPendingEvents {
		o.dropped.Add(1)
		return -1
	}
	o.pendingCount++
	v.events = append(v.events, e)
	v.times = append(v.times, o.clock())
	return len(v.events) - 1
}

// takePending returns and removes the pending events by service.
func (o *observer) takePending() map[string]*serviceEvents {
	o.mu.Lock()
	out := o.pending
	o.pending, o.pendingCount = nil, 0
	o.reportNumber++
	now := o.clock()
	o.mu.Unlock()
	for _, v := range out {
		for i := range v.events {
			v.events[i].AgeMS = (now - v.times[i]).Milliseconds()
		}
	}
	return out
}
