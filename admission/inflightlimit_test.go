package admission

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// loadedTarget is a target with an inFlightLimit that gets requests at random
// times. It rejects those above acceptUpTo in flight, and others at random.
type loadedTarget struct {
	rand       *rand.Rand
	limit      inFlightLimit
	slots      int
	acceptUpTo int
	random     float64 // share that it rejects at random
	now        time.Duration
	ends       []time.Duration // of the requests in flight
	accepted   int
	rejected   int
}

// arrive lets a request arrive after a random time, and returns the limit at
// that time. It is sent if the limit permits.
func (x *loadedTarget) arrive(rate float64, runTime time.Duration) int {
	x.now += time.Duration(x.rand.ExpFloat64() / rate * float64(time.Second))
	left := x.ends[:0]
	for _, end := range x.ends {
		if end > x.now {
			left = append(left, end)
		}
	}
	x.ends = left
	limit := x.limit.limit(x.slots, x.now)
	if len(x.ends) >= limit {
		return limit
	}
	sequence := x.limit.observeSend(len(x.ends)+1, x.now)
	if len(x.ends) >= x.acceptUpTo || x.rand.Float64() < x.random {
		x.rejected++
		x.limit.observeRejection(sequence, x.slots, x.now)
		return limit
	}
	x.accepted++
	x.ends = append(x.ends, x.now+time.Duration(x.rand.ExpFloat64()*float64(runTime)))
	return limit
}

// Guards against a target that rejects at random and is taken for a full one. In
// 30 s the limit may be below the configured slots for a tenth of the arrivals on
// average over shares, rates and seeds.
func TestRandomRejectionsKeepLimit(t *testing.T) {
	lowered, arrivals := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		x := &loadedTarget{
			rand:   rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
			slots:  rapid.IntRange(1, 40).Draw(t, "slots"),
			random: rapid.Float64Range(0.1, 0.9).Draw(t, "share"),
		}
		x.acceptUpTo = x.slots
		load := rapid.Float64Range(0.2, 1.2).Draw(t, "load")
		for x.now < 30*time.Second {
			limit := x.arrive(load*float64(x.slots), time.Second)
			if limit < 1 || limit > x.slots {
				t.Fatalf("limit %d of %d slots", limit, x.slots)
			}
			arrivals++
			if limit < x.slots {
				lowered++
			}
		}
	})
	if share := float64(lowered) / float64(arrivals); share > 0.1 {
		t.Errorf("the limit was lowered for %.3f of %d arrivals", share, arrivals)
	}
}

// Guards against a limit of the target that stays unknown while the host node
// goes on sending more than it accepts, and against one that is not given up when
// the target accepts all again. Seven rejections and as many accepted sends are
// enough if they are at numbers above and below the limit. Three times as many
// must do in 95 of 100 cases, since while requests drain all are rejected, and few
// are accepted of a large demand.
func TestLimitIsFound(t *testing.T) {
	const most, mostMissed = 21, 0.05
	cases, missed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		x := &loadedTarget{rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), slots: rapid.IntRange(6, 40).Draw(t, "slots")}
		x.acceptUpTo = x.slots
		accepts := rapid.IntRange(x.slots/3, x.slots/2).Draw(t, "limit")
		rate := float64(accepts) / 0.5 * rapid.Float64Range(1.5, 3).Draw(t, "load")
		for x.now < 3*time.Second {
			x.arrive(rate, 500*time.Millisecond)
		}
		x.acceptUpTo, x.accepted, x.rejected = accepts, 0, 0
		limit := x.slots
		until := x.now + 15*time.Second
		for limit > accepts+1 && x.now < until {
			limit = x.arrive(rate, 500*time.Millisecond)
		}
		cases++
		if min(x.accepted, x.rejected) > most {
			missed++
		}
		if limit > accepts+1 || limit < accepts-1 {
			t.Fatalf("limit %d after %d rejections and %d accepted sends, the target accepts %d of %d", limit, x.rejected, x.accepted, accepts, x.slots)
		}
		x.acceptUpTo = x.slots
		recovery := maxRaisePause + time.Duration(x.slots)*unusedRaiseInterval
		for until := x.now + recovery; x.now < until; {
			limit = x.arrive(rate, 500*time.Millisecond)
		}
		if limit != x.slots {
			t.Fatalf("limit %d %v after the target accepts all %d again", limit, recovery, x.slots)
		}
	})
	if share := float64(missed) / float64(cases); share > mostMissed {
		t.Errorf("in %.2f of %d cases the limit took more than %d rejections and as many accepted sends", share, cases, most)
	}
}

// Guards against requests in line that stay there, or are overtaken, when the
// learned limit rises while no request ends.
func TestRisingLimitServesLine(t *testing.T) {
	g, c := testGate(4)
	g.limit.found, g.limit.current, g.limit.raiseAt, g.limit.pause = 1, 1, c.get()+time.Second, time.Second
	mustReserve(t, g, idempotent())
	if s := g.Status(); s.Slots != 1 {
		t.Fatalf("%d slots stated, want 1", s.Slots)
	}
	waits := idempotent()
	waits.MaxWait, waits.GoodWait = time.Minute, time.Minute
	got := make(chan *Reservation)
	queued := make(chan struct{})
	go func() {
		r, _ := g.ReserveInLine(context.Background(), waits, func() { close(queued) })
		got <- r
	}()
	<-queued
	c.add(time.Second)
	mustRefuse(t, g, idempotent(), TargetBusy)
	if r := <-got; r == nil {
		t.Fatal("the request in line got no slot")
	}
}

// Guards against a gate that goes on handing out slots above the number that its
// target accepts, and against a limit that outlives the target.
func TestGateKeepsToLearnedLimit(t *testing.T) {
	const slots, accepts = 10, 3
	g, c := testGate(slots)
	send := func() *Reservation {
		r, _ := g.Reserve(context.Background(), idempotent())
		if r != nil && r.Claim() != None {
			t.Fatal("the reservation could not be claimed")
		}
		return r
	}
	var open []*Reservation
	for len(open) < accepts {
		open = append(open, send())
	}
	rejected := 0
	for range 20 {
		c.add(50 * time.Millisecond)
		if r := send(); r != nil {
			r.Release(Rejected)
			rejected++
		}
		open[0].Release(Success)
		open = append(open[1:], send())
	}
	if s := g.Status(); s.Slots != accepts || rejected > 10 {
		t.Errorf("%d slots stated after %d rejections, want %d after at most 10", s.Slots, rejected, accepts)
	}
	mustRefuse(t, g, idempotent(), TargetBusy)
	g.SetTarget(Target{ID: "new", Service: "s", Slots: slots, Phase: Serving})
	if s := g.Status(); s.Slots != slots {
		t.Errorf("%d slots stated of a new target, want %d", s.Slots, slots)
	}
}
