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

func benchmarkRecordResult(b *testing.B, r *proxy.Result) {
	s := &static.Settings{Node: "h1", Zone: "z1", Log: "http://127.0.0.1:1"}
	s.SetDefaults()
	n := New(s)
	b.ReportAllocs()
	for b.Loop() {
		n.operator.recordResult(r)
	}
}

// BenchmarkAnswered measures the cost of the operators' records for a request that
// was answered at its first attempt.
func BenchmarkAnswered(b *testing.B) {
	benchmarkRecordResult(b, &proxy.Result{ID: "0123456789abcdef0123456789abcdef", Service: "reserve", Route: "read", Class: fleet.Interactive,
		Customer: "c1", Target: "reserve-1", Attempts: 1, Code: resultcode.Answered, Status: 200, Took: 3 * time.Millisecond})
}

// BenchmarkAnsweredParallel measures the same on all CPUs in parallel.
func BenchmarkAnsweredParallel(b *testing.B) {
	s := &static.Settings{Node: "h1", Zone: "z1", Log: "http://127.0.0.1:1"}
	s.SetDefaults()
	n := New(s)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		r := &proxy.Result{Service: "reserve", Class: fleet.Interactive, Target: "reserve-1", Attempts: 1, Code: resultcode.Answered, Status: 200}
		for pb.Next() {
			n.operator.recordResult(r)
		}
	})
}

// BenchmarkRefused measures the same for a flood of refused requests, most events
// of which are omitted.
func BenchmarkRefused(b *testing.B) {
	benchmarkRecordResult(b, &proxy.Result{ID: "0123456789abcdef0123456789abcdef", Service: "reserve", Route: "read", Class: fleet.Interactive,
		Customer: "c1", Target: "reserve-1", Attempts: 1, Code: resultcode.QueueFull, Status: 503, Took: 3 * time.Millisecond})
}

// BenchmarkRecordHostResult measures the check of a request's result at the host
// node.
func BenchmarkRecordHostResult(b *testing.B) {
	s := &static.Settings{Node: "h1", Zone: "z1", Log: "http://127.0.0.1:1"}
	s.SetDefaults()
	n := New(s)
	w := httptest.NewRecorder()
	w.Header().Set(proxy.HeaderResult, resultcode.Answered.String())
	b.ReportAllocs()
	for b.Loop() {
		n.operator.recordHostResult("0123456789abcdef0123456789abcdef", "reserve-1;1", w)
	}
}

// BenchmarkTwoHops measures requests of one caller through an entry and a host
// node, with and without the operators' records.
func BenchmarkTwoHops(b *testing.B) {
	f := startOperatorFleet(b, 2, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	recorder := f.nodes[0].observer.resultRecorder
	for _, with := range []bool{false, true} {
		b.Run(fmt.Sprintf("records=%v", with), func(b *testing.B) {
			f.nodes[0].observer.resultRecorder = nil
			if with {
				f.nodes[0].observer.resultRecorder = recorder
			}
			for b.Loop() {
				f.send(b, http.MethodGet, "/stock/1", "", "")
			}
		})
	}
}

// heapAfterGC returns the size of the live heap after a garbage collection.
func heapAfterGC() int64 {
	runtime.GC()
	runtime.GC()
	return heapBytes()
}

// BenchmarkMemory reports the memory of a node that is not started and has full
// event buffers, and the memory that counting with every series in use adds.
func BenchmarkMemory(b *testing.B) {
	s := &static.Settings{Node: "h1", Zone: "z1", Log: "http://127.0.0.1:1"}
	s.SetDefaults()
	for b.Loop() {
		empty := heapAfterGC()
		n := New(s)
		for i := range 2 * events.DefaultRequests {
			id := fmt.Sprintf("%032d", i)
			evidence := fmt.Sprintf("route=read class=interactive attempts=1 status=503 bytes=0 took=%dus", i)
			n.operator.events.Append(events.Event{Kind: events.Failure, Service: "reserve", Target: "reserve-1", Reason: "1604 timeout", Request: id, Evidence: evidence})
			n.operator.events.Append(events.Event{Kind: events.Ejection, Service: "reserve", Target: id, Reason: "slow", Evidence: evidence})
		}
		full := heapAfterGC()
		for i := range burn.MaxSeries {
			n.operator.burnTracker.recorder.Record(&burn.Sample{Service: fmt.Sprintf("service-%d", i), Class: fleet.Interactive,
				Category: burn.Failed, Target: fmt.Sprint(i), Customer: fmt.Sprint(i), Answered: true, Took: time.Millisecond})
		}
		counted := heapAfterGC()
		runtime.KeepAlive(n)
		b.ReportMetric(float64(full-empty), "node-with-events-B")
		b.ReportMetric(float64(counted-full), "recorder-B")
	}
}
