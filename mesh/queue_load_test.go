package mesh

import (
	"fmt"
	"math"
	"testing"
	"time"

	"hyssopbridge/config/dynamic"
)

// burstLoad is a service of which orders and lookups use about two fifths of the
// capacity, and in a burst of orders twice the capacity.
func burstLoad(seed uint64, burst time.Duration) *simulation {
	const ms = time.Millisecond
	return &simulation{
		zones: 4, seed: seed, duration: 30 * time.Second, period: 9 * time.Second, failShare: 0.85, mode: connectionReset,
		hosts: []simService{{name: "orders", count: 16, slots: 15}},
		classes: []simClass{
			{simRoute("lookup", "orders", true, 4*time.Second, 15*time.Second, 3, 1), 30, 870 * ms, 0.5, "", 0, nil},
			{simRoute("order", "orders", false, 8*time.Second, 25*time.Second, 2, 2), 69, 1100 * ms, 0.5, "", 0, nil},
		},
		bursts: []simBurst{{class: "order", from: 3 * time.Second, to: 3*time.Second + burst, factor: 6}},
	}
}

func (t *simTally) share(n int) float64 { return float64(n) / float64(max(1, t.all)) }

// refusedWithin returns the fraction of refusals that came within a wait.
func (t *simTally) refusedWithin(wait time.Duration) float64 {
	n := 0
	for _, after := range t.refusedAfter {
		if after <= wait {
			n++
		}
	}
	return float64(n) / float64(max(1, len(t.refusedAfter)))
}

// Guards against requests that are refused in a burst although the service can
// serve them before their deadline, and against more urgent requests that suffer
// from it. Demand is twice the capacity for 7 s.
func TestShortBurstLosesNothing(t *testing.T) {
	t.Parallel()
	got := burstLoad(1, 7*time.Second).run(t)
	for class, x := range got {
		if refused := x.share(x.refused); refused > 0.01 {
			t.Errorf("%.3f of %d requests of class %s were refused", refused, x.all, class)
		}
	}
	if inTime := got["order"].share(got["order"].inTime); inTime < 0.75 {
		t.Errorf("%.3f of the orders were in time", inTime)
	}
	if inTime := got["lookup"].share(got["lookup"].inTime); inTime < 0.98 {
		t.Errorf("%.3f of the lookups were in time", inTime)
	}
}

// Guards against requests that are refused only after they have waited, and
// against queues in which all of them become late, when demand stays at twice the
// capacity. The orders' own capacity in the simulated time is what is left beside
// the lookups.
func TestLongBurstIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	sim := burstLoad(1, 22*time.Second)
	got := sim.run(t)
	order := got["order"]
	if atOnce := order.refusedWithin(50 * time.Millisecond); atOnce < 0.8 {
		t.Errorf("%.3f of %d refusals came within 50 ms", atOnce, order.refused)
	}
	slots := float64(sim.hosts[0].count * sim.hosts[0].slots)
	lookups := sim.classes[0]
	capacity := (slots - lookups.rate*lookups.runTime.Seconds()) / sim.classes[1].runTime.Seconds() * sim.duration.Seconds()
	if served := float64(order.inTime + order.late); served < 0.85*math.Min(capacity, float64(order.all)) {
		t.Errorf("%.0f orders served, want most of %.0f", served, capacity)
	}
	if order.inTime < 2*order.late {
		t.Errorf("%d orders in time, %d late", order.inTime, order.late)
	}
	for class, x := range got {
		if perRequest := float64(x.reservations) / float64(x.all); perRequest > 8 {
			t.Errorf("%.1f reservations for each request of class %s", perRequest, class)
		}
	}
}

// Guards against requests that wait at a host which dies, or whose target is
// ejected, and are refused rather than moved on. Three targets in ten are in
// gray failure at a time, each for 2.7 s, while demand is at the capacity that is
// left.
func TestWaitersMoveOn(t *testing.T) {
	t.Parallel()
	sim := burstLoad(1, 7*time.Second)
	sim.grayShare, sim.bursts[0].factor = 0.3, 2.2
	order := sim.run(t)["order"]
	if refused := order.share(order.refused); refused > 0.02 {
		t.Errorf("%.3f of %d orders were refused", refused, order.all)
	}
}

