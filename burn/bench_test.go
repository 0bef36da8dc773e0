package burn

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hyssopbridge/fleet"
)

// BenchmarkHours records two hours of requests at one node, 400 per second, of
// which 0.1% are bad. It reports the memory of the node's intervals and the
// bytes per second of replication to two nodes.
func BenchmarkHours(b *testing.B) {
	for _, services := range []int{4, 100, 2000} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			for b.Loop() {
				simulateHours(b, services)
			}
		})
	}
}

func simulateHours(b *testing.B, services int) {
	const perSecond, copyEvery, copies = 400, 30, 2
	c := &clock{time.Unix(1_800_000_000, 0)}
	store := NewStore(8 << 20)
	r := NewRecorder("h1", 1, store, c.now)
	rng := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(rng, 1.2, 8, uint64(services-1))
	names := make([]string, services)
	for i := range names {
		names[i] = fmt.Sprintf("service-%d", i)
	}
	sent, confirmed := 0, map[Key]uint64{}
	const seconds = 2 * 3600
	for s := range seconds {
		c.t = c.t.Add(time.Second)
		for range perSecond {
			sample := &Sample{Service: names[zipf.Uint64()], Class: fleet.Class(rng.IntN(fleet.NumClasses)), Category: Good, Answered: true,
				Took: time.Duration(rng.ExpFloat64() * float64(5*time.Millisecond))}
			if rng.IntN(1000) == 0 {
				sample.Category, sample.Target, sample.Customer = Failed, "target", fmt.Sprintf("customer-%d", rng.IntN(470_000))
			}
			r.Record(sample)
		}
		if s%copyEvery != 0 {
			continue
		}
		r.Flush()
		store.Expire(c.t)
		for _, p := range store.ToReplicate(c.t) {
			if confirmed[p.Key] < p.Version {
				confirmed[p.Key] = p.Version
				sent += copies * len(p.Data)
			}
		}
	}
	b.ReportMetric(float64(store.Bytes()), "store-B")
	b.ReportMetric(float64(sent)/seconds, "copy-B/s")
}
