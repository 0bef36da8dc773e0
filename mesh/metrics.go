package mesh

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"hyssopbridge/admission"
	"hyssopbridge/config/dynamic"
	"hyssopbridge/resultcode"
)

const (
	reservoirSize  = 256   // samples that a latency histogram keeps
	reservoirAlpha = 0.015 // weight of newer samples
)

// metrics counts events of the data path. Names and units are in
// docs/METRICS-PLATFORM.md.
type metrics struct {
	registry  gometrics.Registry
	requestMs gometrics.Histogram // latency of caller requests, in ms
	targetMs  gometrics.Histogram // latency of exchanges with the target, in ms
	queueMs   gometrics.Histogram // time in line at a host until a slot, in ms
	sums      sync.Mutex          // locked while a sum is increased
}

func newMetrics() *metrics {
	m := &metrics{registry: gometrics.NewRegistry()}
	m.requestMs = m.histogram("mesh_request_ms")
	m.targetMs = m.histogram("mesh_target_ms")
	m.queueMs = m.histogram("mesh_queue_ms")
	return m
}

func (m *metrics) histogram(name string) gometrics.Histogram {
	return gometrics.GetOrRegisterHistogram(name, m.registry, gometrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
}

func (m *metrics) count(name string) { m.countN(name, 1) }

func (m *metrics) countN(name string, n int) {
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(int64(n))
}

// add increases a sum of expected values. It does nothing if m is nil.
func (m *metrics) add(name string, n float64) {
	if m == nil {
		return
	}
	m.sums.Lock()
	defer m.sums.Unlock()
	g := gometrics.GetOrRegisterGaugeFloat64(name, m.registry)
	g.Update(g.Value() + n)
}

// set sets a gauge.
func (m *metrics) set(name string, value float64) {
	gometrics.GetOrRegisterGaugeFloat64(name, m.registry).Update(value)
}

// sum returns the value of a sum or gauge; 0 if it was never set.
func (m *metrics) sum(name string) float64 {
	if g, ok := m.registry.Get(name).(gometrics.GaugeFloat64); ok {
		return g.Value()
	}
	return 0
}

func (m *metrics) request(_ *dynamic.Route, err error, took time.Duration) {
	m.requestMs.Update(took.Milliseconds())
	code := resultcode.Answered
	var resultErr *resultcode.Error
	if errors.As(err, &resultErr) {
		code = resultErr.Code
	}
	m.count(fmt.Sprintf("mesh_requests_total.%d", int(code)))
}

func (m *metrics) reservation(reason admission.Reason) {
	m.count("mesh_reservations_total." + reason.String())
}

// queueLeft counts a request that left a queue without a slot.
func (m *metrics) queueLeft(reason admission.Reason) {
	m.count("mesh_queue_left_total." + reason.String())
}

func (m *metrics) target(outcome admission.Outcome, took time.Duration) {
	m.targetMs.Update(took.Milliseconds())
	m.count("mesh_target_answers_total." + outcome.String())
}

// write writes every metric as one line of the text exposition format that
// common collectors read.
func (m *metrics) write(w io.Writer) {
	m.registry.Each(func(name string, v any) {
		base, label, _ := strings.Cut(name, ".")
		if label != "" {
			label = `{kind="` + label + `"}`
		}
		switch v := v.(type) {
		case gometrics.Counter:
			fmt.Fprintf(w, "%s%s %d\n", base, label, v.Count())
		case gometrics.Gauge:
			fmt.Fprintf(w, "%s%s %d\n", base, label, v.Value())
		case gometrics.GaugeFloat64:
			fmt.Fprintf(w, "%s%s %s\n", base, label, strconv.FormatFloat(v.Value(), 'f', 3, 64))
		case gometrics.Histogram:
			s := v.Snapshot()
			for _, q := range []float64{0.5, 0.9, 0.99} {
				fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", base, q, s.Percentile(q))
			}
			fmt.Fprintf(w, "%s_count %d\n", base, s.Count())
		}
	})
}

// ServeMetrics writes the node's metrics in the text exposition format.
func (n *Node) ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	n.metrics.write(w)
}
