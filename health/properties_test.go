package health

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
)

const (
	simTargets = 8
	simNodes   = 6
	simZones   = 3
)

// sim drives a Detector with simulated requests: a step sends one to every
// target that Allow admits.
type sim struct {
	detector  *Detector
	now       time.Duration
	id        uint64
	ready     map[string]bool
	ejected   map[string]bool // withheld by all entry nodes
	decisions []Decision
	onEvent   func()
}

func newSim(prefer manifest.Preference, floor int) *sim {
	s := &sim{
		detector: New(Config{Service: "belt-desk", Prefer: prefer, Floor: floor}),
		ready:    map[string]bool{},
		ejected:  map[string]bool{},
		onEvent:  func() {},
	}
	s.announce(func(int) fleet.InstanceState { return fleet.Ready })
	return s
}

func simTarget(i int) string { return fmt.Sprintf("target-%d", i) }

func (s *sim) announce(state func(int) fleet.InstanceState) {
	var list []Target
	for i := range simTargets {
		list = append(list, Target{ID: simTarget(i), Zone: "z0", Slots: 5, State: state(i)})
		s.ready[simTarget(i)] = state(i) == fleet.Ready
	}
	s.detector.SetTargets(s.now, list)
	s.collect()
}

func (s *sim) collect() {
	for _, d := range s.detector.Decisions() {
		s.decisions = append(s.decisions, d)
		switch d.Kind {
		case Eject:
			s.ejected[d.Target] = true
		case Return, Reduce:
			delete(s.ejected, d.Target)
		}
	}
	s.onEvent()
}

// step sends a request to every target; respond returns its outcome and latency.
func (s *sim) step(respond func(target, node int) (Outcome, time.Duration)) {
	type sent struct {
		id      uint64
		outcome Outcome
		latency time.Duration
	}
	var open []sent
	for i := range simTargets {
		s.id++
		n := int(s.id*7+uint64(i)) % simNodes
		node := fmt.Sprintf("node-%d", n)
		if !s.detector.Allow(s.now, node, simTarget(i), true) {
			continue
		}
		s.detector.ObserveStart(s.now, RequestStart{
			ID:         s.id,
			Node:       node,
			Zone:       fmt.Sprintf("z%d", n%simZones),
			Target:     simTarget(i),
			Class:      fleet.Interactive,
			Idempotent: true,
		})
		o, d := respond(i, n)
		open = append(open, sent{s.id, o, d})
	}
	for _, r := range open {
		s.detector.ObserveEnd(s.now+50*time.Millisecond, RequestEnd{ID: r.id, Outcome: r.outcome, Latency: r.latency})
		s.collect()
	}
	s.now += 100 * time.Millisecond
	s.detector.Tick(s.now)
	s.collect()
}

func normal(i, n int) (Outcome, time.Duration) {
	return OK, time.Duration(30+(i*5+n*11)%20) * time.Millisecond
}

func (s *sim) warm() {
	for range 100 {
		s.step(normal)
	}
}

func (s *sim) count(k Kind) int {
	n := 0
	for _, d := range s.decisions {
		if d.Kind == k {
			n++
		}
	}
	return n
}

// drawResponse draws a failure mode for each target.
func drawResponse(t *rapid.T) func(i, n int) (Outcome, time.Duration) {
	modes := rapid.SliceOfN(rapid.IntRange(0, 6), simTargets, simTargets).Draw(t, "modes")
	return func(i, n int) (Outcome, time.Duration) {
		o, d := normal(i, n)
		switch modes[i] {
		case 1:
			return o, 10 * d
		case 2:
			return Error, d
		case 3:
			return Truncated, d
		case 4:
			return Timeout, time.Second
		case 5:
			return Shed, d
		default:
			return o, d
		}
	}
}

func drawStates(t *rapid.T) func(int) fleet.InstanceState {
	states := rapid.SliceOfN(rapid.SampledFrom([]fleet.InstanceState{
		fleet.Ready, fleet.Ready, fleet.Ready, fleet.Cold, fleet.Draining,
	}), simTargets, simTargets).Draw(t, "states")
	return func(i int) fleet.InstanceState { return states[i] }
}

