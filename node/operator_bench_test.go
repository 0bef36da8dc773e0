package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"hyssopbridge/burn"
	"hyssopbridge/config/static"
	"hyssopbridge/events"
	"hyssopbridge/fleet"
	"hyssopbridge/proxy"
	"hyssopbridge/resultcode"
)

func benchmarkFinished(b *testing.B, r *proxy.Result) {
	s := &static.Settings{Node: "h1", Zone: "z1", Log: "http://127.0.0.1:1"}
	s.SetDefaults()
	n := New(s)
	b.ReportAllocs()
	for b.Loop() {
		n.operators.finished(r)
	}
}

// BenchmarkAnswered measures what operators' records add to a request that was
// answered at its first attempt.
func BenchmarkAnswered(b *testing.B) {
	benchmarkFinished(b, &proxy.Result{ID: "0123456789abcdef0123456789abcdef", Service: "reserve", Route: "read", Class: fleet.Interactive,
		Customer: "c1", Target: "reserve-1", Attempts: 1, Code: resultcode.Answered, Status: 200, Took: 3 * time.Millisecond})
}

// BenchmarkAnsweredParallel measures the same with all processors at once.
func BenchmarkAnsweredParallel(b *testing.B) {
	s := &static.Settings{Node: "h1", Zone: "z1", Log: "http://127.0.0.1:1"}
	s.SetDefaults()
	n := New(s)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		r := &proxy.Result{Service: "reserve", Class: fleet.Interactive, Target: "reserve-1", Attempts: 1, Code: resultcode.Answered, Status: 200}
		for pb.Next() {
			n.operators.finished(r)
		}
	})
}

// BenchmarkRefused measures a storm of refusals; most events are left out.
func BenchmarkRefused(b *testing.B) {
	benchmarkFinished(b, &proxy.Result{ID: "0123456789abcdef0123456789abcdef", Service: "reserve", Route: "read", Class: fleet.Interactive,
		Customer: "c1", Target: "reserve-1", Attempts: 1, Code: resultcode.QueueFull, Status: 503, Took: 3 * time.Millisecond})
}

// BenchmarkHostServed measures the check of a request at the host node.
func BenchmarkHostServed(b *testing.B) {
	s := &static.Settings{Node: "h1", Zone: "z1", Log: "http://127.0.0.1:1"}
	s.SetDefaults()
	n := New(s)
	w := httptest.NewRecorder()
	w.Header().Set(proxy.HeaderResult, resultcode.Answered.String())
	b.ReportAllocs()
	for b.Loop() {
		n.operators.hostServed("0123456789abcdef0123456789abcdef", "reserve-1;1", w)
	}
}

// BenchmarkTwoHops measures requests of one caller through two nodes with and
// without the operators' records.
func BenchmarkTwoHops(b *testing.B) {
	f := startOperatorFleet(b, 2, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	operate := f.nodes[0].observer.operate
	for _, with := range []bool{false, true} {
		b.Run(fmt.Sprintf("records=%v", with), func(b *testing.B) {
			f.nodes[0].observer.operate = nil
			if with {
				f.nodes[0].observer.operate = operate
			}
			for b.Loop() {
				f.send(b, http.MethodGet, "/stock/1", "", "")
			}
		})
	}
}

// heapAfter returns the live heap after a collection, in bytes.
func heapAfter() int64 {
	runtime.GC()
	runtime.GC()
	return heapBytes()
}

// BenchmarkMemory reports the memory of a node that is not started, with full
// rings of events, and what an hour with every series in use adds.
func BenchmarkMemory(b *testing.B) {
	s := &static.Settings{Node: "h1", Zone: "z1", Log: "http://127.0.0.1:1"}
	s.SetDefaults()
	for b.Loop() {
		empty := heapAfter()
		n := New(s)
		for i := range 2 * events.DefaultRequests {
			id := fmt.Sprintf("%032d", i)
			evidence := fmt.Sprintf("route=read class=interactive attempts=1 status=503 bytes=0 took=%dus", i)
			n.operators.events.Append(events.Event{Kind: events.Failure, Service: "reserve", Target: "reserve-1", Reason: "1604 timeout", Request: id, Evidence: evidence})
			n.operators.events.Append(events.Event{Kind: events.Ejection, Service: "reserve", Target: id, Reason: "slow", Evidence: evidence})
		}
		full := heapAfter()
		for i := range burn.MaxSeries {
			n.operators.burner.recorder.Record(&burn.Sample{Service: fmt.Sprintf("service-%d", i), Class: fleet.Interactive,
				Category: burn.Failed, Target: fmt.Sprint(i), Customer: fmt.Sprint(i), Answered: true, Took: time.Millisecond})
		}
		counted := heapAfter()
		runtime.KeepAlive(n)
		b.ReportMetric(float64(full-empty), "node-with-events-B")
		b.ReportMetric(float64(counted-full), "recorder-B")
	}
}
