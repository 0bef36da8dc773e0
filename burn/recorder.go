package burn

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hyssopbridge/fleet"
)

const (
	// MaxSeries bounds the services and classes that a node counts apart in an
	// hour. Requests beyond it are counted under OtherService.
	MaxSeries = 2048
	// OtherService stands for the services beyond MaxSeries.
	OtherService = "(other)"
	// latencyUnit is the resolution of histograms.
	latencyUnit = 100 * time.Microsecond
	// maxLatency is the highest time of a histogram, in latencyUnits: 1 h.
	maxLatency = 36_000_000
	// latencyDigits keeps a histogram at about 3 KB and its error below 7%.
	latencyDigits = 1
	// maxNameBytes bounds the names of spenders; customers come from headers.
	maxNameBytes = 64
)

// Sample is one request.
type Sample struct {
	Service  string
	Class    fleet.Class
	Target   string
	Customer string
	Category Category
	Answered bool // Took is the time of an answer
	Took     time.Duration
}

type seriesKey struct {
	service string
	class   fleet.Class
}

// cell counts one series in the current minute and hour.
type cell struct {
	minute, hour [numVerdicts]uint32
	latency      *hdrhistogram.Histogram
}

// period is the current slot of one length.
type period struct {
	startS    int64
	number    uint64
	packed    [PartLatency + 1]uint64 // numbers at the last packing
	targets   spenders
	customers spenders
}

// newPeriod starts a slot. Its number makes it be packed without a request, so
// that a report tells a node without requests from a node that is missing.
func newPeriod(startS int64) period { return period{startS: startS, number: 1} }

// Recorder counts the requests of one node. Its methods are safe for concurrent
// use.
type Recorder struct {
	node        string
	incarnation int64
	now         func() time.Time
	store       *Store

	mu     sync.Mutex
	cells  map[seriesKey]*cell
	minute period
	hour   period
}

// NewRecorder returns a recorder whose packed slots go to store.
func NewRecorder(node string, incarnation int64, store *Store, now func() time.Time) *Recorder {
	return &Recorder{node: node, incarnation: incarnation, now: now, store: store, cells: map[seriesKey]*cell{}}
}

// Record counts a request.
func (r *Recorder) Record(s *Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(r.now().Unix())
	c := r.cell(s)
	c.minute[s.Category]++
	c.hour[s.Category]++
	r.minute.number++
	r.hour.number++
	if s.Answered {
		_ = c.latency.RecordValue(min(int64(s.Took/latencyUnit), maxLatency))
	}
	if !s.Category.Bad() {
		return
	}
	for _, p := range []*period{&r.minute, &r.hour} {
		p.targets.add(s.Service, shorten(s.Target))
		p.customers.add(s.Service, shorten(s.Customer))
	}
}

// RecordBadTarget adds a bad request to a target alone. The home of a keyed order calls
// it: the entry node counts the request, and only the home knows the target.
func (r *Recorder) RecordBadTarget(service, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(r.now().Unix())
	for _, p := range []*period{&r.minute, &r.hour} {
		p.targets.add(service, shorten(target))
		p.number++
	}
}

func shorten(name string) string { return name[:min(len(name), maxNameBytes)] }

func (r *Recorder) cell(s *Sample) *cell {
	key := seriesKey{s.Service, s.Class}
	c := r.cells[key]
	if c == nil && len(r.cells) >= MaxSeries {
		key.service = OtherService
		c = r.cells[key]
	}
	if c == nil {
		c = &cell{latency: hdrhistogram.New(1, maxLatency, latencyDigits)}
		r.cells[key] = c
	}
	return c
}

// roll begins new slots when the time has come. Slots never go back, also when
// the wall clock does.
func (r *Recorder) roll(nowS int64) {
	if start := nowS - nowS%MinuteS; start > r.minute.startS {
		r.pack(&r.minute, MinuteS, PartCounts)
		r.minute = newPeriod(start)
		for _, c := range r.cells {
			c.minute = [numVerdicts]uint32{}
		}
	}
	if start := nowS - nowS%HourS; start > r.hour.startS {
		r.pack(&r.hour, HourS, PartCounts)
		r.pack(&r.hour, HourS, PartLatency)
		r.hour = newPeriod(start)
		clear(r.cells)
	}
}

// Flush gives the current counts to the store.
func (r *Recorder) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(r.now().Unix())
	r.pack(&r.minute, MinuteS, PartCounts)
	r.pack(&r.hour, HourS, PartCounts)
}

// FlushAll gives the current counts and histograms to the store.
func (r *Recorder) FlushAll() {
	r.Flush()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pack(&r.hour, HourS, PartLatency)
}

func (r *Recorder) pack(p *period, lengthS int64, part Part) {
	if p.number == p.packed[part] {
		return
	}
	s := &Interval{Targets: p.targets.sorted(), Customers: p.customers.sorted()}
	if part == PartLatency {
		s = &Interval{}
	}
	s.Counts = r.counts(lengthS, part)
	key := Key{Node: r.node, Incarnation: r.incarnation, StartS: p.startS, LengthS: lengthS, Part: part}
	packed, err := pack(key, p.number, s)
	if err == nil {
		r.store.Put(packed)
		p.packed[part] = p.number
	}
}

func (r *Recorder) counts(lengthS int64, part Part) []Count {
	var out []Count
	for key, c := range r.cells {
		n := Count{Service: key.service, Class: key.class}
		switch {
		case part == PartLatency:
			n.Latency = bars(c.latency)
		case lengthS == HourS:
			n.ByCategory = c.hour
		default:
			n.ByCategory = c.minute
		}
		if n.ByCategory != [numVerdicts]uint32{} || len(n.Latency) > 0 {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return out
}

// bars returns the buckets of h that are not empty.
func bars(h *hdrhistogram.Histogram) []uint32 {
	var out []uint32
	for _, b := range h.Distribution() {
		if b.Count > 0 {
			out = append(out, uint32(b.From), uint32(b.Count))
		}
	}
	return out
}