// Ejection must never leave fewer targets in service than the floor, even if
// targets are drained while others are ejected. At least one run must reach the
// floor, because the property holds trivially without any ejection.
func TestFloorHoldsUnderArbitraryOutcomes(t *testing.T) {
	atFloor := 0
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.IntRange(0, simTargets).Draw(t, "floor")
		s := newSim(manifest.PreferDetection, floor)
		s.warm()
		s.onEvent = func() {
			serving, ejected := 0, 0
			for id, ready := range s.ready {
				if ready && !s.ejected[id] {
					serving++
				}
				if s.ejected[id] {
					ejected++
				}
			}
			if ejected > 0 && serving < floor {
				t.Fatalf("at %v: %d ejected, %d in service, floor %d", s.now, ejected, serving, floor)
			}
			if ejected > 0 && serving == floor {
				atFloor++
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			respond := drawResponse(t)
			for range 25 {
				s.step(respond)
			}
			if rapid.Bool().Draw(t, "announce") {
				s.announce(drawStates(t))
			}
		}
	})
	if atFloor == 0 {
		t.Fatal("no run reached the floor")
	}
}

// Decisions must not depend on map order or on state outside the Detector.
func TestDetectorIsDeterministic(t *testing.T) {
	decisions := 0
	rapid.Check(t, func(t *rapid.T) {
		respond := drawResponse(t)
		states := drawStates(t)
		run := func() (*sim, []fleet.Ejection) {
			s := newSim(manifest.PreferDetection, 4)
			s.warm()
			for range 30 {
				s.step(respond)
			}
			list := s.detector.Ejections()
			s.announce(states)
			return s, list
		}
		a, listA := run()
		b, listB := run()
		decisions += len(a.decisions)
		if !reflect.DeepEqual(a.decisions, b.decisions) || !reflect.DeepEqual(listA, listB) {
			t.Fatalf("decisions differ:\n%v\n%v", a.decisions, b.decisions)
		}
	})
	if decisions == 0 {
		t.Fatal("no run made a decision")
	}
}

// Probes must neither eject a target nor hide its failing requests: decisions
// are the same with any sequence of probes as without them.
func TestProbesDoNotAffectDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		respond := drawResponse(t)
		probes := rapid.SliceOfN(rapid.Bool(), 40, 40).Draw(t, "probes")
		run := func(withProbes bool) []Decision {
			s := newSim(manifest.PreferDetection, 4)
			s.warm()
			for _, ok := range probes {
				if withProbes {
					for i := range simTargets {
						s.detector.ObserveProbe(s.now, ProbeResult{Node: "node-0", Target: simTarget(i), OK: ok})
					}
				}
				s.step(respond)
			}
			for i := range s.decisions {
				s.decisions[i].Evidence.FailedProbes = 0
			}
			return s.decisions
		}
		if with, without := run(true), run(false); !reflect.DeepEqual(with, without) {
			t.Fatalf("decisions with probes %v, without %v", with, without)
		}
	})
}

// Responses that shed load must not eject a target. They must cause a backoff in
// at least one run, or they were not observed at all.
func TestShedResponsesNeverEject(t *testing.T) {
	backedOff := false
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(manifest.PreferDetection, 0)
		s.warm()
		share := rapid.IntRange(1, 10).Draw(t, "tenths")
		k := 0
		for range 100 {
			s.step(func(i, n int) (Outcome, time.Duration) {
				k++
				if i < 2 && k%10 < share {
					return Shed, time.Millisecond
				}
				return normal(i, n)
			})
			backedOff = backedOff || !s.detector.Allow(s.now, "node-0", simTarget(0), true)
		}
		if n := s.count(Eject) + s.count(Reduce); n > 0 {
			t.Fatalf("%d targets marked unhealthy: %v", n, s.decisions)
		}
	})
	if !backedOff {
		t.Fatal("responses that shed load caused no backoff")
	}
}
