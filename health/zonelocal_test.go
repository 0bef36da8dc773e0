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

// A slow target must be ejected even if all its traffic comes from the nodes of
// its own availability zone, as with routing that prefers the local zone.
func TestZoneLocalTrafficEjectsSlowTarget(t *testing.T) {
	const (
		targets  = 4
		interval = 10 * time.Millisecond // between requests of the service
		slowFrom = 10 * time.Second
		end      = 15 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, 2))
	detector := health.New(health.Config{Service: "s", Prefer: manifest.PreferDetection, Floor: 2})
	var list []health.Target
	for i := range targets {
		list = append(list, health.Target{ID: fmt.Sprint("t", i), Zone: fmt.Sprint("z", i%2), Slots: 5, State: fleet.Ready})
	}
	detector.SetTargets(0, list)
	type pendingEnd struct {
		at time.Duration
		e  health.RequestEnd
	}
	var open []pendingEnd
	id := uint64(0)
	for now := time.Duration(0); now < end; now += interval {
		for i := 0; i < len(open); i++ {
			if open[i].at <= now {
				detector.ObserveEnd(now, open[i].e)
				open = append(open[:i], open[i+1:]...)
				i--
			}
		}
		target := rng.IntN(targets)
		name := fmt.Sprint("t", target)
		node := fmt.Sprint("n", target%2+2*rng.IntN(2)) // a node of the target's zone
		if detector.Allow(now, node, name, true) {
			id++
			took := time.Duration((0.5 + rng.ExpFloat64()/2) * float64(20*time.Millisecond))
			if target == 1 && now >= slowFrom {
				took *= 8
			}
			detector.ObserveStart(now, health.RequestStart{ID: id, Node: node, Zone: fmt.Sprint("z", target%2), Target: name, Class: fleet.Interactive, Idempotent: true})
			open = append(open, pendingEnd{now + took, health.RequestEnd{ID: id, Outcome: health.OK, Latency: took}})
		}
		detector.Tick(now)
	}
	ejected := detector.Ejections()
	if len(ejected) != 1 || ejected[0].Target != "t1" {
		t.Errorf("ejected %+v, want only t1", ejected)
	}
}
