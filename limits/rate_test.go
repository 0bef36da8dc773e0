package limits

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

const (
	simNodes = 20
	simStep  = time.Millisecond
	simDelay = 2 * time.Millisecond // one-way delay between nodes
)

// rateSimulation is a simulated fleet-wide rate limit.
type rateSimulation interface {
	allow(now time.Duration, node int) bool
	step(now time.Duration)
	isolate(node int) // cuts node off from all others
}

// ownerSimulation runs RateLimiters with owner nodes on simulated links.
type ownerSimulation struct {
	rate     Rate
	key      RateKey
	limiters [simNodes]*RateLimiter
	isolated [simNodes]bool
	inFlight []message
	messages int
	requests int
}

type message struct {
	at       time.Duration
	from     int
	to       int
	requests []RateRequest
	grants   []RateGrant
}

func newOwnerSimulation(r Rate) *ownerSimulation {
	s := &ownerSimulation{rate: r, key: NewRateKey("s/r", "customer")}
	var ids []string
	for i := range simNodes {
		ids = append(ids, fmt.Sprintf("n%d", i))
	}
	for i := range simNodes {
		s.limiters[i] = NewRateLimiter(RateConfig{Node: ids[i], MaxKeys: 1000})
		s.limiters[i].SetNodes(ids)
	}
	return s
}

func (s *ownerSimulation) allow(now time.Duration, node int) bool {
	return s.limiters[node].Allow(now, s.key, s.rate)
}

func (s *ownerSimulation) isolate(node int) { s.isolated[node] = true }

func (s *ownerSimulation) send(m message) {
	if !s.isolated[m.from] && !s.isolated[m.to] {
		s.inFlight = append(s.inFlight, m)
	}
}

func (s *ownerSimulation) step(now time.Duration) {
	inFlight := s.inFlight
	s.inFlight = nil
	for _, m := range inFlight {
		switch {
		case m.at > now:
			s.inFlight = append(s.inFlight, m)
		case m.requests != nil:
			s.messages++
			s.requests += len(m.requests)
			s.send(message{at: now + simDelay, from: m.to, to: m.from, grants: s.limiters[m.to].HandleRequests(now, m.requests)})
		default:
			s.limiters[m.to].HandleGrants(now, m.grants)
		}
	}
	for i, l := range s.limiters {
		if now%(20*time.Millisecond) == 0 {
			l.Sweep(now)
		}
		if now%(5*time.Millisecond) != 0 {
			continue
		}
		select {
		case <-l.Wake():
		default:
			continue
		}
		for _, b := range l.Due(now) {
			var owner int
			_, _ = fmt.Sscanf(b.Owner, "n%d", &owner)
			s.send(message{at: now + simDelay, from: i, to: owner, requests: b.Requests})
		}
	}
}

// splitSimulation is the alternative design that RateLimiter is compared with:
// every node has a share of the rate in proportion to its part of the demand,
// which the nodes exchange by gossip every 200 ms.
type splitSimulation struct {
	rate     Rate
	isolated [simNodes]bool
	demand   [simNodes]average
	known    [simNodes][simNodes]float64 // [to][from]: demand of node from as known to node to
	tokens   [simNodes]float64
	last     [simNodes]time.Duration

	wholeBurst bool // gives every node the whole burst instead of its share
}

func newSplitSimulation(r Rate) *splitSimulation {
	s := &splitSimulation{rate: r}
	for i := range s.tokens {
		s.tokens[i] = max(1, r.Burst/simNodes)
	}
	return s
}

func (s *splitSimulation) isolate(node int) { s.isolated[node] = true }

func (s *splitSimulation) share(now time.Duration, node int) float64 {
	own := s.demand[node].at(now)
	sum := own
	for i, d := range s.known[node] {
		if i != node {
			sum += d
		}
	}
	if sum == 0 {
		return 1.0 / simNodes
	}
	return max(own/sum, 0.2/simNodes)
}

func (s *splitSimulation) allow(now time.Duration, node int) bool {
	s.demand[node].add(now, 1)
	share := s.share(now, node)
	burst := max(1, s.rate.Burst*share)
	if s.wholeBurst {
		burst = s.rate.Burst
	}
	s.tokens[node] = min(burst, s.tokens[node]+s.rate.PerSecond*share*(now-s.last[node]).Seconds())
	s.last[node] = now
	if s.tokens[node] < 1 {
		return false
	}
	s.tokens[node]--
	return true
}

func (s *splitSimulation) step(now time.Duration) {
	if now%(200*time.Millisecond) != 0 {
		return
	}
	for from := range simNodes {
		for to := range simNodes {
			if !s.isolated[from] && !s.isolated[to] {
				s.known[to][from] = s.demand[from].at(now)
			}
		}
	}
}

