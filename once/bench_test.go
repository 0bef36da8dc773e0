package once

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hyssopbridge/lease"
)

// benchKeys returns n new orders of one customer.
func benchKeys(n int) []Request {
	out := make([]Request, n)
	for i := range out {
		out[i] = orderAt(startMS+NewKeyMarginMS+1, i)
		out[i].Key = Key{"parts-orders", "customer-0042", "place-order", out[i].Key.Value}
	}
	return out
}

func benchStore() *Store {
	s := New(Config{MaxRecords: 1 << 30, MaxBytes: 1 << 40}, self)
	g := testGroup(1, 0, startMS, self)
	g.Service, g.Epoch = "parts-orders", 2
	s.Activate("parts-orders", []lease.Group{g}, startMS)
	return s
}

func BenchmarkBeginFinish(b *testing.B) {
	keys := benchKeys(b.N)
	s := benchStore()
	response := &Response{Status: 201}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range keys {
		d := s.Begin(time.Duration(i)*time.Microsecond, startMS+10_000, keys[i])
		if !s.Finished(keys[i].Key, d.Attempt, response) {
			b.Fatal("not finished")
		}
	}
}

func BenchmarkReplay(b *testing.B) {
	keys := benchKeys(1000)
	s := benchStore()
	for i := range keys {
		s.Finished(keys[i].Key, s.Begin(0, startMS+10_000, keys[i]).Attempt, &Response{Status: 201})
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if d := s.Begin(0, startMS+10_000, keys[i%len(keys)]); d.Action != Replay {
			b.Fatal(d.Action)
		}
	}
}

func BenchmarkAdmitSweep(b *testing.B) {
	a := NewAdmissionTable(AdmissionConfig{Window: time.Minute}, 0)
	ids := make([]string, 1000)
	b.ReportAllocs()
	for i := range b.N {
		if i%len(ids) == 0 {
			b.StopTimer()
			for j := range ids {
				ids[j] = orderAt(startMS+int64(i), i+j).Key.Value
			}
			b.StartTimer()
		}
		if err := a.Admit(time.Duration(i)*time.Millisecond, startMS+int64(i), ids[i%len(ids)]); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRecordBytes reports the heap per record of a store with responses of
// 200 bytes.
func BenchmarkRecordBytes(b *testing.B) {
	for _, n := range []int{10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				s := benchStore()
				for i := range n {
					q := orderAt(startMS+NewKeyMarginMS+1, i)
					q.Key = Key{"parts-orders", "customer-0042", "place-order", q.Key.Value}
					s.Finished(q.Key, s.Begin(0, startMS+10_000, q).Attempt, &Response{Status: 201, Body: make([]byte, 200)})
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "heap-B/record")
				_, accounted := s.Size()
				b.ReportMetric(float64(accounted)/float64(n), "accounted-B/record")
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
