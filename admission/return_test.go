package admission

import (
	"context"
	"testing"
	"time"
)

// Guards against gray phases that outlast the fault by the run time of three
// requests: a trial that is open for much longer than its failures took shows
// that the target no longer resets requests.
func TestOpenTrialCountsAsSuccess(t *testing.T) {
	j := NewDetector(DefaultDetectorConfig())
	observe(j, TransportError, 0, 2*ms)
	now := 300 * ms
	for i := range j.cfg.SuccessesAfterTransportError {
		if !j.Ejected() {
			t.Fatalf("returned after %d trials", i)
		}
		wait, ok := j.EarlySuccessTime()
		if !ok || wait <= 2*ms {
			t.Fatalf("survival time %v, %v", wait, ok)
		}
		if in := j.TrialIn(now); in != 0 {
			t.Fatalf("trial %d is due only in %v", i, in)
		}
		j.BeginTrial(now)
		if !j.EarlySuccess("z", now, now+wait) {
			t.Fatal("open trial does not count")
		}
		now += wait
	}
	if j.Ejected() || j.goodStart < 300*ms {
		t.Errorf("gray %v, newest good start %v after all trials survived", j.Ejected(), j.goodStart)
	}
}

// Guards against an early return of a target whose failures take long, such as
// one that hangs: there an open request shows nothing.
func TestSlowFailuresHaveNoSurvival(t *testing.T) {
	j := NewDetector(DefaultDetectorConfig())
	observe(j, Timeout, 0, 900*ms)
	observe(j, Timeout, 0, 950*ms)
	if wait, ok := j.EarlySuccessTime(); ok {
		t.Errorf("survival time %v after failures that took 950 ms", wait)
	}
	good := NewDetector(DefaultDetectorConfig())
	if _, ok := good.EarlySuccessTime(); ok {
		t.Error("survival time of a target that is not gray")
	}
}

// Guards against a trial from before the newest failure that ends the gray
// phase, and against one trial that counts twice.
func TestSurvivalCountsOnce(t *testing.T) {
	j := NewDetector(DefaultDetectorConfig())
	observe(j, TransportError, 0, 2*ms)
	j.BeginTrial(300 * ms)
	observe(j, TransportError, 310*ms, 312*ms)
	if j.EarlySuccess("z", 300*ms, 400*ms) {
		t.Error("a trial from before the failure counts")
	}
	j.EndTrial()

	g, c := testGate(2)
	mustReserve(t, g, order()).Release(TransportError)
	c.add(DefaultDetectorConfig().TrialInterval)
	trial := mustReserve(t, g, read())
	if why := trial.Claim(); why != None {
		t.Fatal(why)
	}
	c.add(100 * ms)
	trial.survive()
	need := g.judge.need
	trial.Release(Success)
	if g.judge.need != need || need != DefaultDetectorConfig().SuccessesAfterTransportError-1 || g.judge.trials != 0 {
		t.Errorf("%d successes needed, then %d, %d trials open", need, g.judge.need, g.judge.trials)
	}
}

// Guards against a trial that counts twice because its survival time ends just
// as its good answer is recorded, and against an end that frees another trial.
func TestSurvivalAfterTheEnd(t *testing.T) {
	g, c := testGate(2)
	mustReserve(t, g, order()).Release(TransportError)
	c.add(DefaultDetectorConfig().TrialInterval)
	trial := mustReserve(t, g, read())
	trial.Claim()
	trial.Release(Success)
	mustReserve(t, g, read())
	trial.survive()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.judge.need != DefaultDetectorConfig().SuccessesAfterTransportError-1 || g.judge.trials != 1 {
		t.Errorf("%d successes needed, %d trials open", g.judge.need, g.judge.trials)
	}
}

// Guards against a target that fails again during a trial and counts as
// recovered, because the trial had survived before.
func TestFailureAfterSurvival(t *testing.T) {
	g, c := testGate(2)
	mustReserve(t, g, order()).Release(TransportError)
	c.add(DefaultDetectorConfig().TrialInterval)
	trial := mustReserve(t, g, read())
	trial.Claim()
	c.add(100 * ms)
	trial.survive()
	if !g.Status().Recovering {
		t.Error("not returning after a trial that survived")
	}
	trial.Release(TransportError)
	if s := g.Status(); s.Recovering || !s.Ejected || g.judge.need != DefaultDetectorConfig().SuccessesAfterTransportError {
		t.Errorf("returning %v, gray %v, %d successes needed", s.Recovering, s.Ejected, g.judge.need)
	}
}

// Guards against other nodes that learn only by chance that a gray target
// began to return, so that the missing successes come late.
func TestReturnIsAnnounced(t *testing.T) {
	changes := 0
	c := &clock{now: time.Second}
	g := NewGate(c.get, DefaultDetectorConfig(), func() { changes++ })
	g.SetTarget(Target{ID: "t", Service: "s", Slots: 2, Phase: Serving})
	mustReserve(t, g, order()).Release(TransportError)
	c.add(DefaultDetectorConfig().TrialInterval)
	before := changes
	mustReserve(t, g, read()).Release(Success)
	if changes != before+1 || !g.Status().Recovering {
		t.Errorf("%d announcements, returning %v", changes-before, g.Status().Recovering)
	}
}

// Guards against orders that are refused although the target needs a single
// success more, and against orders that meet it before.
func TestOrderNearReturn(t *testing.T) {
	g, c := testGate(2)
	mustReserve(t, g, order()).Release(TransportError)
	c.add(DefaultDetectorConfig().TrialInterval)
	forced := order()
	forced.LastResort = true
	for range DefaultDetectorConfig().SuccessesAfterTransportError - 1 {
		refused(t, g, forced, TargetEjected)
		mustReserve(t, g, read()).Release(Success)
	}
	if ticket, why := g.Reserve(context.Background(), forced); ticket == nil || !ticket.Trial() {
		t.Errorf("order refused: %s", why)
	}
}
