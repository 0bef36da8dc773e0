package health

import (
	"testing"
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
)

func badTargets(bad map[int]Outcome) func(i, n int) (Outcome, time.Duration) {
	return func(i, n int) (Outcome, time.Duration) {
		o, d := normal(i, n)
		if b, ok := bad[i]; ok {
			return b, d
		}
		return o, d
	}
}

// The published list must start with the targets that the arbiter ejected,
// because entry nodes withhold a prefix of it.
func TestEjectionsListEjectedTargetsFirst(t *testing.T) {
	s := newSim(manifest.PreferDetection, simTargets-2)
	s.warm()
	bad := badTargets(map[int]Outcome{1: Error, 3: Error, 5: Error})
	for range 15 {
		s.step(bad)
	}
	list := s.detector.Ejections()
	if len(list) != 3 || len(s.ejected) != 2 {
		t.Fatalf("%d listed, %d ejected, want 3 and 2", len(list), len(s.ejected))
	}
	for i, e := range list {
		if s.ejected[e.Target] != (i < 2) {
			t.Errorf("entry %d, %s: ejected is %v", i, e.Target, s.ejected[e.Target])
		}
		if i > 0 && e.Weight > list[i-1].Weight {
			t.Errorf("entry %d has weight %v after %v", i, e.Weight, list[i-1].Weight)
		}
	}
}

// A new arbiter must not return all targets to service at once, nor eject more
// of the previous arbiter's list than the floor permits.
func TestRestoreEjectionsKeepsFloor(t *testing.T) {
	s := newSim(manifest.PreferService, simTargets-1)
	s.detector.RestoreEjections(s.now, []fleet.Ejection{
		{Target: simTarget(2), Weight: 3, Reason: "errors"},
		{Target: simTarget(4), Weight: 2, Reason: "slow"},
		{Target: "gone", Weight: 9},
	})
	s.collect()
	s.warm()
	if s.detector.Allow(s.now, "node-0", "gone", true) != true {
		t.Error("a request to an unlisted target is refused")
	}
	if len(s.decisions) == 0 || s.decisions[0].Kind != Eject || len(s.ejected) > 1 {
		t.Fatalf("decisions %v, ejected %v", s.decisions, s.ejected)
	}
}

// Only idempotent requests may be sent to an ejected target.
func TestTrialRequestsAreIdempotent(t *testing.T) {
	s := newSim(manifest.PreferDetection, 0)
	s.warm()
	bad := badTargets(map[int]Outcome{1: Error})
	for range 8 {
		s.step(bad)
	}
	if !s.ejected[simTarget(1)] {
		t.Fatal("the failing target was not ejected")
	}
	later := s.now + 10*time.Second
	if s.detector.Allow(later, "node-0", simTarget(1), false) {
		t.Error("a non-idempotent request is admitted to an ejected target")
	}
	if !s.detector.Allow(later, "node-0", simTarget(1), true) {
		t.Error("no trial request is admitted after the wait")
	}
}

// A recovered target must return to service, but not before the wait for the
// first trial request.
func TestTargetReturnsAfterTrials(t *testing.T) {
	s := newSim(manifest.PreferDetection, 0)
	s.warm()
	bad := badTargets(map[int]Outcome{1: Truncated})
	for range 8 {
		s.step(bad)
	}
	ejectedAt := s.now
	for range 150 {
		s.step(normal)
	}
	if s.count(Eject) != 1 || s.count(Return) != 1 || s.ejected[simTarget(1)] {
		t.Fatalf("decisions %v", s.decisions)
	}
	back := s.decisions[len(s.decisions)-1].At - ejectedAt
	if back < firstTrialWait-time.Second {
		t.Errorf("returned after %v, before the first trial request", back)
	}
}

// A target that still fails its trial requests must not return to service.
func TestFailedTrialsKeepTargetEjected(t *testing.T) {
	s := newSim(manifest.PreferDetection, 0)
	s.warm()
	bad := badTargets(map[int]Outcome{1: Error})
	for range 200 {
		s.step(bad)
	}
	if s.count(Return) != 0 || s.count(Relapse) < 2 {
		t.Fatalf("%d returns, %d relapses, want 0 and at least 2", s.count(Return), s.count(Relapse))
	}
}

// Requests whose end is never reported must not accumulate.
func TestOpenRequestsAreBounded(t *testing.T) {
	s := newSim(manifest.PreferDetection, simTargets)
	for id := range uint64(3 * maxOpen) {
		s.detector.ObserveStart(0, RequestStart{ID: id, Node: "node-0", Target: simTarget(0)})
	}
	if n := len(s.detector.open); n != maxOpen {
		t.Errorf("%d open requests, want %d", n, maxOpen)
	}
	s.detector.Tick(maxOpenTime + time.Second)
	if n := len(s.detector.open); n != 0 {
		t.Errorf("%d open requests after maxOpenTime, want 0", n)
	}
}
