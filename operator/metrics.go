package operator

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"hyssopbridge/events"
	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

const (
	// classNone is the index of requests without a route.
	classNone = fleet.NumClasses
	// Histograms use an exponentially decaying reservoir that favors the values
	// of about the last 5 min.
	reservoirSize  = 1028
	reservoirAlpha = 0.015
	otherMethod    = "other"
)

// peerMethods are the RPC methods whose traffic is counted separately. Calls to
// any other method count as otherMethod, so that a peer cannot create metrics.
var peerMethods = []string{
	"membership", "control.state", "lease", "once.lookup", "once.import", "settle", "rates", "health.report", "health.lists",
	"operator.drain", "burn.copy", otherMethod,
}

// Metrics holds the metrics of one node. Its methods are safe for concurrent
// use.
type Metrics struct {
	registry  metrics.Registry
	requests  [classNone + 1]map[resultcode.Code]metrics.Counter
	refusals  [classNone + 1]metrics.Counter
	retries   [classNone + 1]metrics.Counter
	latency   [classNone + 1]metrics.Histogram
	queueWait metrics.Histogram
	peers     map[string]peerCounters
	gauges    map[string]metrics.Gauge
}

type peerCounters struct{ calls, received, sent metrics.Counter }

// NewMetrics returns Metrics with every metric of Definitions registered.
func NewMetrics() *Metrics {
	m := &Metrics{registry: metrics.NewRegistry(), peers: map[string]peerCounters{}, gauges: map[string]metrics.Gauge{}}
	for c := range m.requests {
		m.registerClass(c)
	}
	m.queueWait = m.histogram("queue_wait_us")
	for _, method := range peerMethods {
		m.peers[method] = peerCounters{m.counter("peer_calls_total." + method),
			m.counter("peer_received_bytes_total." + method), m.counter("peer_sent_bytes_total." + method)}
	}
	for _, d := range definitions {
		if d.Kind == kindGauge {
			m.registerGauge(d.Name)
		}
	}
	return m
}

func className(c int) string {
	if c == classNone {
		return "none"
	}
	return fleet.Class(c).String()
}

func (m *Metrics) registerClass(c int) {
	name := className(c)
	m.requests[c] = map[resultcode.Code]metrics.Counter{}
	for _, info := range resultcode.All() {
		if info.Status != 0 {
			m.requests[c][info.Code] = m.counter("requests_total." + name + "." + strconv.Itoa(int(info.Code)))
		}
	}
	m.refusals[c] = m.counter("refusals_total." + name)
	m.retries[c] = m.counter("retries_total." + name)
	m.latency[c] = m.histogram("request_latency_us." + name)
}

func (m *Metrics) registerGauge(name string) {
	base, perKind := strings.CutSuffix(name, ".KIND")
	if !perKind {
		m.gauges[name] = metrics.NewRegisteredGauge(name, m.registry)
		return
	}
	for k := range events.NumKinds {
		kind := base + "." + k.String()
		m.gauges[kind] = metrics.NewRegisteredGauge(kind, m.registry)
	}
}

func (m *Metrics) counter(name string) metrics.Counter {
	return metrics.NewRegisteredCounter(name, m.registry)
}

func (m *Metrics) histogram(name string) metrics.Histogram {
	return metrics.NewRegisteredHistogram(name, m.registry, metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

// RecordRequest records a completed request of a caller. routed is false if no
// route matched, in which case class is ignored.
func (m *Metrics) RecordRequest(class fleet.Class, routed bool, code resultcode.Code, ran resultcode.Ran, attempts int, took time.Duration) {
	c := classNone
	if routed && class < fleet.NumClasses {
		c = int(class)
	}
	if counter := m.requests[c][code]; counter != nil {
		counter.Inc(1)
	}
	if code != resultcode.Answered && ran == resultcode.RanNo {
		m.refusals[c].Inc(1)
	}
	if attempts > 1 {
		m.retries[c].Inc(int64(attempts - 1))
	}
	m.latency[c].Update(took.Microseconds())
}

// RecordQueueWait records how long a request waited for a slot.
func (m *Metrics) RecordQueueWait(d time.Duration) { m.queueWait.Update(d.Microseconds()) }

// RecordPeerCall counts an RPC between nodes and the bytes of its bodies.
func (m *Metrics) RecordPeerCall(method string, received, sent int) {
	p, known := m.peers[method]
	if !known {
		p = m.peers[otherMethod]
	}
	p.calls.Inc(1)
	p.received.Inc(int64(received))
	p.sent.Inc(int64(sent))
}

// SetGauge sets a gauge listed in Definitions. It panics for any other name, so
// that every metric is documented.
func (m *Metrics) SetGauge(name string, value int64) {
	g := m.gauges[name]
	if g == nil {
		panic("operator: undocumented metric " + name)
	}
	g.Update(value)
}

// Registry returns all metrics.
func (m *Metrics) Registry() metrics.Registry { return m.registry }

// quantiles are the quantiles of a histogram that WriteText prints.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// WriteText writes one line per value, sorted by name.
func (m *Metrics) WriteText(w io.Writer) {
	var lines []string
	add := func(name string, value any) { lines = append(lines, fmt.Sprintf("%s %v", name, value)) }
	m.registry.Each(func(name string, v any) {
		switch v := v.(type) {
		case metrics.Counter:
			add(name, v.Count())
		case metrics.Gauge:
			add(name, v.Value())
		case metrics.Histogram:
			h := v.Snapshot()
			add(name+".count", h.Count())
			add(name+".max", h.Max())
			for i, q := range h.Percentiles(quantiles) {
				add(fmt.Sprintf("%s.p%g", name, 100*quantiles[i]), int64(q))
			}
		}
	})
	slices.Sort(lines)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}
