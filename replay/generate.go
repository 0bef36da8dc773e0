package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/health"
)

// Params describes a generated trace. Zero values take the defaults of section
// 1.2 of the design page: 20 targets, 12 nodes, 4 zones, 10 requests/s per
// target, 60 s and a floor of 14.
type Params struct {
	Scenario string // one of Scenarios
	Seed     uint64
	Targets  int
	Nodes    int
	Zones    int
	Floor    int
	Rate     float64 // requests/s per target
	Duration time.Duration
}

func (p Params) withDefaults() Params {
	set := func(v *int, defaultValue int) {
		if *v == 0 {
			*v = defaultValue
		}
	}
	set(&p.Targets, 20)
	set(&p.Nodes, 12)
	set(&p.Zones, 4)
	set(&p.Floor, 14)
	if p.Rate == 0 {
		p.Rate = 10
	}
	if p.Duration == 0 {
		p.Duration = time.Minute
	}
	return p
}

const (
	medianMS       = 40.0
	downloadFactor = 6.0  // duration of a download relative to other requests
	logSigma       = 0.35 // standard deviation of the logarithm of the latency
	timeoutMS      = 1000.0
	probeMS        = 25.0
	probeEvery     = 100 * time.Millisecond
	probeLoss      = 0.005 // share of probes of a healthy target that fail
)

// request holds the properties of a request that a scenario may change.
type request struct {
	at      time.Duration
	target  int
	node    int
	class   fleet.Class
	outcome health.Outcome
	ms      float64
	drop    bool // the request is left out of the trace
}

type generator struct {
	p      Params
	rng    *rand.Rand
	trace  *Trace
	effect func(g *generator, r *request)
	probe  func(at time.Duration, target int) bool // false: the probe fails
}

// Generate returns the trace of a scenario. The same parameters give the same
// trace.
func Generate(p Params) (*Trace, error) {
	p = p.withDefaults()
	setup, ok := scenarios[p.Scenario]
	if !ok {
		return nil, fmt.Errorf("unknown scenario %q", p.Scenario)
	}
	g := &generator{p: p, rng: rand.New(rand.NewPCG(p.Seed, 0x6879_7373_6f70))}
	g.trace = g.newTrace()
	g.effect = func(*generator, *request) {}
	for i := range g.trace.Targets {
		g.addTruth(0, i, Healthy)
	}
	setup(g)
	g.addRequests()
	g.addProbes()
	sort.SliceStable(g.trace.Events, func(i, j int) bool { return g.trace.Events[i].At < g.trace.Events[j].At })
	return g.trace, nil
}

func (g *generator) newTrace() *Trace {
	t := &Trace{
		File:     fmt.Sprintf("%s-%d", g.p.Scenario, g.p.Seed),
		Service:  "generated",
		Floor:    g.p.Floor,
		Duration: g.p.Duration,
	}
	for i := range g.p.Targets {
		t.Targets = append(t.Targets, TargetInfo{ID: fmt.Sprintf("target-%02d", i), Zone: g.zone(i), Slots: 5})
	}
	for i := range g.p.Nodes {
		t.Nodes = append(t.Nodes, NodeInfo{ID: fmt.Sprintf("node-%02d", i), Zone: g.zone(i)})
	}
	return t
}

func (g *generator) zone(i int) string { return fmt.Sprintf("zone-%d", i%g.p.Zones) }

func (g *generator) addTruth(at time.Duration, target int, s State) {
	g.trace.Events = append(g.trace.Events, Event{Kind: Truth, At: at, Target: int32(target), State: s})
}

// addRequests adds requests with Poisson arrivals until the end of the trace.
func (g *generator) addRequests() {
	rate := g.p.Rate * float64(g.p.Targets)
	at := time.Duration(0)
	for id := uint64(1); ; id++ {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= g.p.Duration {
			return
		}
		g.addRequest(id, at.Truncate(time.Microsecond))
	}
}

func (g *generator) addRequest(id uint64, at time.Duration) {
	r := &request{
		at:     at,
		target: g.rng.IntN(g.p.Targets),
		node:   g.rng.IntN(g.p.Nodes),
		class:  g.class(),
		ms:     medianMS * math.Exp(logSigma*g.rng.NormFloat64()),
	}
	if r.class == fleet.Download {
		r.ms *= downloadFactor
	}
	g.effect(g, r)
	if r.drop {
		return
	}
	latency := time.Duration(r.ms * float64(time.Millisecond)).Truncate(time.Microsecond)
	g.trace.Events = append(g.trace.Events,
		Event{
			Kind:       Start,
			At:         at,
			ID:         id,
			Target:     int32(r.target),
			Node:       int32(r.node),
			Class:      r.class,
			Idempotent: r.class != fleet.Order,
		},
		Event{Kind: End, At: at + latency, ID: id, Outcome: r.outcome, Latency: latency})
}

// class draws a class: 70% interactive, 15% order, 10% download, 5%
// background.
func (g *generator) class() fleet.Class {
	u := g.rng.Float64()
	switch {
	case u < 0.70:
		return fleet.Interactive
	case u < 0.85:
		return fleet.Order
	case u < 0.95:
		return fleet.Download
	default:
		return fleet.Background
	}
}

func (g *generator) addProbes() {
	for at := probeEvery; at < g.p.Duration; at += probeEvery {
		target := g.rng.IntN(g.p.Targets)
		ok := g.rng.Float64() >= probeLoss
		if g.probe != nil {
			ok = ok && g.probe(at, target)
		}
		g.trace.Events = append(g.trace.Events, Event{
			Kind:    Probe,
			At:      at,
			Target:  int32(target),
			Node:    int32(g.rng.IntN(g.p.Nodes)),
			OK:      ok,
			Latency: fromMillis(probeMS),
		})
	}
}
