package admission

import (
	"context"
	"testing"
	"time"
)

// Guards against ejections that last for the run time of three requests after
// the fault has ended: a trial request that is open for much longer than the
// failures took shows that the target no longer resets requests.
func TestOpenTrialCountsAsSuccess(t *testing.T) {
	d := NewDetector(DefaultDetectorConfig())
	observe(d, TransportError, 0, 2*ms)
	now := 300 * ms
	for i := range d.cfg.SuccessesAfterTransportError {
		if !d.Ejected() {
			t.Fatalf("returned after %d trial requests", i)
		}
		wait, ok := d.EarlySuccessTime()
		if !ok || wait <= 2*ms {
			t.Fatalf("early success time %v, %v", wait, ok)
		}
		if in := d.TrialIn(now); in != 0 {
			t.Fatalf("trial request %d is due only in %v", i, in)
		}
		d.BeginTrial(now)
		if !d.EarlySuccess("z", now, now+wait) {
			t.Fatal("an open trial request does not count as a success")
		}
		now += wait
	}
	if d.Ejected() || d.lastSuccessStart < 300*ms {
		t.Errorf("ejected %v, newest start of a success %v after all trial requests counted early", d.Ejected(), d.lastSuccessStart)
	}
}

// Guards against an early return of a target whose failures take long, such as
// one that hangs: there an open request proves nothing.
func TestSlowFailuresHaveNoEarlySuccess(t *testing.T) {
	d := NewDetector(DefaultDetectorConfig())
	observe(d, Timeout, 0, 900*ms)
	observe(d, Timeout, 0, 950*ms)
	if wait, ok := d.EarlySuccessTime(); ok {
		t.Errorf("early success time %v after failures that took 950 ms", wait)
	}
	healthy := NewDetector(DefaultDetectorConfig())
	if _, ok := healthy.EarlySuccessTime(); ok {
		t.Error("early success time of a target that is not ejected")
	}
}

// Guards against a trial request from before the newest failure that ends the
// ejection, and against a trial request that counts twice.
func TestEarlySuccessCountsOnce(t *testing.T) {
	d := NewDetector(DefaultDetectorConfig())
	observe(d, TransportError, 0, 2*ms)
	d.BeginTrial(300 * ms)
	observe(d, TransportError, 310*ms, 312*ms)
	if d.EarlySuccess("z", 300*ms, 400*ms) {
		t.Error("a trial request from before the failure counts as a success")
	}
	d.EndTrial()

	g, c := testGate(2)
	mustReserve(t, g, nonIdempotent()).Release(TransportError)
	c.add(DefaultDetectorConfig().TrialInterval)
	trial := mustReserve(t, g, idempotent())
	if reason := trial.Claim(); reason != None {
		t.Fatal(reason)
	}
	c.add(100 * ms)
	trial.countEarlySuccess()
	needed := g.detector.needed
	trial.Release(Success)
	if g.detector.needed != needed || needed != DefaultDetectorConfig().SuccessesAfterTransportError-1 || g.detector.openTrials != 0 {
		t.Errorf("%d successes needed, then %d, %d trial requests open", needed, g.detector.needed, g.detector.openTrials)
	}
}

// Guards against a trial request that counts twice because its early success
// timer fires just as its success is recorded, and against a late timer that
// ends another trial request.
func TestEarlySuccessAfterTheEnd(t *testing.T) {
	g, c := testGate(2)
	mustReserve(t, g, nonIdempotent()).Release(TransportError)
	c.add(DefaultDetectorConfig().TrialInterval)
	trial := mustReserve(t, g, idempotent())
	trial.Claim()
	trial.Release(Success)
	mustReserve(t, g, idempotent())
	trial.countEarlySuccess()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.detector.needed != DefaultDetectorConfig().SuccessesAfterTransportError-1 || g.detector.openTrials != 1 {
		t.Errorf("%d successes needed, %d trial requests open", g.detector.needed, g.detector.openTrials)
	}
}

// Guards against a target that counts as recovering although a trial request
// failed after its early success.
func TestFailureAfterEarlySuccess(t *testing.T) {
	g, c := testGate(2)
	mustReserve(t, g, nonIdempotent()).Release(TransportError)
	c.add(DefaultDetectorConfig().TrialInterval)
	trial := mustReserve(t, g, idempotent())
	trial.Claim()
	c.add(100 * ms)
	trial.countEarlySuccess()
	if !g.Status().Recovering {
		t.Error("not recovering after the early success of a trial request")
	}
	trial.Release(TransportError)
	if s := g.Status(); s.Recovering || !s.Ejected || g.detector.needed != DefaultDetectorConfig().SuccessesAfterTransportError {
		t.Errorf("recovering %v, ejected %v, %d successes needed", s.Recovering, s.Ejected, g.detector.needed)
	}
}

// Guards against other nodes that learn late that an ejected target is
// recovering, which delays the trial requests it still needs.
func TestRecoveryIsAnnounced(t *testing.T) {
	changes := 0
	c := &clock{now: time.Second}
	g := NewGate(c.get, DefaultDetectorConfig(), func() { changes++ })
	g.SetTarget(Target{ID: "t", Service: "s", Slots: 2, Phase: Serving})
	mustReserve(t, g, nonIdempotent()).Release(TransportError)
	c.add(DefaultDetectorConfig().TrialInterval)
	before := changes
	mustReserve(t, g, idempotent()).Release(Success)
	if changes != before+1 || !g.Status().Recovering {
		t.Errorf("%d announcements, recovering %v", changes-before, g.Status().Recovering)
	}
}

// Guards against refusing last-resort non-idempotent requests although the
// target needs only one more success, and against admitting them earlier.
func TestNonIdempotentNearRecovery(t *testing.T) {
	g, c := testGate(2)
	mustReserve(t, g, nonIdempotent()).Release(TransportError)
	c.add(DefaultDetectorConfig().TrialInterval)
	lastResort := nonIdempotent()
	lastResort.LastResort = true
	for range DefaultDetectorConfig().SuccessesAfterTransportError - 1 {
		mustRefuse(t, g, lastResort, TargetEjected)
		mustReserve(t, g, idempotent()).Release(Success)
	}
	if res, reason := g.Reserve(context.Background(), lastResort); res == nil || !res.Trial() {
		t.Errorf("non-idempotent request refused: %s", reason)
	}
}
