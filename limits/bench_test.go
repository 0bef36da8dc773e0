package limits

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"hyssopbridge/fleet"
)

func BenchmarkSlots(b *testing.B) {
	b.Run("free", func(b *testing.B) {
		s := NewSlots(SlotsConfig{Slots: 5, Queue: 10})
		b.ReportAllocs()
		for b.Loop() {
			r, err := s.Acquire(context.Background(), fleet.Interactive, time.Second)
			if err != nil {
				b.Fatal(err)
			}
			r.Release()
		}
	})
	b.Run("contended", func(b *testing.B) {
		s := NewSlots(SlotsConfig{Slots: 5, Queue: 1000})
		b.ReportAllocs()
		b.SetParallelism(4)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if r, err := s.Acquire(context.Background(), fleet.Order, time.Minute); err == nil {
					r.Release()
				}
			}
		})
	})
}

func BenchmarkRateAllow(b *testing.B) {
	for _, nodes := range []int{20, 2800} {
		var ids []string
		for i := range nodes {
			ids = append(ids, fmt.Sprintf("n%d", i))
		}
		l := NewRateLimiter(RateConfig{Node: "n0"})
		l.SetNodes(ids)
		var keys []RateKey
		for i := range 2048 {
			keys = append(keys, NewRateKey("s/r", fmt.Sprint(i)))
		}
		b.Run(fmt.Sprintf("known/nodes=%d", nodes), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.Allow(time.Duration(i)*time.Microsecond, keys[i%len(keys)], Rate{1e6, 1e6})
			}
		})
		b.Run(fmt.Sprintf("new/nodes=%d", nodes), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.Allow(time.Duration(i)*time.Microsecond, RateKey(mix(uint64(i))), Rate{10, 10})
			}
		})
	}
}

func BenchmarkRetryBudget(b *testing.B) {
	budget := NewRetryBudget(1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		budget.RecordRequest(time.Duration(i) * time.Microsecond)
	}
}

func BenchmarkStallDetectorRecord(b *testing.B) {
	var gaps Gaps
	d := NewStallDetector(&gaps, fleet.Download, time.Second, 0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d.Record(time.Duration(i), 1)
	}
}

// BenchmarkRateMemory fills a limiter to its maximum number of keys and reports
// the bytes per key, over the keys that the node uses and those that it owns.
func BenchmarkRateMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		start := heap()
		user := NewRateLimiter(RateConfig{Node: "n0"})
		user.SetNodes([]string{"n0", "n1"})
		for i := range 470_000 {
			user.Allow(time.Second, RateKey(mix(uint64(i))), Rate{10, 10})
		}
		used, owned := user.Keys()
		b.ReportMetric((heap()-start)/float64(used+owned), "B/key")
		b.ReportMetric(float64(used+owned), "keys")
		runtime.KeepAlive(user)
	}
}
