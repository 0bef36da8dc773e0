package loadbalancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hyssopbridge/fleet"
)

// completion is the end of a request in the simulation.
type completion struct {
	at        time.Duration
	target    int
	selection Selection
}

type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at < c[j].at }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// distribution is the result of a simulated run.
type distribution struct {
	maxMean float64 // requests at the busiest target, relative to the mean
	queued  float64 // share of requests that found no free slot at their target
	ownZone float64 // share of requests that stayed in the zone of their entry node
}

// simulate sends 40,000 requests from 20 entry nodes in 4 zones to 20 targets with
// 5 slots each. utilization is the load relative to all slots. Hold times are
// exponentially distributed with a mean of 20 ms. Requests queue at a target
// without a free slot. The share skew of the requests arrives in the first zone,
// the rest in any zone. If report is true, targets report their load.
func simulate(choices int, utilization, skew float64, report bool) distribution {
	const nodes, targets, slots, requests = 20, 20, 5, 40_000
	hold := 20 * time.Millisecond
	r := rand.New(rand.NewPCG(7, uint64(choices)))
	var endpoints []fleet.Endpoint
	index := map[string]int{}
	for i := range targets {
		index[fmt.Sprint(i)] = i
		endpoints = append(endpoints, endpoint(fmt.Sprintf("%d", i), fmt.Sprintf("a%d", i%4), fleet.Ready))
	}
	var entries []*Balancer
	for i := range nodes {
		b := New(Config{Node: fmt.Sprintf("n%d", i), Zone: fmt.Sprintf("a%d", i%4), Region: "r-a", Choices: choices, Rand: r.Float64})
		b.Update(0, "s", 1, endpoints, nil)
		entries = append(entries, b)
	}
	var (
		now  time.Duration
		free [targets][slots]time.Duration // time at which each slot becomes free
		busy [targets]int
		sent [targets]int
		ends completions
		out  distribution
		gap  = float64(hold) / (utilization * targets * slots)
	)
	for range requests {
		now += time.Duration(r.ExpFloat64() * gap)
		for len(ends) > 0 && ends[0].at <= now {
			c := heap.Pop(&ends).(completion)
			busy[c.target]--
			reported := -1
			if report {
				reported = busy[c.target]
			}
			c.selection.Done(c.at, Result{ReportedLoad: reported})
		}
		n := r.IntN(nodes)
		if r.Float64() < skew {
			n -= n % 4
		}
		p, err := entries[n].Pick(now, "s", Request{})
		if err != nil {
			panic(err)
		}
		t := index[p.Endpoint.ID]
		first := 0
		for i := range free[t] {
			if free[t][i] < free[t][first] {
				first = i
			}
		}
		if free[t][first] > now {
			out.queued++
		}
		free[t][first] = max(now, free[t][first]) + time.Duration(r.ExpFloat64()*float64(hold))
		heap.Push(&ends, completion{free[t][first], t, p})
		busy[t]++
		sent[t]++
		if t%4 == n%4 {
			out.ownZone++
		}
	}
	for _, n := range sent {
		out.maxMean = max(out.maxMean, float64(n)*targets/requests)
	}
	out.queued /= requests
	out.ownZone /= requests
	return out
}

// Guards against a choice of targets that concentrates load on a few of them, and
// against load reports that make it worse. Run it with -v for the figures in
// docs/measurements/requests.md.
func TestDistribution(t *testing.T) {
	for _, c := range []struct{ utilization, skew float64 }{{0.3, 0}, {0.7, 0}, {0.9, 0}, {0.5, 0.6}} {
		one := simulate(1, c.utilization, c.skew, false)
		t.Logf("utilization %.1f, skew %.1f, choices 1, no reports: %+v", c.utilization, c.skew, one)
		for _, choices := range []int{2, 3} {
			unreported := simulate(choices, c.utilization, c.skew, false)
			reported := simulate(choices, c.utilization, c.skew, true)
			t.Logf("utilization %.1f, skew %.1f, choices %d, no reports: %+v", c.utilization, c.skew, choices, unreported)
			t.Logf("utilization %.1f, skew %.1f, choices %d, reports:    %+v", c.utilization, c.skew, choices, reported)
			if c.skew == 0 && max(unreported.maxMean, reported.maxMean) > 1.1 {
				t.Errorf("max/mean %.3f without and %.3f with reports, want at most 1.1", unreported.maxMean, reported.maxMean)
			}
			if reported.queued > one.queued || c.skew > 0 && reported.queued > unreported.queued || reported.queued > unreported.queued+0.03 {
				t.Errorf("share of queued requests: %.4f with reports, %.4f without, %.4f with one choice", reported.queued, unreported.queued, one.queued)
			}
		}
	}
}

// subsetBalance returns the largest (high) and smallest (low) number of entry
// nodes per host, relative to the mean, for hosts and entry nodes in one zone.
// moved is the number of choices that change when one host is lost, per entry
// node that used it.
func subsetBalance(entries, hosts, size int) (high, low, moved float64) {
	counts := make([]int, hosts)
	changes := 0
	for n := range entries {
		seed := subsetSeed(fmt.Sprintf("node-%d", n), "s")
		var candidates []hostCandidate
		for h := range hosts {
			id := fmt.Sprintf("host-%d", h)
			candidates = append(candidates, hostCandidate{id: id, score: rendezvousScore(seed, id), usable: true})
		}
		without := selectHosts(append([]hostCandidate(nil), candidates[1:]...), size)
		all := selectHosts(candidates, size)
		for h := range hosts {
			id := fmt.Sprintf("host-%d", h)
			in := all[id]
			if in {
				counts[h]++
			}
			if h > 0 && in != without[id] {
				changes++
			}
		}
	}
	mean := float64(entries*min(size, hosts)) / float64(hosts)
	low = mean
	for _, n := range counts {
		high = max(high, float64(n))
		low = min(low, float64(n))
	}
	return high / mean, low / mean, float64(changes) / mean
}

// Guards against subsets that leave some hosts with few or no entry nodes and
// others with a multiple of the mean, and against many changes when one host is lost.
func TestSubsetBalance(t *testing.T) {
	for _, c := range []struct{ entries, hosts, size int }{{254, 31, 16}, {254, 64, 32}, {254, 254, 32}, {1000, 500, 32}} {
		high, low, moved := subsetBalance(c.entries, c.hosts, c.size)
		t.Logf("%d entry nodes, %d hosts, subset %d: max/mean %.2f, min/mean %.2f, choices changed per entry node of a lost host %.2f", c.entries, c.hosts, c.size, high, low, moved)
		if high > 1.7 || low < 0.4 {
			t.Errorf("max/mean %.2f, min/mean %.2f, want at most 1.7 and at least 0.4", high, low)
		}
		if moved > 1.5 {
			t.Errorf("%.2f choices changed per entry node of the lost host, want about 1", moved)
		}
	}
}
