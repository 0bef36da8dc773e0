package node

import (
	"fmt"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/health"
	"hyssopbridge/peer"
)

// BenchmarkIdleFleet measures the CPU time and heap per node of a fleet without
// requests, in which each node has one announced target.
func BenchmarkIdleFleet(b *testing.B) {
	for _, nodes := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			f := newTestFleet(&testing.T{}, nodes, nil, func(http.ResponseWriter, *http.Request) {})
			defer func() {
				for _, n := range f.nodes {
					n.Kill()
				}
			}()
			time.Sleep(20 * time.Second) // until the nodes have joined and the first home groups exist
			before := processorTime()
			start := time.Now()
			for range b.N {
				time.Sleep(5 * time.Second)
			}
			spent := processorTime() - before
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(spent.Microseconds())/time.Since(start).Seconds()/float64(nodes), "us/s/node")
			b.ReportMetric(float64(m.HeapAlloc)/float64(nodes)/(1<<20), "MiB/node")
		})
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkReportBytes measures the size per request of the reports that entry
// nodes send to arbiters.
func BenchmarkReportBytes(b *testing.B) {
	for _, requests := range []int{1, 4, 40} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) {
			r := report{Service: "belt-desk", Zone: "zone-a", Targets: []string{"belt-desk-17"}}
			for range requests {
				r.Events = append(r.Events, event{Kind: eventComplete, Class: fleet.Interactive, Idempotent: true, Outcome: health.OK, LatencyUS: 41_000, AgeMS: 20})
			}
			var size int
			for range b.N {
				data, err := peer.Marshal(&r)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(requests), "B/request")
		})
	}
}
