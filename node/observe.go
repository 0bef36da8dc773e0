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
)

// event is one observation in a report. A request that starts and ends
// between two reports is two events.
type event struct {
	_          struct{} `cbor:",toarray"`
	Kind       eventKind
	ID         uint64 // unique among the requests of the reporting node
	Target     string // eventStart
	Class      fleet.Class
	Idempotent bool
	Outcome    health.Outcome // eventEnd
	LatencyUS  int64          // eventEnd, µs
	Neutral    bool           // eventEnd: the outcome says nothing about the target
	AgeUS      int64          // time from the event to its report, µs
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
	pending  map[string][]event // by service; AgeUS holds the time of the event
	count    int
}

// observation follows one attempt.
type observation struct {
	o       *observer
	service string
	id      uint64
}

// Start implements proxy.Observer.
func (o *observer) Start(route *routing.Route, ep *fleet.Endpoint) proxy.Observation {
	ob := &observation{o: o, service: route.Service.Name, id: o.lastID.Add(1)}
	o.add(ob.service, event{Kind: eventStart, ID: ob.id, Target: ep.ID, Class: route.Class, Idempotent: route.Idempotent})
	return ob
}

// End implements proxy.Observation.
func (ob *observation) End(outcome proxy.Outcome, took time.Duration) {
	e := event{Kind: eventEnd, ID: ob.id, LatencyUS: took.Microseconds()}
	e.Outcome, e.Neutral = healthOutcome(outcome)
	ob.o.add(ob.service, e)
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

func (o *observer) add(service string, e event) {
	if o.trace != nil {
		o.trace.note(service, &e)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count >= maxEvidence {
		o.dropped.Add(1)
		return
	}
	if o.pending == nil {
		o.pending = map[string][]event{}
	}
	e.AgeUS = o.clock().Microseconds()
	o.pending[service] = append(o.pending[service], e)
	o.count++
}

// take returns the events since the last call.
func (o *observer) take() map[string][]event {
	o.mu.Lock()
	out := o.pending
	o.pending, o.count = nil, 0
	now := o.clock().Microseconds()
	o.mu.Unlock()
	for _, events := range out {
		for i := range events {
			events[i].AgeUS = now - events[i].AgeUS
		}
	}
	return out
}
