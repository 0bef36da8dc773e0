package mesh

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"hyssopbridge/config/dynamic"
)

// fairShareLoad is a service of 32 slots for about 107 requests a second, with
// eight customers that together ask for nine tenths of it. For 10 s each sends
// half again as much, and "flood" ten times its usual; its clients repeat at once
// what is refused. Small customers enter at one node, or in a zone without
// targets of the service.
func fairShareLoad(seed uint64) *simulation {
	const ms = time.Millisecond
	from, to := 3*time.Second, 13*time.Second
	sim := &simulation{
		zones: 4, seed: seed, duration: 13 * time.Second, period: 9 * time.Second, countFrom: from, countTo: to,
		hosts: []simService{
			{name: "orders", count: 8, slots: 4, zones: []int{0, 0, 0, 1, 1, 1, 2, 2}},
			{name: "other", count: 4, slots: 1, zones: []int{0, 1, 2, 3}},
		},
		bursts: []simBurst{
			{class: "order", from: from, to: to, factor: 1.5},
			{class: "order", from: from, to: to, factor: 10 / 1.5, customer: "flood"},
		},
		clients: map[string]simClients{
			"one": {node: "other-1"}, "two": {zone: "z3"}, "four": {zone: "z3"}, "six": {node: "orders-7"},
			"flood": {repeats: 3},
		},
	}
	route := simRoute("order", "orders", false, 1200*ms, 3000*ms, 2, 1)
	for _, c := range fairShareCustomers {
		sim.classes = append(sim.classes, simClass{
			route: route, rate: 0.96 * c.percent, runTime: 300 * ms, spread: 0.5,
			customer: &dynamic.Customer{Name: c.name, Quota: dynamic.Quota{PerSecond: quotaFactor * 0.96 * c.percent}},
		})
	}
	return sim
}

// quotaFactor is the quota of a customer as a multiple of its usual rate.
const quotaFactor = 1.6

// fairShareCustomers are customers with their part of the usual load.
var fairShareCustomers = []struct {
	name    string
	percent float64
}{
	{"one", 1}, {"two", 2}, {"four", 4}, {"six", 6}, {"flood", 10}, {"fifteen", 15}, {"twenty-two", 22}, {"forty", 40},
}

// fairShares returns the fraction of each customer's requests that would be
// served if a capacity in requests a second went by weight: what a customer
// does not need of its part goes to the others.
func fairShares(rates, weights map[string]float64, capacity float64) map[string]float64 {
	shares, open := map[string]float64{}, maps.Clone(rates)
	for len(open) > 0 {
		total := 0.0
		for name := range open {
			total += weights[name]
		}
		perWeight, met := capacity/total, false
		for name, rate := range open {
			if rate <= perWeight*weights[name] {
				shares[name], met = 1, true
				capacity -= rate
				delete(open, name)
			}
		}
		if met {
			continue
		}
		for name, rate := range open {
			shares[name] = perWeight * weights[name] / rate
		}
		break
	}
	return shares
}

// burstFactor returns the factor on the rate of a customer while room is short.
func (sim *simulation) burstFactor(customer string) float64 {
	factor := 1.0
	for _, b := range sim.bursts {
		if b.customer == "" || b.customer == customer {
			factor *= b.factor
		}
	}
	return factor
}

// ofQuota returns how many of a customer's requests within its quota were owed and
// served, at the first attempt or when its clients repeated it. What it sends
// beyond is not owed.
func ofQuota(got map[string]*simTally, c *dynamic.Customer, window time.Duration) (served, owed float64) {
	x := got[c.Name]
	owed = min(float64(x.all), c.Quota.PerSecond*window.Seconds())
	n := x.inTime + x.late
	if again := got[c.Name+" (repeated)"]; again != nil {
		n += again.inTime + again.late
	}
	return min(owed, float64(n)), owed
}

