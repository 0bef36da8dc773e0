package admission

import (
	"math"
	"testing"
	"time"
)

// testRates are those of a target that is gray for 4 s of each 24 s.
var testRates = rates{onset: 0.05, recovery: 0.25}

// Guards against an estimate that differs from Bayes' rule for outcomes that
// are known at once, and that does not settle at the usual share of gray time.
func TestBeliefOfFreshOutcomes(t *testing.T) {
	b := belief{odds: 0.2}
	b.update(0.75, 0.01, 0, 0, testRates)
	if want := 0.2 * 75; math.Abs(b.odds-want) > 1e-9 {
		t.Errorf("odds %v after a failure, want %v", b.odds, want)
	}
	b.update(0.25, 1, 0, 0, testRates)
	if want := 0.2 * 75 / 4; math.Abs(b.odds-want) > 1e-9 {
		t.Errorf("odds %v after a success, want %v", b.odds, want)
	}
	if odds := b.at(time.Hour, testRates); math.Abs(odds-0.2) > 1e-6 {
		t.Errorf("odds %v an hour later, want those of the usual share of gray time, 0.2", odds)
	}
}

// Guards against old evidence that counts as much as new evidence: a request
// shows the state of its target at its start, which may have changed since.
func TestBeliefOfOldOutcomes(t *testing.T) {
	last := math.Inf(1)
	for _, age := range []time.Duration{0, time.Second, 5 * time.Second, time.Hour} {
		ratio := likelihoodRatio(0.75, 0.01, age, testRates)
		if ratio >= last || ratio < 1 {
			t.Errorf("likelihood ratio %v of a failure %v ago, %v of a newer one", ratio, age, last)
		}
		last = ratio
	}
	if math.Abs(last-1) > 1e-6 {
		t.Errorf("likelihood ratio %v of a failure an hour ago, want 1", last)
	}
}

// Guards against non-idempotent requests to a target that has returned after
// lucky successes: while a target fails three of four requests, two successes in
// a row are common, and the next request is probably lost.
func TestRiskAfterReturn(t *testing.T) {
	g, c := testGate(4)
	succeed := func(n int) {
		for range n {
			c.add(50 * ms)
			mustReserve(t, g, idempotent()).Release(Success)
		}
	}
	succeed(10)
	mustReserve(t, g, nonIdempotent()).Release(Timeout)
	mustReserve(t, g, idempotent()).Release(Timeout)
	c.add(DefaultDetectorConfig().TrialInterval)
	succeed(1)
	if g.Status().Ejected {
		t.Fatal("still ejected")
	}
	mustRefuse(t, g, nonIdempotent(), TargetUnproven)
	succeed(6)
	mustReserve(t, g, nonIdempotent()).Release(Success)
}

// Guards against a target that answers some requests with errors at once and
// so looks idle: a single error raises its risk until requests have succeeded.
func TestErrorRaisesRisk(t *testing.T) {
	g, c := testGate(4)
	for range 5 {
		c.add(50 * ms)
		mustReserve(t, g, idempotent()).Release(Success)
	}
	c.add(300 * ms)
	mustReserve(t, g, nonIdempotent()).Release(ServerError)
	if g.Status().Ejected {
		t.Fatal("a single error ejects")
	}
	mustRefuse(t, g, nonIdempotent(), TargetUnproven)
	for range 3 {
		c.add(50 * ms)
		mustReserve(t, g, idempotent()).Release(Success)
	}
	mustReserve(t, g, nonIdempotent())
}
