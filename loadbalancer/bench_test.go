package loadbalancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func BenchmarkPickDone(b *testing.B) {
	for _, n := range []int{5, 31, 1000} {
		bal := newBalancer(Config{Rand: rand.Float64})
		bal.Update(0, "s", 1, append(ready(n/2, "a1"), ready(n-n/2, "a2")...), nil)
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					p, err := bal.Pick(time.Second, "s", Request{Idempotent: true})
					if err != nil {
						b.Error(err)
						return
					}
					p.Done(time.Second, Result{Busy: 1})
				}
			})
		})
		b.Run(fmt.Sprintf("serial/targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p, err := bal.Pick(time.Second, "s", Request{Idempotent: true})
				if err != nil {
					b.Fatal(err)
				}
				p.Done(time.Second, Result{Busy: 1})
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{31, 1000} {
		bal := newBalancer(Config{Rand: rand.Float64})
		endpoints := append(ready(n/2, "a1"), ready(n-n/2, "a2")...)
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				bal.Update(time.Second, "s", 1, endpoints, nil)
			}
		})
	}
}
