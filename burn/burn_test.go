package burn

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// clock is a wall clock set by the test.
type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

// drawReports records random requests on several nodes and incarnations and
// takes reports at random times. final is the merge of the last report of each
// recorder.
func drawReports(t *rapid.T) (reports []*Report, final *Report, recorded int) {
	c := &clock{time.Unix(1_800_000_000, 0)}
	var stores []*Store
	var recorders []*Recorder
	for i := range 3 {
		store := NewStore(1 << 20)
		stores = append(stores, store)
		recorders = append(recorders, NewRecorder(fmt.Sprintf("h%d", i%2), int64(i), store, c.now))
	}
	snapshot := func(i int) *Report {
		recorders[i].FlushAll()
		return &Report{Live: []string{fmt.Sprintf("h%d", i%2)}, Intervals: stores[i].Intervals()}
	}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		c.t = c.t.Add(time.Duration(rapid.IntRange(-30, 600).Draw(t, "pause")) * time.Second)
		i := rapid.IntRange(0, 2).Draw(t, "node")
		recorders[i].Record(&Sample{Service: rapid.SampledFrom([]string{"belt-desk", "reserve"}).Draw(t, "service"), Class: fleet.Order,
			Target: "t1", Customer: "c1", Category: Category(rapid.IntRange(0, int(Lost)).Draw(t, "category")), Answered: true, Took: time.Second})
		recorded++
		if rapid.Bool().Draw(t, "snapshot") {
			reports = append(reports, snapshot(rapid.IntRange(0, 2).Draw(t, "which")))
		}
	}
	ends := []*Report{snapshot(0), snapshot(1), snapshot(2)}
	return append(reports, ends...), Merge(ends...), recorded
}

// Merging must count every request exactly once in any order and grouping, also
// when reports are merged repeatedly or together with older copies.
func TestMergeProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports, final, recorded := drawReports(t)
		shuffled := rapid.Permutation(reports).Draw(t, "order")
		split := rapid.IntRange(0, len(shuffled)).Draw(t, "split")
		merged := Merge(Merge(shuffled[:split]...), Merge(shuffled[split:]...))
		if !reflect.DeepEqual(merged, final) {
			t.Fatalf("merging all reports differs from merging the final reports")
		}
		if remerged := Merge(merged, shuffled[0], merged); !reflect.DeepEqual(remerged, final) {
			t.Fatalf("merging a report again changed the result")
		}
		total := int64(0)
		for _, s := range Summarize(merged, time.Unix(1_800_050_000, 0).Unix()).Services {
			total += s.Counted()
		}
		if total != int64(recorded) {
			t.Fatalf("summary counts %d requests, recorded %d", total, recorded)
		}
	})
}

// A lost confirmation of an order must count as bad, and a fault of the caller
// must not.
func TestClassify(t *testing.T) {
	objective := &manifest.Objective{LatencyMS: 500}
	for _, c := range []struct {
		o    Outcome
		want Category
	}{
		{Outcome{Code: resultcode.Answered, Status: 200, Class: fleet.Interactive, Took: 500 * time.Millisecond}, Good},
		{Outcome{Code: resultcode.Answered, Status: 200, Class: fleet.Interactive, Took: 501 * time.Millisecond}, Late},
		{Outcome{Code: resultcode.Answered, Status: 200, Class: fleet.Download, Took: time.Hour}, Good},
		{Outcome{Code: resultcode.Answered, Status: 404}, Good},
		{Outcome{Code: resultcode.Answered, Status: 500}, Failed},
		{Outcome{Code: resultcode.CallerGone, Ran: resultcode.RanUnknown, Class: fleet.Order}, Lost},
		{Outcome{Code: resultcode.CallerGone, Ran: resultcode.RanUnknown, Class: fleet.Interactive}, Excluded},
		{Outcome{Code: resultcode.CallerGone, Class: fleet.Interactive, Took: time.Second}, Late},
		{Outcome{Code: resultcode.NoLease, Ran: resultcode.RanNo, Class: fleet.Order}, Refused},
		{Outcome{Code: resultcode.PeerLost, Ran: resultcode.RanUnknown, Class: fleet.Order}, Lost},
		{Outcome{Code: resultcode.RecordLost, Ran: resultcode.RanUnknown}, Lost},
		{Outcome{Code: resultcode.Truncated, Ran: resultcode.RanUnknown, Class: fleet.Download}, Failed},
		{Outcome{Code: resultcode.RateLimited, Ran: resultcode.RanNo}, Excluded},
	} {
		if got := Classify(&c.o, objective); got != c.want {
			t.Errorf("%+v: %v, want %v", c.o, got, c.want)
		}
	}
}

