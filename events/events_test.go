package events

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A ring must not grow, must overwrite the oldest events first and count them,
// and requests must not displace decisions.
func TestRingCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		l := NewLog(Config{Node: "h1", Requests: 8, Decisions: 5, PerSecond: 1000, Now: func() time.Time { return now }})
		var requests, decisions []string
		for i := range rapid.IntRange(0, 60).Draw(t, "events") {
			kind := rapid.SampledFrom([]Kind{Failure, Refusal, Ejection, Join}).Draw(t, "kind")
			id := fmt.Sprint(i)
			if kind.isRequestKind() {
				requests = append(requests, id)
			} else {
				decisions = append(decisions, id)
			}
			l.Add(Event{Kind: kind, Reason: id})
		}
		keep := func(list []string, n int) []string { return list[max(0, len(list)-n):] }
		want := append(slices.Clone(keep(requests, 8)), keep(decisions, 5)...)
		p := l.Find(Filter{})
		var got []string
		for i := range p.Events {
			got = append(got, p.Events[i].Reason)
			if i > 0 && p.Events[i].Seq <= p.Events[i-1].Seq {
				t.Fatalf("events are not in order of their sequence numbers")
			}
		}
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) || p.Overwritten != int64(len(requests)+len(decisions)-len(want)) {
			t.Fatalf("got %v and %d overwritten, want %v", got, p.Overwritten, want)
		}
	})
}

// A burst of one kind must be limited and counted, and must not keep out other
// kinds.
func TestRateLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLog(Config{PerSecond: 10, Now: func() time.Time { return now }})
	for range 1000 {
		l.Add(Event{Kind: Failure, Reason: "1604 timeout"})
	}
	l.Add(Event{Kind: Ejection, Reason: "x"})
	p := l.Find(Filter{})
	if len(p.Events) != 51 || p.Omitted[Failure] != 950 || p.Omitted[Ejection] != 0 {
		t.Errorf("%d events, omitted %v", len(p.Events), p.Omitted)
	}
	now = now.Add(time.Second)
	for range 20 {
		l.Add(Event{Kind: Failure})
	}
	if added, omitted := l.Counts(Failure); added != 60 || omitted != 960 {
		t.Errorf("added %d, omitted %d", added, omitted)
	}
}

// Filters must match exactly the selected events, and pages and texts must be
// bounded.
func TestFind(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLog(Config{Node: "h1", PerSecond: 2000, Now: func() time.Time { return now }, Version: func() int64 { return 7 }})
	l.Add(Event{Kind: Ejection, Service: "a", Target: "a-1", Reason: "slow"})
	now = now.Add(time.Minute)
	l.Add(Event{Kind: Failure, Service: "a", Target: "a-1", Request: "r1", Hop: "entry"})
	l.Add(Event{Kind: Refusal, Service: "a", Target: "a-2", Request: "r1", Hop: "host", Evidence: strings.Repeat("x", 10_000)})
	l.Add(Event{Kind: Retry, Service: "b", Target: "b-1", Request: "r2"})
	for name, c := range map[string]struct {
		f    Filter
		want int
	}{
		"all":     {Filter{}, 4},
		"kinds":   {Filter{Kinds: []Kind{Failure, Retry}}, 2},
		"service": {Filter{Service: "a"}, 3},
		"target":  {Filter{Target: "a-1"}, 2},
		"request": {Filter{Request: "r1"}, 2},
		"since":   {Filter{Since: now}, 3},
		"both":    {Filter{Service: "a", Kinds: []Kind{Retry}}, 0},
	} {
		if p := l.Find(c.f); len(p.Events) != c.want || p.More {
			t.Errorf("%s: %d events, want %d", name, len(p.Events), c.want)
		}
	}
	if p := l.Find(Filter{Limit: 2}); len(p.Events) != 2 || !p.More || p.Events[1].Request != "r2" {
		t.Errorf("page with limit 2: %+v", p)
	}
	if e := l.Find(Filter{Kinds: []Kind{Refusal}}).Events[0]; len(e.Evidence) > maxTextBytes || e.Node != "h1" || e.Version != 7 {
		t.Errorf("refusal event: %+v", e)
	}
	for range 2 * MaxPage {
		l.Add(Event{Kind: Failure})
	}
	if p := l.Find(Filter{Limit: 1 << 30}); len(p.Events) != MaxPage || !p.More {
		t.Errorf("page of %d events", len(p.Events))
	}
}

// BenchmarkAdd measures adding an event within the rate limit.
func BenchmarkAdd(b *testing.B) {
	l := NewLog(Config{PerSecond: 1 << 30})
	b.ReportAllocs()
	for b.Loop() {
		l.Add(Event{Kind: Failure, Service: "belt-desk", Reason: "1604 timeout"})
	}
}

// BenchmarkOmitted measures adding an event above the rate limit.
func BenchmarkOmitted(b *testing.B) {
	l := NewLog(Config{PerSecond: 1})
	b.ReportAllocs()
	for b.Loop() {
		l.Add(Event{Kind: Failure, Service: "belt-desk", Reason: "1604 timeout"})
	}
}