// Guards against customers that are served less than a quarter as often as all
// while a service is short, be it for their size, for the nodes at which their
// clients enter or for their priority, and against a flood that takes from the
// share of others.
func TestEveryCustomerGetsAShare(t *testing.T) {
	const seeds = 4
	window := 10 * time.Second
	for name, change := range map[string]func(*simulation){
		"equal priority": func(*simulation) {},
		"repeats only": func(sim *simulation) {
			sim.bursts[1].customer = "nobody"
			sim.bursts[0].factor = 2
			sim.clients["flood"] = simClients{repeats: 10}
		},
		"flood has priority": func(sim *simulation) {
			for i := range sim.classes {
				c := sim.classes[i].customer
				c.Priority = 1
				if c.Name == "flood" {
					c.Priority = 0
				}
			}
		},
		"large customers have priority": func(sim *simulation) {
			for i := range sim.classes {
				if c := sim.classes[i].customer; sim.classes[i].rate < 10 {
					c.Priority = 2
				}
			}
		},
		"one slot, long runs": func(sim *simulation) {
			sim.hosts[0] = simService{name: "orders", count: 32, slots: 1, zones: slices.Repeat([]int{0, 0, 0, 1, 1, 1, 2, 2}, 4)}
			for i := range sim.classes {
				c := &sim.classes[i]
				c.route.Objective, c.route.Timeout = 2400*time.Millisecond, 6*time.Second
				c.runTime *= 2
				c.rate /= 2
				c.customer.Quota.PerSecond /= 2
			}
		},
		"flood beside the targets": func(sim *simulation) {
			for _, name := range []string{"one", "two", "four", "six", "fifteen"} {
				sim.clients[name] = simClients{zone: "z3"}
			}
			sim.clients["flood"] = simClients{zone: "z0", repeats: 3}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sim *simulation
			got := runSimulations(t, seeds, func(seed uint64) *simulation {
				sim = fairShareLoad(seed)
				change(sim)
				return sim
			})
			sent, expected, weights := map[string]float64{}, map[string]float64{}, map[string]float64{}
			served, owed := 0.0, 0.0
			for _, c := range sim.classes {
				name := c.customer.Name
				s, o := ofQuota(got, c.customer, seeds*window)
				served, owed = served+s, owed+o
				sent[name] = float64(got[name].all) / (seeds * window).Seconds()
				expected[name] = c.rate * sim.burstFactor(name)
				weights[name] = c.customer.Quota.PerSecond
			}
			service := sim.hosts[0]
			capacity := float64(service.count*service.slots) / sim.classes[0].runTime.Seconds()
			fair := fairShares(sent, weights, capacity)
			for name, share := range fairShares(expected, weights, capacity) {
				fair[name] = min(fair[name], share) // small customers sent few by chance, and not evenly
			}
			all := served / owed
			for _, c := range sim.classes {
				name := c.customer.Name
				x := got[name]
				s, o := ofQuota(got, c.customer, seeds*window)
				t.Logf("%-11s %.2f reservations %5d requests, %.3f served, %.3f in time, %.3f failed, %.3f of those owed, by weight %.3f", name, float64(x.reservations)/float64(x.all), x.all, x.served(), x.share(x.inTime), x.share(x.failed), s/o, fair[name])
				if s/o < all/4 {
					t.Errorf("%.3f of %d requests of customer %s within its quota were served, %.3f of all", s/o, x.all, name, all)
				}
				// The operators allow 5 percentage points; the rest is three standard
				// errors, as some forty shares are compared.
				least := fair[name] - 0.05 - 3*math.Sqrt(fair[name]*(1-fair[name])/float64(x.all))
				if name != "flood" && x.served() < least {
					t.Errorf("%.3f of %d requests of customer %s were served, want %.3f by its weight, at least %.3f", x.served(), x.all, name, fair[name], least)
				}
			}
			total := &simTally{}
			for _, x := range got {
				total.add(x)
			}
			requests := float64(total.all)
			t.Logf("all: %.3f of those owed served, %.2f reservations for each request, %.2f of them in other zones", all, float64(total.reservations)/requests, float64(total.crossZoneReservations)/requests)
		})
	}
}

// Guards against customers that are refused for their share in a burst that the
// service can serve before their deadlines. It is the burst of
// TestShortBurstLosesNothing, from customers of 1 to 40% of the load that use
// different parts of their quotas.
func TestShortBurstOfCustomersLosesNothing(t *testing.T) {
	t.Parallel()
	sim := burstLoad(1, 7*time.Second)
	order := sim.classes[1]
	sim.classes = sim.classes[:1]
	for i, c := range fairShareCustomers {
		one := order
		one.rate = order.rate * c.percent / 100
		used := []float64{0.3, 0.6, 0.9}[i%3]
		one.customer = &dynamic.Customer{Name: c.name, Quota: dynamic.Quota{PerSecond: one.rate / used}}
		sim.classes = append(sim.classes, one)
	}
	orders := &simTally{}
	for name, x := range sim.run(t) {
		if name != "lookup" {
			orders.add(x)
		}
	}
	if refused := orders.share(orders.refused); refused > 0.01 {
		t.Errorf("%.3f of %d orders were refused", refused, orders.all)
	}
}
