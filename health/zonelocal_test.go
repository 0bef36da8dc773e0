package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
	"hyssopbridge/health"
)

// Guards against a gray target that stays in service because all evidence comes
// from the nodes of its own availability zone, as with routing that prefers the
// own zone.
func TestZoneLocalTraffic(t *testing.T) {
	const (
		targets  = 4
		interval = 10 * time.Millisecond // between requests of the service
		grayFrom = 10 * time.Second
		end      = 15 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, 2))
	core := health.New(health.Config{Service: "s", Prefer: manifest.PreferDetection, Floor: 2})
	var list []health.Target
	for i := range targets {
		list = append(list, health.Target{ID: fmt.Sprint("t", i), Zone: fmt.Sprint("z", i%2), Slots: 5, State: fleet.Ready})
	}
	core.SetTargets(0, list)
	type ending struct {
		at time.Duration
		e  health.RequestEnd
	}
	var open []ending
	id := uint64(0)
	for now := time.Duration(0); now < end; now += interval {
		for i := 0; i < len(open); i++ {
			if open[i].at <= now {
				core.ObserveEnd(now, open[i].e)
				open = append(open[:i], open[i+1:]...)
				i--
			}
		}
		target := rng.IntN(targets)
		name := fmt.Sprint("t", target)
		node := fmt.Sprint("n", target%2+2*rng.IntN(2)) // a node of the target's zone
		if core.Allow(now, node, name, true) {
			id++
			took := time.Duration((0.5 + rng.ExpFloat64()/2) * float64(20*time.Millisecond))
			if target == 1 && now >= grayFrom {
				took *= 8
			}
			core.ObserveStart(now, health.RequestStart{ID: id, Node: node, Zone: fmt.Sprint("z", target%2), Target: name, Class: fleet.Interactive, Idempotent: true})
			open = append(open, ending{now + took, health.RequestEnd{ID: id, Outcome: health.OK, Latency: took}})
		}
		core.Tick(now)
	}
	ejected := core.Ejections()
	if len(ejected) != 1 || ejected[0].Target != "t1" {
		t.Errorf("ejected %+v, want t1 alone", ejected)
	}
}