// scenario describes the load of a simulation and a possible network fault.
type scenario struct {
	name     string
	total    float64                                   // requests per second over all nodes
	at       func(now time.Duration, node int) float64 // share of total that arrives at node
	isolate  int                                       // node that is isolated from 2 s on; -1 for none
	rate     Rate
	duration time.Duration
}

func scenarios() []scenario {
	uniform := func(time.Duration, int) float64 { return 1.0 / simNodes }
	skewed := func(_ time.Duration, node int) float64 {
		if node == 3 {
			return 0.8
		}
		return 0.2 / (simNodes - 1)
	}
	shifting := func(now time.Duration, node int) float64 {
		if int(now/(2*time.Second))*7%simNodes/2 == node/2 {
			return 0.5
		}
		return 0
	}
	var out []scenario
	rate := Rate{PerSecond: 100, Burst: 20}
	for _, total := range []float64{80, 300} {
		out = append(out,
			scenario{"uniform", total, uniform, -1, rate, 12 * time.Second},
			scenario{"skewed", total, skewed, -1, rate, 12 * time.Second},
			scenario{"shifting", total, shifting, -1, rate, 12 * time.Second},
			scenario{"skewed, busy node cut off", total, skewed, 3, rate, 12 * time.Second},
			scenario{"uniform, one node cut off", total, uniform, 5, rate, 12 * time.Second})
	}
	// At a low rate, the tokens that nodes still hold at the end of a short run
	// are a large part of what is admitted. These runs are longer.
	low := Rate{PerSecond: 10, Burst: 20}
	return append(out,
		scenario{"uniform, low rate", 8, uniform, -1, low, time.Minute},
		scenario{"uniform, low rate", 30, uniform, -1, low, time.Minute})
}

// accuracy compares the requests that a fleet admitted with those that one exact
// token bucket admits.
type accuracy struct {
	over  float64 // requests admitted in excess, relative to the exact bucket
	under float64 // requests refused in excess, relative to the exact bucket
	peak  float64 // most requests admitted in one second, relative to rate + burst
}

func simulateRate(s rateSimulation, sc scenario, rate Rate) accuracy {
	r := rand.New(rand.NewPCG(11, 13))
	exact := ownedBucket{rate: rate, tokens: rate.Burst}
	var admitted, ideal float64
	perSecond := map[time.Duration]float64{}
	peak := 0.0
	for now := simStep; now < sc.duration; now += simStep {
		if sc.isolate >= 0 && now == 2*time.Second {
			s.isolate(sc.isolate)
		}
		s.step(now)
		for node := range simNodes {
			if r.Float64() >= sc.total*sc.at(now, node)*simStep.Seconds() {
				continue
			}
			exact.refill(now)
			if exact.tokens >= 1 {
				exact.tokens--
				ideal++
			}
			if s.allow(now, node) {
				admitted++
				perSecond[now.Truncate(time.Second)]++
			}
		}
	}
	for _, n := range perSecond {
		peak = max(peak, n)
	}
	diff := (admitted - ideal) / ideal
	return accuracy{max(0, diff), max(0, -diff), peak / (rate.PerSecond + rate.Burst)}
}

// Guards against a fleet-wide limit that admits a multiple of the rate or refuses
// customers that are within it. Run it with -v for the figures in
// docs/measurements/requests.md.
func TestRateAccuracy(t *testing.T) {
	for _, sc := range scenarios() {
		owner := newOwnerSimulation(sc.rate)
		a := simulateRate(owner, sc, sc.rate)
		b := simulateRate(newSplitSimulation(sc.rate), sc, sc.rate)
		whole := newSplitSimulation(sc.rate)
		whole.wholeBurst = true
		c := simulateRate(whole, sc, sc.rate)
		perSecond := float64(owner.messages) / sc.duration.Seconds()
		t.Logf("%-26s demand %3.0f/s: owner over %.3f under %.3f peak %.2f, %4.0f messages/s; split over %.3f under %.3f peak %.2f; split with whole burst over %.3f under %.3f peak %.2f",
			sc.name, sc.total, a.over, a.under, a.peak, perSecond, b.over, b.under, b.peak, c.over, c.under, c.peak)
		if a.over > 0.10 {
			t.Errorf("%s at %v/s: admitted a share of %.3f in excess of the rate, want at most 0.10", sc.name, sc.total, a.over)
		}
		if a.under > 0.05 {
			t.Errorf("%s at %v/s: refused a share of %.3f within the rate, want at most 0.05", sc.name, sc.total, a.under)
		}
		if math.IsNaN(a.over) {
			t.Error("no request was admitted")
		}
	}
}

