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
	// MaxSeries bounds the pairs of service and class that a node counts
	// separately in an hour. Further ones are counted under OtherService.
	MaxSeries = 2048
	// OtherService is the service name that counts requests beyond MaxSeries.
	OtherService = "(other)"
	// latencyUnit is the resolution of histograms.
	latencyUnit = 100 * time.Microsecond
	// maxLatency is the highest latency in a histogram, in latencyUnits: 1 h.
	maxLatency = 36_000_000
	// latencyDigits is the number of significant digits of a histogram. With 1, a
	// histogram takes about 3 KB and its error is below 7%.
	latencyDigits = 1
	// maxNameBytes bounds the names of contributors, because customers come from
	// request headers.
	maxNameBytes = 64
)

// Sample is one finished request.
type Sample struct {
	Service  string
	Class    fleet.Class
	Target   string
	Customer string
	Category Category
	Answered bool // Took is the latency of a response
	Took     time.Duration
}

type seriesKey struct {
	service string
	class   fleet.Class
}

// series counts the requests of one service and class in the current minute and
// hour.
type series struct {
	minute, hour [numCategories]uint32
	latency      *hdrhistogram.Histogram
}

// openInterval is the current interval of one length.
type openInterval struct {
	startS        int64
	version       uint64
	packedVersion [PartLatency + 1]uint64 // versions at the last packing, by part
	targets       contributors
	customers     contributors
}

// newOpenInterval starts an interval. Its version is 1 so that it is packed even
// without a request. This lets a report distinguish a node without requests from
// a missing node.
func newOpenInterval(startS int64) openInterval { return openInterval{startS: startS, version: 1} }

// Recorder counts the requests of one node. Its methods are safe for concurrent
// use.
type Recorder struct {
	node        string
	incarnation int64
	now         func() time.Time
	store       *Store

	mu     sync.Mutex
	series map[seriesKey]*series
	minute openInterval
	hour   openInterval
}

// NewRecorder returns a recorder that puts its packed intervals into store.
func NewRecorder(node string, incarnation int64, store *Store, now func() time.Time) *Recorder {
	return &Recorder{node: node, incarnation: incarnation, now: now, store: store, series: map[seriesKey]*series{}}
}

// Record counts a request.
func (r *Recorder) Record(s *Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(r.now().Unix())
	c := r.seriesFor(s)
	c.minute[s.Category]++
	c.hour[s.Category]++
	r.minute.version++
	r.hour.version++
	if s.Answered {
		_ = c.latency.RecordValue(min(int64(s.Took/latencyUnit), maxLatency))
	}
	if !s.Category.Bad() {
		return
	}
	for _, p := range []*openInterval{&r.minute, &r.hour} {
		p.targets.add(s.Service, truncateName(s.Target))
		p.customers.add(s.Service, truncateName(s.Customer))
	}
}

// RecordBadTarget counts a bad request only for its target. The home node of a
// keyed request calls it, because the entry node counts the request but only the
// home node knows the target.
func (r *Recorder) RecordBadTarget(service, target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(r.now().Unix())
	for _, p := range []*openInterval{&r.minute, &r.hour} {
		p.targets.add(service, truncateName(target))
		p.version++
	}
}

func truncateName(name string) string { return name[:min(len(name), maxNameBytes)] }

func (r *Recorder) seriesFor(s *Sample) *series {
	key := seriesKey{s.Service, s.Class}
	c := r.series[key]
	if c == nil && len(r.series) >= MaxSeries {
		key.service = OtherService
		c = r.series[key]
	}
	if c == nil {
		c = &series{latency: hdrhistogram.New(1, maxLatency, latencyDigits)}
		r.series[key] = c
	}
	return c
}

// rotate starts new intervals when the current ones have ended. It never goes
// back in time, even if the wall clock does.
func (r *Recorder) rotate(nowS int64) {
	if start := nowS - nowS%MinuteS; start > r.minute.startS {
		r.pack(&r.minute, MinuteS, PartCounts)
		r.minute = newOpenInterval(start)
		for _, c := range r.series {
			c.minute = [numCategories]uint32{}
		}
	}
	if start := nowS - nowS%HourS; start > r.hour.startS {
		r.pack(&r.hour, HourS, PartCounts)
		r.pack(&r.hour, HourS, PartLatency)
		r.hour = newOpenInterval(start)
		clear(r.series)
	}
}

// Flush puts the current counts into the store.
func (r *Recorder) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(r.now().Unix())
	r.pack(&r.minute, MinuteS, PartCounts)
	r.pack(&r.hour, HourS, PartCounts)
}

// FlushAll puts the current counts and histograms into the store.
func (r *Recorder) FlushAll() {
	r.Flush()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pack(&r.hour, HourS, PartLatency)
}

func (r *Recorder) pack(p *openInterval, lengthS int64, part Part) {
	if p.version == p.packedVersion[part] {
		return
	}
	content := &Interval{Targets: p.targets.sorted(), Customers: p.customers.sorted()}
	if part == PartLatency {
		content = &Interval{}
	}
	content.Counts = r.counts(lengthS, part)
	key := Key{Node: r.node, Incarnation: r.incarnation, StartS: p.startS, LengthS: lengthS, Part: part}
	packed, err := pack(key, p.version, content)
	if err == nil {
		r.store.Put(packed)
		p.packedVersion[part] = p.version
	}
}

func (r *Recorder) counts(lengthS int64, part Part) []Count {
	var out []Count
	for key, c := range r.series {
		n := Count{Service: key.service, Class: key.class}
		switch {
		case part == PartLatency:
			n.Latency = nonEmptyBuckets(c.latency)
		case lengthS == HourS:
			n.ByCategory = c.hour
		default:
			n.ByCategory = c.minute
		}
		if n.ByCategory != [numCategories]uint32{} || len(n.Latency) > 0 {
			out = append(out, n)
		}
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return out
}

// nonEmptyBuckets returns the non-empty buckets of h as pairs of lower end and
// count.
func nonEmptyBuckets(h *hdrhistogram.Histogram) []uint32 {
	var out []uint32
	for _, b := range h.Distribution() {
		if b.Count > 0 {
			out = append(out, uint32(b.From), uint32(b.Count))
		}
	}
	return out
}