// Memory must not grow with the number of customers or services, and the bound
// must not hide the customer with the most bad requests.
func TestMemoryBounds(t *testing.T) {
	c := &clock{time.Unix(1_800_000_000, 0)}
	store := NewStore(64 << 10)
	r := NewRecorder("h1", 1, store, c.now)
	for i := range 20_000 {
		customer := fmt.Sprintf("customer-%d", i)
		if i%10 == 0 {
			customer = "heavy"
		}
		r.Record(&Sample{Service: fmt.Sprintf("s%d", i%(2*MaxSeries)), Customer: customer, Category: Failed})
	}
	if len(r.series) > MaxSeries+fleet.NumClasses || len(r.hour.customers.list) > maxContributors {
		t.Errorf("%d series, %d customers", len(r.series), len(r.hour.customers.list))
	}
	// Above, the heavy customer is spread over services, and each pair of
	// service and customer counts separately.
	r = NewRecorder("h1", 2, store, c.now)
	for i := range 20_000 {
		customer := fmt.Sprintf("customer-%d", i)
		if i%10 == 0 {
			customer = "heavy"
		}
		r.Record(&Sample{Service: "s", Customer: customer, Category: Failed})
	}
	if first := r.hour.customers.sorted()[0]; first.Name != "heavy" || first.Bad-first.MaxOvercount > 2000 || first.Bad < 2000 {
		t.Errorf("first customer %+v, want heavy with 2000", first)
	}
	for range 500 {
		c.t = c.t.Add(time.Minute)
		r.Record(&Sample{Service: "s", Category: Good})
		r.Flush()
	}
	if store.Bytes() > 64<<10 || len(store.Intervals()) == 0 {
		t.Errorf("store holds %d bytes in %d intervals", store.Bytes(), len(store.Intervals()))
	}
}

// A full store must drop histograms before counts, and older counts before
// newer ones.
func TestStoreDropsHistogramsFirst(t *testing.T) {
	s := NewStore(8 * (intervalOverhead + 100))
	for i := range int64(10) {
		for _, part := range []Part{PartCounts, PartLatency} {
			s.Put(PackedInterval{Key: Key{StartS: i * HourS, LengthS: HourS, Part: part}, Version: 1, Data: make([]byte, 100)})
		}
	}
	var starts []int64
	for _, p := range s.Intervals() {
		if p.Part == PartCounts {
			starts = append(starts, p.StartS/HourS)
		}
	}
	if len(starts) < 6 || starts[len(starts)-1] != 9 || starts[0] != int64(10-len(starts)) {
		t.Errorf("the store still has the counts of the hours %v", starts)
	}
}

// Neither a short burst, nor few requests, nor a fault that has ended may raise
// an alarm. A lasting fault must raise one.
func TestBurnRates(t *testing.T) {
	c := &clock{time.Unix(1_800_000_000, 0)}
	store := NewStore(1 << 20)
	r := NewRecorder("h1", 1, store, c.now)
	summary := func() ServiceSummary {
		r.Flush()
		o := Objective{Service: "s", Objective: manifest.Objective{Target: 0.99, LatencyMS: 500, WindowHours: 720}}
		return Summarize(&Report{Intervals: store.Intervals(), Objectives: []Objective{o}}, c.t.Unix()).Services[0]
	}
	minutes := func(n int, bad int) {
		for range n {
			c.t = c.t.Add(time.Minute)
			for i := range 100 {
				v := Good
				if i < bad {
					v = Failed
				}
				r.Record(&Sample{Service: "s", Category: v})
			}
		}
	}
	for range MinBadRequests - 1 {
		r.Record(&Sample{Service: "s", Category: Failed})
	}
	if s := summary(); s.Alarm != "none" || s.Fast1h < FastBurnRate {
		t.Errorf("few requests: %+v", s)
	}
	r = NewRecorder("h1", 2, NewStore(1<<20), c.now)
	store = r.store
	minutes(120, 0)
	if s := summary(); s.Alarm != "none" || s.BudgetLeft != 1 {
		t.Errorf("healthy: %+v", s)
	}
	minutes(3, 100)
	if s := summary(); s.Alarm != "none" || s.Fast5m < FastBurnRate {
		t.Errorf("short burst: %+v", s)
	}
	minutes(30, 50)
	if s := summary(); s.Alarm != "fast" || s.BudgetLeft > -10 {
		t.Errorf("lasting fault: %+v", s)
	}
	minutes(40, 0)
	if s := summary(); s.Alarm != "none" {
		t.Errorf("after the fault: %+v", s)
	}
}
