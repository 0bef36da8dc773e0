package loadbalancer

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

func BenchmarkPickDone(b *testing.B) {
	for _, n := range []int{5, 31, 1000} {
		balancer := newBalancer(Config{Rand: rand.Float64})
		balancer.Update(0, "s", 1, append(ready(n/2, "a1"), ready(n-n/2, "a2")...), nil)
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					s, err := balancer.Pick(time.Second, "s", Request{Idempotent: true})
					if err != nil {
						b.Error(err)
						return
					}
					s.Done(time.Second, Result{ReportedLoad: 1})
				}
			})
		})
		b.Run(fmt.Sprintf("serial/targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s, err := balancer.Pick(time.Second, "s", Request{Idempotent: true})
				if err != nil {
					b.Fatal(err)
				}
				s.Done(time.Second, Result{ReportedLoad: 1})
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{31, 1000} {
		balancer := newBalancer(Config{Rand: rand.Float64})
		endpoints := append(ready(n/2, "a1"), ready(n-n/2, "a2")...)
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				balancer.Update(time.Second, "s", 1, endpoints, nil)
			}
		})
	}
}

// BenchmarkFleetMemory reports the heap used by a Balancer with 180,000 targets in
// 5,800 services, without the endpoints, which the caller owns.
func BenchmarkFleetMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	endpoints := append(ready(3, "a1"), ready(28, "a2")...)
	for b.Loop() {
		start := heap()
		balancer := newBalancer(Config{})
		for i := range 5800 {
			balancer.Update(0, fmt.Sprintf("s%d", i), 1, endpoints, nil)
		}
		b.ReportMetric((heap()-start)/(5800*31), "B/instance")
		b.ReportMetric((heap()-start)/1e6, "MB")
		runtime.KeepAlive(balancer)
	}
}
