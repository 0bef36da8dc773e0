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

// Guards against a published list whose front is not what the arbiter ejects:
// entry nodes withhold a prefix of it.
func TestEjectedListsAppliedEntriesFirst(t *testing.T) {
	s := newSim(manifest.PreferDetection, simTargets-2)
	s.warm()
	bad := badTargets(map[int]Outcome{1: Error, 3: Error, 5: Error})
	for range 15 {
		s.step(bad)
	}
	list := s.core.Ejections()
	if len(list) != 3 || len(s.out) != 2 {
		t.Fatalf("%d listed, %d ejected, want 3 and 2", len(list), len(s.out))
	}
	for i, e := range list {
		if s.out[e.Target] != (i < 2) {
			t.Errorf("entry %d, %s: ejected is %v", i, e.Target, s.out[e.Target])
		}
		if i > 0 && e.Weight > list[i-1].Weight {
			t.Errorf("entry %d has weight %v after %v", i, e.Weight, list[i-1].Weight)
		}
	}
}

// Guards against a new arbiter that returns all targets to service at once, or
// that restores more of them than the floor permits.
func TestRestoreKeepsListWithinFloor(t *testing.T) {
	s := newSim(manifest.PreferService, simTargets-1)
	s.core.RestoreEjections(s.now, []fleet.Ejection{
		{Target: simTarget(2), Weight: 3, Reason: "errors"},
		{Target: simTarget(4), Weight: 2, Reason: "slow"},
		{Target: "gone", Weight: 9},
	})
	s.collect()
	s.warm()
	if s.core.Allow(s.now, "node-0", "gone", true) != true {
		t.Error("an unlisted target is withheld")
	}
	if len(s.all) == 0 || s.all[0].Kind != Eject || len(s.out) > 1 {
		t.Fatalf("decisions %v, ejected %v", s.all, s.out)
	}
}

// Guards against orders as trial work: only idempotent requests may be sent to
// an ejected target.
func TestTrialsAreIdempotentOnly(t *testing.T) {
	s := newSim(manifest.PreferDetection, 0)
	s.warm()
	bad := badTargets(map[int]Outcome{1: Error})
	for range 8 {
		s.step(bad)
	}
	if !s.out[simTarget(1)] {
		t.Fatal("target not ejected")
	}
	later := s.now + 10*time.Second
	if s.core.Allow(later, "node-0", simTarget(1), false) {
		t.Error("an order is admitted at an ejected target")
	}
	if !s.core.Allow(later, "node-0", simTarget(1), true) {
		t.Error("no trial after the wait")
	}
}

// Guards against a target that never returns, and against a return that skips
// the trial.
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
	if s.count(Eject) != 1 || s.count(Return) != 1 || s.out[simTarget(1)] {
		t.Fatalf("decisions %v", s.all)
	}
	back := s.all[len(s.all)-1].At - ejectedAt
	if back < waitMin-time.Second {
		t.Errorf("returned after %v", back)
	}
}

// Guards against a return that admits full work while the target still fails.
func TestFailingTrialsKeepTargetOut(t *testing.T) {
	s := newSim(manifest.PreferDetection, 0)
	s.warm()
	bad := badTargets(map[int]Outcome{1: Error})
	for range 200 {
		s.step(bad)
	}
	if s.count(Return) != 0 || s.count(Relapse) < 2 {
		t.Fatalf("%d returns, %d failed trials", s.count(Return), s.count(Relapse))
	}
}

// Guards against unbounded state: requests whose end is lost are forgotten.
func TestOpenRequestsAreBounded(t *testing.T) {
	s := newSim(manifest.PreferDetection, simTargets)
	for id := range uint64(3 * maxOpen) {
		s.core.ObserveStart(0, RequestStart{ID: id, Node: "node-0", Target: simTarget(0)})
	}
	if n := len(s.core.open); n != maxOpen {
		t.Errorf("%d open requests, want %d", n, maxOpen)
	}
	s.core.Tick(openLimit + time.Second)
	if n := len(s.core.open); n != 0 {
		t.Errorf("%d open requests after the limit", n)
	}
}
