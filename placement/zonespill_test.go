package placement

import (
	"math"
	"testing"
	"time"
)

// Guards against requests that stay in a zone whose targets have more to do than
// those of others, that leave a zone with room or one that differs by chance or
// for a moment only, and against downloads that leave their zone for it.
func TestRequestsPreferLessLoadedZone(t *testing.T) {
	const targets, slots = 6, 8
	moved := func(r Request, seconds int, own, other func(second int) float64) float64 {
		v := newTestView()
		r.Service = "s"
		away, all := 0, 0
		for s := range seconds {
			for i := range targets {
				v.Update(Host{string(rune('a' + i)), "z1"}, healthy(slots, int(math.Round(slots*own(s)))))
				v.Update(Host{string(rune('A' + i)), "z2"}, healthy(slots, int(math.Round(slots*other(s)))))
			}
			for range 20 {
				v.now += 50 * time.Millisecond
				if v.Rank(r)[0].Zone != "z1" {
					away++
				}
				all++
			}
		}
		return float64(away) / float64(all)
	}
	always := func(load float64) func(int) float64 { return func(int) float64 { return load } }
	inTurn := func(a, b float64) func(int) float64 {
		return func(second int) float64 {
			if second%2 == 0 {
				return a
			}
			return b
		}
	}
	for name, c := range map[string]struct {
		request     Request
		own, other  func(int) float64
		least, most float64
	}{
		"lasting difference":   {Request{}, always(0.875), always(0.25), 0.5, 1},
		"room in own zone":     {Request{}, always(0.375), always(0), 0, 0},
		"equal load":           {Request{}, always(0.75), always(0.75), 0, 0},
		"other zone is fuller": {Request{}, always(0.5), always(0.75), 0, 0},
		"loads vary":           {Request{}, inTurn(0.625, 0.5), inTurn(0.5, 0.625), 0, 0},
		"download":             {Request{Download: true}, always(0.875), always(0.25), 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := moved(c.request, 12, c.own, c.other); got < c.least || got > c.most {
				t.Errorf("%.2f of the requests went to the other zone, want %.2f to %.2f", got, c.least, c.most)
			}
		})
	}
}

// Guards against requests that stay with this node's own target when they move to
// another zone, and against a share that is kept once its zone is as loaded.
func TestMovedRequestsReturn(t *testing.T) {
	v := newTestView()
	// movedIn10s returns how many of 200 requests in 10 s go to the other zone.
	movedIn10s := func(own, other int) int {
		n := 0
		for range 200 {
			v.Update(Host{"self", "z1"}, healthy(80, own))
			v.Update(Host{"a", "z1"}, healthy(80, own))
			v.Update(Host{"b", "z2"}, healthy(80, other))
			v.now += 50 * time.Millisecond
			if v.Rank(Request{Service: "s"})[0].Zone == "z2" {
				n++
			}
		}
		return n
	}
	for range 3 {
		movedIn10s(56, 44)
	}
	if n := movedIn10s(56, 44); n < 190 {
		t.Errorf("%d of 200 requests left a zone that is loaded for 30 s", n)
	}
	movedIn10s(40, 60)
	if n := movedIn10s(40, 60); n > 0 {
		t.Errorf("%d of 200 requests still go to a zone that is more loaded", n)
	}
}
