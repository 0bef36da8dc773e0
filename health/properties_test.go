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

// sim drives a Detector with synthetic work: a step sends one request to every
// target that Allow admits.
type sim struct {
	core    *Detector
	now     time.Duration
	id      uint64
	ready   map[string]bool
	out     map[string]bool // ejected by the whole fleet
	all     []Decision
	onEvent func()
}

func newSim(prefer manifest.Preference, floor int) *sim {
	s := &sim{
		core:    New(Config{Service: "belt-desk", Prefer: prefer, Floor: floor}),
		ready:   map[string]bool{},
		out:     map[string]bool{},
		onEvent: func() {},
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
	s.core.SetTargets(s.now, list)
	s.collect()
}

func (s *sim) collect() {
	for _, d := range s.core.Decisions() {
		s.all = append(s.all, d)
		switch d.Kind {
		case Eject:
			s.out[d.Target] = true
		case Return, Reduce:
			delete(s.out, d.Target)
		}
	}
	s.onEvent()
}

// step sends a request to every target; answer gives outcome and latency.
func (s *sim) step(answer func(target, node int) (Outcome, time.Duration)) {
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
		if !s.core.Allow(s.now, node, simTarget(i), true) {
			continue
		}
		s.core.ObserveStart(s.now, RequestStart{
			ID:         s.id,
			Node:       node,
			Zone:       fmt.Sprintf("z%d", n%simZones),
			Target:     simTarget(i),
			Class:      fleet.Interactive,
			Idempotent: true,
		})
		o, d := answer(i, n)
		open = append(open, sent{s.id, o, d})
	}
	for _, r := range open {
		s.core.ObserveEnd(s.now+50*time.Millisecond, RequestEnd{ID: r.id, Outcome: r.outcome, Latency: r.latency})
		s.collect()
	}
	s.now += 100 * time.Millisecond
	s.core.Tick(s.now)
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
	for _, d := range s.all {
		if d.Kind == k {
			n++
		}
	}
	return n
}

// drawAnswer makes each target bad in its own way for a while.
func drawAnswer(t *rapid.T) func(i, n int) (Outcome, time.Duration) {
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

// Guards against ejection below the floor, including when targets leave while
// others are ejected. The floor must also have been reached in some run, or the
// property would hold without any ejection.
func TestFloorHoldsUnderArbitraryEvidence(t *testing.T) {
	atFloor := 0
	rapid.Check(t, func(t *rapid.T) {
		floor := rapid.IntRange(0, simTargets).Draw(t, "floor")
		s := newSim(manifest.PreferDetection, floor)
		s.warm()
		s.onEvent = func() {
			serving, out := 0, 0
			for id, ready := range s.ready {
				if ready && !s.out[id] {
					serving++
				}
				if s.out[id] {
					out++
				}
			}
			if out > 0 && serving < floor {
				t.Fatalf("at %v: %d ejected, %d in service, floor %d", s.now, out, serving, floor)
			}
			if out > 0 && serving == floor {
				atFloor++
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			answer := drawAnswer(t)
			for range 25 {
				s.step(answer)
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

// Guards against dependence on map order or on state outside the Detector.
func TestSameCallsGiveSameDecisions(t *testing.T) {
	decisions := 0
	rapid.Check(t, func(t *rapid.T) {
		answer := drawAnswer(t)
		states := drawStates(t)
		run := func() (*sim, []fleet.Ejection) {
			s := newSim(manifest.PreferDetection, 4)
			s.warm()
			for range 30 {
				s.step(answer)
			}
			list := s.core.Ejections()
			s.announce(states)
			return s, list
		}
		a, listA := run()
		b, listB := run()
		decisions += len(a.all)
		if !reflect.DeepEqual(a.all, b.all) || !reflect.DeepEqual(listA, listB) {
			t.Fatalf("decisions differ:\n%v\n%v", a.all, b.all)
		}
	})
	if decisions == 0 {
		t.Fatal("no decision in any run")
	}
}

// Guards against probes that eject a target or hide its failing work: any
// sequence of probes leaves the decisions as they are without probes.
func TestProbesChangeNoDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		answer := drawAnswer(t)
		probes := rapid.SliceOfN(rapid.Bool(), 40, 40).Draw(t, "probes")
		run := func(withProbes bool) []Decision {
			s := newSim(manifest.PreferDetection, 4)
			s.warm()
			for _, ok := range probes {
				if withProbes {
					for i := range simTargets {
						s.core.ObserveProbe(s.now, ProbeResult{Node: "node-0", Target: simTarget(i), OK: ok})
					}
				}
				s.step(answer)
			}
			for i := range s.all {
				s.all[i].Evidence.FailedProbes = 0
			}
			return s.all
		}
		if with, without := run(true), run(false); !reflect.DeepEqual(with, without) {
			t.Fatalf("with probes %v, without %v", with, without)
		}
	})
}

// Guards against ejecting a target for answers that shed load. The backoff must
// have shown as withheld work, or shed answers were not seen at all.
func TestShedNeverEjects(t *testing.T) {
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
			backedOff = backedOff || !s.core.Allow(s.now, "node-0", simTarget(0), true)
		}
		if n := s.count(Eject) + s.count(Reduce); n > 0 {
			t.Fatalf("%d targets condemned: %v", n, s.all)
		}
	})
	if !backedOff {
		t.Fatal("shed answers caused no backoff")
	}
}