// Guards against a customer that exceeds its rate by spreading its requests over
// nodes or because of lost messages. The requests admitted are limited to the
// bucket plus what nodes may use ahead of a grant and in the fallback.
func TestRateBoundUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := Rate{PerSecond: float64(rapid.IntRange(1, 50).Draw(t, "rate")), Burst: float64(rapid.IntRange(1, 20).Draw(t, "burst"))}
		s := newOwnerSimulation(rate)
		var admitted float64
		end := 3 * time.Second
		cutAt := time.Duration(rapid.IntRange(0, 3000).Draw(t, "cut at ms")) * time.Millisecond
		node := rapid.IntRange(0, simNodes-1).Draw(t, "cut")
		for now := simStep; now < end; now += simStep {
			if now == cutAt {
				s.isolate(node)
			}
			s.step(now)
			if s.allow(now, int(now/simStep)*7%simNodes) {
				admitted++
			}
		}
		bucket := rate.Burst + rate.PerSecond*end.Seconds()
		ahead := simNodes * max(1, aheadShare*rate.Burst)
		// Once the owner is isolated, every node may fall back to its last
		// granted rate and then to its equal share.
		fallback := simNodes + 2*rate.PerSecond*end.Seconds()
		if admitted > bucket+ahead+fallback {
			t.Fatalf("%.0f requests admitted, want at most bucket %.0f + ahead %.0f + fallback %.0f", admitted, bucket, ahead, fallback)
		}
	})
}

// Guards against requests that run ahead of a grant and are never charged, or
// charged twice: a lost report is resent, a delivered one is not.
func TestSpentTokensAreReported(t *testing.T) {
	user, owner := NewRateLimiter(RateConfig{Node: "n0"}), NewRateLimiter(RateConfig{Node: "n1"})
	user.SetNodes([]string{"n0", "n1"})
	rate := Rate{PerSecond: 0.001, Burst: 20}
	key := NewRateKey("s/r", "c")
	for user.nodes.Load().ownerOf(key) == user.nodes.Load().self {
		key++
	}
	if !user.Allow(0, key, rate) {
		t.Fatal("the first request of a customer was refused")
	}
	sent := 0
	for now := time.Duration(0); now < 4*time.Second; now += 20 * time.Millisecond {
		user.Sweep(now)
		for _, b := range user.Due(now) {
			if sent++; sent > 1 {
				user.HandleGrants(now, owner.HandleRequests(now, b.Requests))
			}
		}
	}
	if got := owner.owner.buckets[key]; sent != 2 || got == nil || got.tokens > rate.Burst-0.9 || got.tokens < rate.Burst-1.1 {
		t.Errorf("%d messages, bucket %+v, want 2 and one token charged", sent, got)
	}
}

// Guards against a message field that is lost in encoding or decoding. Logs the
// encoded size of the messages.
func TestRateMessagesRoundTrip(t *testing.T) {
	enc, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		t.Fatal(err)
	}
	request := RateRequest{Key: NewRateKey("s/r", "c"), Rate: Rate{100, 20}, Want: 12.3, Spent: 3, Returned: 0.7}
	grant := RateGrant{Key: request.Key, Tokens: 4.2, RetryMS: 250}
	var gotRequest RateRequest
	var gotGrant RateGrant
	for _, c := range []struct{ in, out any }{{request, &gotRequest}, {grant, &gotGrant}} {
		data, err := enc.Marshal(c.in)
		if err != nil {
			t.Fatal(err)
		}
		if err := cbor.Unmarshal(data, c.out); err != nil {
			t.Fatal(err)
		}
		t.Logf("%T: %d bytes", c.in, len(data))
	}
	if gotRequest != request || gotGrant != grant {
		t.Errorf("got %+v and %+v, want %+v and %+v", gotRequest, gotGrant, request, grant)
	}
}

// Guards against memory that grows with the number of customers seen rather than
// the number of active ones, also if messages are lost.
func TestRateMemoryIsBounded(t *testing.T) {
	const limit = 6400
	user, owner := NewRateLimiter(RateConfig{Node: "n0", MaxKeys: limit}), NewRateLimiter(RateConfig{Node: "n1", MaxKeys: limit})
	user.SetNodes([]string{"n0", "n1"})
	now := time.Duration(0)
	// Every second message is lost.
	exchange := func(i int) {
		for _, b := range user.Due(now) {
			if i%2 == 0 {
				user.HandleGrants(now, owner.HandleRequests(now, b.Requests))
			}
		}
		user.Sweep(now)
		owner.Sweep(now)
	}
	check := func(limit int) {
		for _, l := range []*RateLimiter{user, owner} {
			if used, owned := l.Keys(); used > limit || owned > limit {
				t.Errorf("%d used and %d owned keys, want at most %d each", used, owned, limit)
			}
		}
	}
	for i := range 47_000 {
		now += time.Millisecond / 4
		user.Allow(now, NewRateKey("s/r", fmt.Sprint(i)), Rate{10, 10})
		if i%20 == 0 {
			exchange(i / 20)
		}
	}
	check(limit)
	if used, _ := user.Keys(); used < limit/2 {
		t.Errorf("%d used keys, the limit was not reached", used)
	}
	for i := range 4 * rateShards {
		now += idleTimeout / rateShards * 2
		exchange(i)
	}
	check(0)
}
