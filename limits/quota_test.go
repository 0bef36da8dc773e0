package limits

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// poisson makes requests of a customer at random nodes until the given time.
func (f *quotaFleet) poisson(key RateKey, perSecond float64, until time.Duration) {
	var next func()
	next = func() {
		if f.now >= until {
			return
		}
		f.nodes[f.rand.IntN(len(f.nodes))].request(key)
		f.at(f.now+time.Duration(f.rand.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	f.at(f.now, next)
}

var testKey = NewRateKey("customer", "c")

// Guards against requests within the quota that are refused because nodes know
// too little of each other, against a quota that is not used up, and against
// messages that grow with the fleet. Run it with -v for the figures in
// docs/design/quotas.md.
func TestQuotaCostAndAccuracy(t *testing.T) {
	cases := []struct {
		nodes int
		load  float64 // as a fraction of the quota
		time  time.Duration
	}{{76, 0.1, 30 * time.Second}, {76, 0.62, 30 * time.Second}, {76, 0.9, 30 * time.Second}, {76, 1.5, 30 * time.Second}, {76, 10, 30 * time.Second}, {300, 0.62, 8 * time.Second}}
	for _, c := range cases {
		rate := Rate{PerSecond: 50, Burst: 50}
		f := newQuotaFleet(c.nodes, 4, rate, 1)
		f.run(5 * time.Second)
		f.messages, f.bytes, f.measureBytes = 0, 0, true
		f.poisson(testKey, c.load*rate.PerSecond, f.now+c.time)
		f.run(f.now + c.time + simWait + time.Second)
		admitted, refused, undecided := f.tally(testKey, 0, time.Hour)
		all := float64(admitted + refused + undecided)
		t.Logf("%d nodes, %.2f of the quota: %d admitted, %d refused; %.2f messages and %.0f bytes a request",
			c.nodes, c.load, admitted, refused, float64(f.messages)/all, float64(f.bytes)/all)
		if excess := f.excess(testKey); excess > 0 {
			t.Errorf("%d nodes, %.2f of the quota: %.0f requests above the bound", c.nodes, c.load, excess)
		}
		if undecided > 0 || (c.load < 1 && refused > 0) {
			t.Errorf("%d nodes, %.2f of the quota: %d refused, %d undecided", c.nodes, c.load, refused, undecided)
		}
		if owed := rate.PerSecond * c.time.Seconds(); c.load > 1 && float64(admitted) < owed {
			t.Errorf("%d nodes, %.2f of the quota: %d admitted, %.0f owed", c.nodes, c.load, admitted, owed)
		}
		if perRequest := float64(f.messages) / all; c.load <= 1 && perRequest > 2.1 {
			t.Errorf("%d nodes, %.2f of the quota: %.2f messages a request", c.nodes, c.load, perRequest)
		}
	}
}

// Guards against a quota that is exceeded when messages are lost, late, repeated
// or out of order, when nodes are cut off, suspended or restarted, when tokens
// are credited back, and when the limit changes; and against requests within the
// quota that are refused once the faults are over.
func TestQuotaModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := Rate{PerSecond: rapid.SampledFrom([]float64{2, 10, 60, 300}).Draw(t, "rate")}
		rate.Burst = rate.PerSecond * rapid.SampledFrom([]float64{0.5, 1, 3}).Draw(t, "burst")
		size := rapid.IntRange(1, 8).Draw(t, "nodes")
		f := newQuotaFleet(size, rapid.IntRange(1, 3).Draw(t, "zones"), rate, rapid.Uint64().Draw(t, "seed"))
		f.run(5 * time.Second)
		node := func(label string) *quotaSimNode {
			return f.nodes[rapid.IntRange(0, size-1).Draw(t, label)]
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				f.run(f.now + time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms"))*time.Millisecond)
			},
			"burst": func(t *rapid.T) {
				n := node("node")
				for range rapid.IntRange(1, 400).Draw(t, "requests") {
					n.request(testKey)
				}
			},
			"load": func(t *rapid.T) {
				f.poisson(testKey, f.rate.PerSecond*rapid.SampledFrom([]float64{0.3, 1, 4}).Draw(t, "load"), f.now+3*time.Second)
			},
			"network": func(t *rapid.T) {
				f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
				most := rapid.SampledFrom([]int64{2, 20, 300}).Draw(t, "delay")
				f.delay = func() time.Duration { return time.Duration(1+f.rand.Int64N(most)) * time.Millisecond }
			},
			"cut off": func(t *rapid.T) { f.groups[node("node").index] = rapid.IntRange(0, 2).Draw(t, "group") },
			"heal":    func(*rapid.T) { clear(f.groups) },
			"suspend": func(t *rapid.T) {
				n := node("node")
				n.frozen = true
				f.at(f.now+time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms"))*time.Millisecond, n.resume)
			},
			"restart": func(t *rapid.T) { node("node").start() },
			"refund": func(t *rapid.T) {
				for range rapid.IntRange(1, 100).Draw(t, "requests") {
					if len(f.requests) > 0 {
						f.requests[len(f.requests)-1-f.rand.IntN(min(len(f.requests), 300))].refund()
					}
				}
			},
			"limit": func(t *rapid.T) {
				f.setRate(rate.PerSecond * rapid.SampledFrom([]float64{0.25, 0.5, 1}).Draw(t, "factor"))
			},
		})
		f.run(f.now + 10*time.Second)
		if excess := f.excess(testKey); excess > 0 {
			t.Fatalf("%.0f requests above the bound", excess)
		}
		f.loss = 0
		f.delay = func() time.Duration { return time.Millisecond }
		clear(f.groups)
		f.run(f.now + 25*time.Second)
		from := f.now
		for range int(0.5 * f.rate.PerSecond * 5) {
			f.run(f.now + time.Duration(float64(time.Second)/(0.5*f.rate.PerSecond)))
			f.nodes[f.rand.IntN(size)].request(testKey)
		}
		f.run(f.now + 2*time.Second)
		if _, refused, undecided := f.tally(testKey, from, time.Hour); refused+undecided > 0 {
			t.Fatalf("%d refused and %d undecided at half of the quota after the faults", refused, undecided)
		}
	})
}
