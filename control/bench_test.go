package control

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hyssopbridge/platformlog"
)

// sizes are the numbers of services that are measured; each is a mandate of its
// own. 5,800 services with 8 routes each make about 46,000 routes.
var sizes = []int{58, 580, 5800}

const benchRoutes = 8

// benchSource returns a manifest whose routes carry the keys that a generated
// manifest usually has.
func benchSource(i, change int) []byte {
	text := fmt.Sprintf(`{"version":1,"mandate":"mandate-%05d","term":1,"holder":"Holder of mandate %05d","services":[{
  "name":"service-%05d","floor":%d,"prefer":"detection","slots":5,"connections":300,"objective":{"target":0.999,"latency_ms":400},"routes":[`, i, i, i, 1+change%20)
	classes := []string{"interactive", "order", "download", "background"}
	for r := range benchRoutes {
		if r > 0 {
			text += ","
		}
		text += fmt.Sprintf(`
  {"name":"route-%d","host":"service-%05d.example.com","path":"/api/v1/service-%05d/part-%d/*","methods":["GET","POST"],
   "class":%q,"idempotent":%v,"timeout_ms":%d,"rate":{"per_second":%d,"burst":%d}}`,
			r, i, i, r, classes[r%4], r%4 != 1, 1000+r*250, 5+r, 10+r)
	}
	return []byte(text + `]}]}`)
}

func benchRecord(b *testing.B, i, change int, base int64) platformlog.Record {
	doc, err := EncodeDocument(benchSource(i, change))
	if err != nil {
		b.Fatal(err)
	}
	return encoded(b, &Record{
		Kind: KindManifest, ID: fmt.Sprintf("%032x", i*100_000+change), Mandate: fmt.Sprintf("mandate-%05d", i),
		Term: 1, Holder: fmt.Sprintf("Holder of mandate %05d", i), Base: base, Document: doc,
	})
}

func benchHomes(b *testing.B, i int) platformlog.Record {
	p := GroupProposal{Service: fmt.Sprintf("service-%05d", i)}
	for m := range MaxMembers {
		p.Members = append(p.Members, MemberItem{Node: fmt.Sprintf("node-%04d", (i+m*500)%2800), Incarnation: 1893456000000})
	}
	return encoded(b, &Record{Kind: KindHomes, ID: fmt.Sprintf("h%031x", i), Groups: []GroupProposal{p}})
}

func benchState(b *testing.B, services int) *State {
	f := newFolder(b)
	for i := range services {
		f.want(Accepted, benchRecord(b, i, 0, 0))
		f.want(Accepted, benchHomes(b, i))
	}
	return f.state
}

func forSizes(b *testing.B, run func(b *testing.B, services int, s *State)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			s := benchState(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, n, s)
		})
	}
}

// BenchmarkApply folds a changed manifest and takes the snapshot.
func BenchmarkApply(b *testing.B) {
	forSizes(b, func(b *testing.B, services int, s *State) {
		for i := 0; b.Loop(); i++ {
			b.StopTimer()
			mandate := i % services
			cur, _ := s.snap.Mandate(fmt.Sprintf("mandate-%05d", mandate))
			r := benchRecord(b, mandate, i+1, cur.Revision)
			b.StartTimer()
			out := s.Apply(platformlog.Entry{Offset: s.Version() + 1, Time: epoch, Record: r})
			snap := s.Snapshot()
			if out.Kind != Accepted || snap.Version != s.Version() {
				b.Fatal(out.Kind, out.Err)
			}
		}
	})
}

// BenchmarkSince makes the update of one change and encodes it.
func BenchmarkSince(b *testing.B) {
	forSizes(b, func(b *testing.B, services int, s *State) {
		snap := s.Snapshot()
		size := 0
		for b.Loop() {
			u, _ := snap.Since(snap.Version - 2)
			data, err := EncodeUpdate(u)
			if err != nil || len(u.Mandates) != 1 || len(u.Groups) != 1 {
				b.Fatal(err)
			}
			size = len(data)
		}
		b.ReportMetric(float64(size), "B/update")
	})
}

// BenchmarkFullTransfer makes, encodes, decodes and adopts a full state.
func BenchmarkFullTransfer(b *testing.B) {
	forSizes(b, func(b *testing.B, services int, s *State) {
		size, count := 0, 0
		for b.Loop() {
			u, _ := s.Since(0)
			parts := u.Split(128 << 10)
			size, count = 0, len(parts)
			for i := range parts {
				data, err := EncodeUpdate(parts[i])
				if err != nil {
					b.Fatal(err)
				}
				size += len(data)
				if parts[i], err = DecodeUpdate(data); err != nil {
					b.Fatal(err)
				}
			}
			joined, err := Join(parts)
			if err != nil {
				b.Fatal(err)
			}
			if ok, err := NewState(nil).ApplyUpdate(joined); !ok {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(size), "B/state")
		b.ReportMetric(float64(size)/float64(services), "B/service")
		b.ReportMetric(float64(count), "parts")
	})
}

// BenchmarkMemory reports the heap that a state keeps, and the size of records.
func BenchmarkMemory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("services=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				s := benchState(b, n)
				grown := heap() - before
				b.ReportMetric(float64(grown)/float64(n), "heapB/service")
				b.ReportMetric(float64(grown)/(1<<20), "heapMiB")
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(len(benchSource(0, 0))), "B/source")
			b.ReportMetric(float64(len(benchRecord(b, 0, 0, 0).Data)), "B/manifest-record")
			b.ReportMetric(float64(len(benchHomes(b, 0).Data)), "B/homes-record")
		})
	}
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkTick measures a tick of a controller with nothing to do.
func BenchmarkTick(b *testing.B) {
	c := NewController(Config{Self: node("n1"), JoinWait: -1})
	c.Tick(epoch)
	c.LogEntries(epoch, 1, nil)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		c.Tick(now)
		if r := c.TakeOutput().Read; r != nil {
			c.LogEntries(now, r.From, nil)
		}
	}
}
