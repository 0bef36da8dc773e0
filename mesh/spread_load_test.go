package mesh

import (
	"testing"
	"time"
)

// spreadLoad is a service of equal targets without failures at half of its
// capacity.
func spreadLoad(seed uint64) *simulation {
	const ms = time.Millisecond
	return &simulation{
		zones: 3, seed: seed, duration: 14 * time.Second, period: 9 * time.Second, countFrom: 4 * time.Second, countTo: 14 * time.Second,
		hosts: []simService{{name: "desk", count: 18, slots: 8}},
		classes: []simClass{
			{simRoute("read", "desk", true, 1500*ms, 3000*ms, 3, 2), 72, 300 * ms, 0.5, "", 0, nil},
			{simRoute("order", "desk", false, 1500*ms, 3000*ms, 2, 1), 168, 300 * ms, 0.5, "", 0, nil},
		},
	}
}

// Guards against placement that sends much more to some of several equal targets
// than to others. Requests are added up over the same 10 s of several seeds, since
// about a hundred at a target vary by a tenth by chance. With uneven zones the
// preference for the own zone takes half of the allowed excess.
func TestEqualTargetsAreEquallyBusy(t *testing.T) {
	const seeds, most = 8, 1.2
	for name, change := range map[string]func(*simulation){
		"even demand": func(*simulation) {},
		"few slots": func(sim *simulation) {
			sim.hosts[0].slots = 2
			for i := range sim.classes {
				sim.classes[i].runTime /= 4
			}
		},
		"long runs": func(sim *simulation) {
			sim.hosts[0].slots = 15
			for i := range sim.classes {
				c := &sim.classes[i]
				c.runTime, c.rate = 4*c.runTime, c.rate*15/32
				c.route.Objective, c.route.Timeout = 4*c.route.Objective, 4*c.route.Timeout
			}
			sim.duration, sim.countTo = 24*time.Second, 24*time.Second // as many requests as in the other cases
		},
		"low rate": func(sim *simulation) {
			for i := range sim.classes {
				sim.classes[i].rate /= 4
			}
			sim.duration, sim.countTo = 44*time.Second, 44*time.Second // as many requests as in the other cases
		},
		// Three fifths of the requests enter in one of three zones.
		"uneven zones": func(sim *simulation) {
			sim.classes[0].rate, sim.classes[1].rate = 144, 96
			sim.clients = map[string]simClients{"order": {zone: "z0"}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs, byZone, all := map[string]int{}, map[string]int{}, &simTally{}
			for seed := range uint64(seeds) {
				sim := spreadLoad(seed + 1)
				change(sim)
				for _, x := range sim.run(t) {
					all.add(x)
				}
				for _, n := range sim.nodes {
					for _, at := range n.runs {
						if at >= sim.countFrom && at < sim.countTo {
							runs[n.addr]++
							byZone[n.zone]++
						}
					}
				}
			}
			busiest, sum := 0, 0
			for _, n := range runs {
				busiest, sum = max(busiest, n), sum+n
			}
			mean := float64(sum) / float64(len(runs))
			t.Logf("busiest of %d targets: %.2f of the mean of %.0f requests; by zone %v; %.3f sent to other zones, %.3f in time", len(runs), float64(busiest)/mean, mean, byZone, float64(all.crossZone)/float64(all.attempts), all.share(all.inTime))
			if float64(busiest) > most*mean {
				t.Errorf("the busiest target got %.2f of the mean of %.0f requests, want at most %.1f", float64(busiest)/mean, mean, most)
			}
		})
	}
}