// Guards against a customer that sends many times its usual, and so keeps others
// from being served. Its flood takes more than the capacity for 12 s; ten small
// customers and a large one send what they always do, which is less than half of
// the capacity.
func TestFloodTakesFromItsOwnShare(t *testing.T) {
	t.Parallel()
	sim := burstLoad(1, 0)
	order := sim.classes[1]
	sim.classes = nil
	add := func(name string, rate float64) {
		c := order
		c.rate, c.customer = rate, &dynamic.Customer{Name: name, Quota: dynamic.Quota{PerSecond: rate}}
		sim.classes = append(sim.classes, c)
	}
	add("large", 60)
	add("flood", 5)
	for i := range 10 {
		add(fmt.Sprint("small", i), 3)
	}
	sim.bursts = []simBurst{{class: "order", from: 3 * time.Second, to: 15 * time.Second, factor: 80, customer: "flood"}}
	got := sim.run(t)
	others := &simTally{}
	for name, x := range got {
		if name == "flood" {
			continue
		}
		others.add(x)
		if refused := x.share(x.refused); refused > 0.05 { // four of the requests of a small customer
			t.Errorf("%.3f of %d requests of customer %s were refused", refused, x.all, name)
		}
	}
	if refused := others.share(others.refused); refused > 0.02 {
		t.Errorf("%.3f of %d requests of the other customers were refused", refused, others.all)
	}
	if flood := got["flood"]; flood.served() < 0.2 || flood.refused == 0 {
		t.Errorf("%.3f of %d requests of the flood were served, %d refused", flood.served(), flood.all, flood.refused)
	}
}

// Guards against refused callers that are told to come back before there is room
// for them, or long after. Goal (issue 35, part D): a refusal states the time at
// which room is foreseen. So most of the callers that come back at that time are
// served, and most of those that were sent away miss no room that lay idle. The
// runs of a load are added up, since some refuse only tens of callers.
func TestCallersReturnWhenThereIsRoom(t *testing.T) {
	t.Parallel()
	for _, load := range returnLoads {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			all, missed := &simTally{}, 0.0
			for seed := uint64(1); seed <= load.seeds; seed++ {
				sim := burstLoad(seed, load.burst)
				sim.duration, sim.returning = 45*time.Second, true
				load.change(sim)
				for _, x := range sim.run(t) {
					all.sentAway += x.sentAway
					all.returned += x.returned
					all.returnServed += x.returnServed
					all.returnRefused += x.returnRefused
				}
				missed += sim.idleRoom.Seconds() / sim.classes[1].runTime.Seconds()
			}
			t.Logf("%d sent away, %d returned, %d served then, %d refused again; room for %.0f lay idle", all.sentAway, all.returned, all.returnServed, all.returnRefused, missed)
			if all.sentAway < load.refused {
				t.Fatalf("%d callers were refused, want at least %d for a test", all.sentAway, load.refused)
			}
			if 2*all.returnServed <= all.returned {
				t.Errorf("%d of %d callers were served when they came back", all.returnServed, all.returned)
			}
			if 2*missed > float64(all.sentAway) {
				t.Errorf("room for %.0f of %d callers that were away lay idle", missed, all.sentAway)
			}
		})
	}
}

// returnLoads are loads in which callers are refused: for lack of slots, for lack
// of retry budget, and because no target is healthy.
var returnLoads = []struct {
	name    string
	burst   time.Duration
	seeds   uint64
	refused int // callers that are refused at least
	change  func(*simulation)
}{
	{"twice the capacity for 22 s", 22 * time.Second, 1, 500, func(*simulation) {}},
	{"three targets in ten failing", 7 * time.Second, 2, 100, func(sim *simulation) { sim.grayShare = 0.3 }},
	{"all targets shed for 8 s", 0, 3, 100, func(sim *simulation) {
		sim.grayShare, sim.together, sim.mode = 1, 8*time.Second, shedding
	}},
	{"all targets shed half for 8 s", 0, 3, 30, func(sim *simulation) {
		sim.grayShare, sim.together, sim.mode, sim.failShare = 1, 8*time.Second, shedding, 0.5
	}},
	{"all targets fail for 6 s", 0, 2, 60, func(sim *simulation) {
		sim.grayShare, sim.together, sim.failShare = 1, 6*time.Second, 1
	}},
}
