package health

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
)

// BenchmarkObservation measures one request from start to end, with its share
// of the ticks, at 20 targets and 200 requests/s.
func BenchmarkObservation(b *testing.B) {
	d, targets, nodes := benchDetector(20)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		observe(d, uint64(i+1), time.Duration(i)*5*time.Millisecond, targets, nodes)
	}
}

// BenchmarkBytesPerTarget reports the memory of a target after 30 s at
// 10 requests/s.
func BenchmarkBytesPerTarget(b *testing.B) {
	const targets = 1000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		d, ids, nodes := benchDetector(targets)
		for i := range uint64(300 * targets) {
			observe(d, i+1, time.Duration(i)*100*time.Microsecond, ids, nodes)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/targets, "B/target")
		runtime.KeepAlive(d)
	}
}

func benchDetector(n int) (d *Detector, targets, nodes []string) {
	d = New(Config{Service: "belt-desk", Prefer: manifest.PreferDetection, Floor: n * 7 / 10})
	var list []Target
	for i := range n {
		targets = append(targets, fmt.Sprintf("target-%04d", i))
		list = append(list, Target{ID: targets[i], State: fleet.Ready})
	}
	for i := range 12 {
		nodes = append(nodes, fmt.Sprintf("node-%02d", i))
	}
	d.SetTargets(0, list)
	return d, targets, nodes
}

func observe(d *Detector, id uint64, now time.Duration, targets, nodes []string) {
	target := targets[id%uint64(len(targets))]
	node := nodes[id*7%uint64(len(nodes))]
	d.Allow(now, node, target, true)
	d.ObserveStart(now, RequestStart{ID: id, Node: node, Zone: node[len(node)-1:], Target: target, Class: fleet.Interactive, Idempotent: true})
	d.ObserveEnd(now+time.Millisecond, RequestEnd{ID: id, Latency: time.Duration(30+id%20) * time.Millisecond})
	if now%(50*time.Millisecond) == 0 {
		d.Tick(now)
	}
	d.Decisions()
}
