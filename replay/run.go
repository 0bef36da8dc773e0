package replay

import (
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
	"hyssopbridge/health"
)

// TickInterval is the trace time between two ticks of the core.
const TickInterval = 50 * time.Millisecond

// Detector is a failure detector under test; nodes use *health.Detector.
type Detector interface {
	ObserveStart(now time.Duration, o health.RequestStart)
	ObserveEnd(now time.Duration, o health.RequestEnd)
	ObserveProbe(now time.Duration, o health.ProbeResult)
	Tick(now time.Duration)
	SetTargets(now time.Duration, t []health.Target)
	Allow(now time.Duration, node, target string, idempotent bool) bool
	Decisions() []health.Decision
}

// Run replays a trace with the core of the preference and scores it.
func Run(t *Trace, prefer manifest.Preference) *Score {
	core := health.New(health.Config{Service: t.Service, Prefer: prefer, Floor: t.Floor})
	return RunWith(t, string(prefer), core)
}

// RunWith replays a trace with the given core. The preference is only reported.
func RunWith(t *Trace, prefer string, core Detector) *Score {
	l := &loop{trace: t, core: core, scorer: newScorer(t, prefer), withheld: map[uint64]bool{}}
	core.SetTargets(0, l.targets())
	for i := range t.Events {
		e := &t.Events[i]
		l.ticksUntil(e.At)
		l.step(e)
		l.collect()
	}
	l.ticksUntil(t.Duration)
	return l.scorer.finish()
}

type loop struct {
	trace    *Trace
	core     Detector
	scorer   *scorer
	withheld map[uint64]bool
	tick     time.Duration
}

func (l *loop) targets() []health.Target {
	var out []health.Target
	for _, t := range l.trace.Targets {
		out = append(out, health.Target{ID: t.ID, Zone: t.Zone, Slots: t.Slots, State: fleet.Ready})
	}
	return out
}

func (l *loop) ticksUntil(at time.Duration) {
	for ; l.tick <= at; l.tick += TickInterval {
		l.core.Tick(l.tick)
		l.collect()
	}
}

func (l *loop) collect() {
	for _, d := range l.core.Decisions() {
		l.scorer.onDecision(d)
	}
}

func (l *loop) step(e *Event) {
	switch e.Kind {
	case Start:
		l.start(e)
	case End:
		l.end(e)
	case Probe:
		l.core.ObserveProbe(e.At, health.ProbeResult{
			Node:    l.trace.Nodes[e.Node].ID,
			Target:  l.trace.Targets[e.Target].ID,
			OK:      e.OK,
			Latency: e.Latency,
		})
	case Truth:
		l.scorer.onTruth(e)
	}
}

func (l *loop) start(e *Event) {
	node, target := l.trace.Nodes[e.Node], l.trace.Targets[e.Target].ID
	delivered := l.core.Allow(e.At, node.ID, target, e.Idempotent)
	l.scorer.onStart(e, delivered)
	if !delivered {
		l.withheld[e.ID] = true
		return
	}
	l.core.ObserveStart(e.At, health.RequestStart{
		ID:         e.ID,
		Node:       node.ID,
		Zone:       node.Zone,
		Target:     target,
		Class:      e.Class,
		Idempotent: e.Idempotent,
	})
}

func (l *loop) end(e *Event) {
	if l.withheld[e.ID] {
		delete(l.withheld, e.ID)
		return
	}
	l.core.ObserveEnd(e.At, health.RequestEnd{ID: e.ID, Outcome: e.Outcome, Latency: e.Latency})
}
