package replay

import (
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
	"hyssopbridge/health"
)

// TickInterval is the trace time between two ticks of the detector.
const TickInterval = 50 * time.Millisecond

// Detector is a failure detector that a trace can be replayed into. Nodes use
// *health.Detector.
type Detector interface {
	ObserveStart(now time.Duration, o health.RequestStart)
	ObserveEnd(now time.Duration, o health.RequestEnd)
	ObserveProbe(now time.Duration, o health.ProbeResult)
	Tick(now time.Duration)
	SetTargets(now time.Duration, t []health.Target)
	Allow(now time.Duration, node, target string, idempotent bool) bool
	Decisions() []health.Decision
}

// Run replays a trace into a health.Detector with the given preference and
// scores its decisions.
func Run(t *Trace, prefer manifest.Preference) *Score {
	detector := health.New(health.Config{Service: t.Service, Prefer: prefer, Floor: t.Floor})
	return RunWith(t, string(prefer), detector)
}

// RunWith replays a trace into the given detector. prefer is only copied into the
// score.
func RunWith(t *Trace, prefer string, detector Detector) *Score {
	r := &replayer{trace: t, detector: detector, scorer: newScorer(t, prefer), withheld: map[uint64]bool{}}
	detector.SetTargets(0, r.targets())
	for i := range t.Events {
		e := &t.Events[i]
		r.tickUntil(e.At)
		r.apply(e)
		r.collect()
	}
	r.tickUntil(t.Duration)
	return r.scorer.result()
}

type replayer struct {
	trace    *Trace
	detector Detector
	scorer   *scorer
	withheld map[uint64]bool
	nextTick time.Duration
}

func (r *replayer) targets() []health.Target {
	var out []health.Target
	for _, t := range r.trace.Targets {
		out = append(out, health.Target{ID: t.ID, Zone: t.Zone, Slots: t.Slots, State: fleet.Ready})
	}
	return out
}

func (r *replayer) tickUntil(at time.Duration) {
	for ; r.nextTick <= at; r.nextTick += TickInterval {
		r.detector.Tick(r.nextTick)
		r.collect()
	}
}

func (r *replayer) collect() {
	for _, d := range r.detector.Decisions() {
		r.scorer.onDecision(d)
	}
}

func (r *replayer) apply(e *Event) {
	switch e.Kind {
	case Start:
		r.start(e)
	case End:
		r.end(e)
	case Probe:
		r.detector.ObserveProbe(e.At, health.ProbeResult{
			Node:    r.trace.Nodes[e.Node].ID,
			Target:  r.trace.Targets[e.Target].ID,
			OK:      e.OK,
			Latency: e.Latency,
		})
	case Truth:
		r.scorer.onTruth(e)
	}
}

func (r *replayer) start(e *Event) {
	node, target := r.trace.Nodes[e.Node], r.trace.Targets[e.Target].ID
	delivered := r.detector.Allow(e.At, node.ID, target, e.Idempotent)
	r.scorer.onStart(e, delivered)
	if !delivered {
		r.withheld[e.ID] = true
		return
	}
	r.detector.ObserveStart(e.At, health.RequestStart{
		ID:         e.ID,
		Node:       node.ID,
		Zone:       node.Zone,
		Target:     target,
		Class:      e.Class,
		Idempotent: e.Idempotent,
	})
}

func (r *replayer) end(e *Event) {
	if r.withheld[e.ID] {
		delete(r.withheld, e.ID)
		return
	}
	r.detector.ObserveEnd(e.At, health.RequestEnd{ID: e.ID, Outcome: e.Outcome, Latency: e.Latency})
}
