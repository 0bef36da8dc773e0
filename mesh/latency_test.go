package mesh

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"hyssopbridge/config/dynamic"
)

func testRoute(name string, objective time.Duration) *dynamic.Route {
	return &dynamic.Route{Name: name, Objective: objective}
}

// Guards against a fast route whose estimate is affected by a slow one, and
// against a table that grows without bound with the number of routes.
func TestLatencies(t *testing.T) {
	r := newLatencies()
	short, long := testRoute("short", time.Second), testRoute("long", time.Second)
	for range 100 {
		r.observe(short, 2*time.Millisecond)
		r.observe(long, 400*time.Millisecond)
	}
	if s, l := r.expected(short), r.expected(long); s > 60*time.Millisecond || l < 380*time.Millisecond {
		t.Errorf("means %v and %v", s, l)
	}
	for i := range 2 * maxLatencyRoutes {
		r.observe(testRoute(string(rune(i))+"x", time.Second), time.Millisecond)
	}
	if n := len(r.byRoute); n > maxLatencyRoutes {
		t.Errorf("%d routes are tracked", n)
	}
}

// Guards against an overdue time that suits only one deployment: whatever the
// usual latency, few good responses are overdue, and a silent target is noticed
// within a few times the usual latency, even before the first sample.
func TestOverdueFollowsLatency(t *testing.T) {
	for _, usual := range []time.Duration{20 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second} {
		rnd := rand.New(rand.NewPCG(1, 2))
		r := newLatencies()
		route := testRoute("r", 3*usual)
		if first := r.overdue(route); first < usual || first > 5*usual {
			t.Errorf("usual %v: overdue after %v without a sample", usual, first)
		}
		late, n := 0, 2000
		for range n {
			took := time.Duration(float64(usual) * math.Exp(0.5*rnd.NormFloat64()-0.125))
			if took > r.overdue(route) {
				late++
			}
			r.observe(route, took)
		}
		if late > n/20 {
			t.Errorf("usual %v: %d of %d good responses were overdue", usual, late, n)
		}
		if got := r.overdue(route); got > 4*usual {
			t.Errorf("usual %v: overdue after %v", usual, got)
		}
	}
}
