package loadbalancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hyssopbridge/fleet"
)

// departure is the end of a request in the simulation.
type departure struct {
	at     time.Duration
	target int
	picked Selection
}

type departures []departure

func (d departures) Len() int           { return len(d) }
func (d departures) Less(i, j int) bool { return d[i].at < d[j].at }
func (d departures) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *departures) Push(x any)        { *d = append(*d, x.(departure)) }
func (d *departures) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// spread is the outcome of a simulated run.
type spread struct {
	maxMean float64 // requests of the busiest target over the mean
	queued  float64 // share of requests that found all slots of their target busy
	ownZone float64 // share of requests that stayed in the zone
}

// simulate sends 40,000 requests from 20 entry nodes to 20 targets with 5
// slots in 4 zones, at the given use of all slots. Hold times are exponential
// with a mean of 20 ms. Targets without a free slot queue. The share skew of
// the requests enters in the first zone, the rest anywhere.
func simulate(choices int, use, skew float64, report bool) spread {
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
		ends departures
		out  spread
		gap  = float64(hold) / (use * targets * slots)
	)
	for range requests {
		now += time.Duration(r.ExpFloat64() * gap)
		for len(ends) > 0 && ends[0].at <= now {
			d := heap.Pop(&ends).(departure)
			busy[d.target]--
			told := -1
			if report {
				told = busy[d.target]
			}
			d.picked.Done(d.at, Result{ReportedLoad: told})
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
		heap.Push(&ends, departure{free[t][first], t, p})
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

// Guards against a choice that concentrates work, and against reports that
// make it worse. Run with -v for the figures in docs/measurements/requests.md.
func TestDistribution(t *testing.T) {
	for _, c := range []struct{ use, skew float64 }{{0.3, 0}, {0.7, 0}, {0.9, 0}, {0.5, 0.6}} {
		one := simulate(1, c.use, c.skew, false)
		t.Logf("use %.1f, skew %.1f, choices 1, no report: %+v", c.use, c.skew, one)
		for _, choices := range []int{2, 3} {
			blind := simulate(choices, c.use, c.skew, false)
			told := simulate(choices, c.use, c.skew, true)
			t.Logf("use %.1f, skew %.1f, choices %d, no report: %+v", c.use, c.skew, choices, blind)
			t.Logf("use %.1f, skew %.1f, choices %d, reports:   %+v", c.use, c.skew, choices, told)
			if c.skew == 0 && max(blind.maxMean, told.maxMean) > 1.1 {
				t.Errorf("max/mean %.3f and %.3f, want at most 1.1", blind.maxMean, told.maxMean)
			}
			if told.queued > one.queued || c.skew > 0 && told.queued > blind.queued || told.queued > blind.queued+0.03 {
				t.Errorf("%.4f of the requests queued with reports, %.4f without, %.4f with one choice", told.queued, blind.queued, one.queued)
			}
		}
	}
}

// subsetBalance returns the largest and smallest number of entry nodes per
// host, relative to the mean, in one zone of hosts and entry nodes.
func subsetBalance(entries, hosts, size int) (high, low, moved float64) {
	counts := make([]int, hosts)
	changes := 0
	for n := range entries {
		seed := subsetSeed(fmt.Sprintf("node-%d", n), "s")
		var ranks []hostRank
		for h := range hosts {
			id := fmt.Sprintf("host-%d", h)
			ranks = append(ranks, hostRank{id: id, score: score(seed, id), usable: true})
		}
		without := subset(append([]hostRank(nil), ranks[1:]...), size)
		all := subset(ranks, size)
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

// Guards against a subset that leaves hosts without entry nodes, loads some
// with a multiple of the mean, or changes widely when one host goes.
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
