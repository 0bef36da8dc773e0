package replay

import (
	"math"
	"sort"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/health"
)

// Parameters of the generated faults.
const (
	faultDuration     = 15 * time.Second
	flapFaultDuration = 3 * time.Second
	flapPeriods       = 5
	coldDuration      = 8 * time.Second
	coldSlowdown      = 6.0 // latency of the first request of a cold start relative to normal
	idleDuration      = 8 * time.Second
	releaseInterval   = 2 * time.Second
	correlatedTargets = 9     // slow at the same time
	noisySlowShare    = 0.04  // share of requests that are slow
	noisyErrorShare   = 0.004 // share of requests that fail
	overloadSlowdown  = 6.0
	serviceSlowdown   = 4.0
	shedShare         = 0.5
	badRouteShare     = 0.9
)

var scenarios = map[string]func(*generator){
	"healthy":    func(*generator) {},
	"noisy":      func(g *generator) { g.effect = noisy },
	"failed":     singleTarget(Failed, timedOut),
	"refused":    singleTarget(Failed, refused),
	"slow8":      singleTarget(Gray, slow(8)),
	"slow3":      singleTarget(Gray, slow(3)),
	"errors60":   singleTarget(Gray, withOutcome(0.6, health.Error)),
	"truncate40": singleTarget(Gray, withOutcome(0.4, health.Truncated)),
	"stall15":    singleTarget(Gray, stalled(0.15)),
	"flapping":   flapping,
	"oneway":     oneWay,
	"cold":       coldStart,
	"idle":       idleRestart,
	"release":    release,
	"correlated": correlatedSlow,
	"service":    slowService,
	"observer":   overloadedNode,
	"shed":       shedding,
	"badroute":   badRoute,
	"noisyslow8": noisySlow8,
}

// Scenarios returns the sorted names of all scenarios.
func Scenarios() []string {
	var out []string
	for name := range scenarios {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

type effect func(*generator, *request)

// faultStart draws the start of a fault between 25% and 40% of the trace.
func (g *generator) faultStart() time.Duration {
	share := 0.25 + 0.15*g.rng.Float64()
	return time.Duration(share * float64(g.p.Duration)).Truncate(time.Microsecond)
}

func (r *request) within(from, length time.Duration) bool {
	return r.at >= from && r.at < from+length
}

// singleTarget applies an effect to one target for faultDuration.
func singleTarget(s State, f effect) func(*generator) {
	return func(g *generator) {
		from, target := g.faultStart(), g.rng.IntN(g.p.Targets)
		g.addTruth(from, target, s)
		g.addTruth(from+faultDuration, target, Healthy)
		g.effect = func(g *generator, r *request) {
			if r.target == target && r.within(from, faultDuration) {
				f(g, r)
			}
		}
		if s == Failed {
			g.probe = func(at time.Duration, t int) bool {
				return t != target || at < from || at >= from+faultDuration
			}
		}
	}
}

func slow(factor float64) effect {
	return func(_ *generator, r *request) { r.ms *= factor }
}

func timedOut(_ *generator, r *request) { r.outcome, r.ms = health.Timeout, timeoutMS }

func refused(_ *generator, r *request) { r.outcome, r.ms = health.Error, 1 }

func withOutcome(share float64, o health.Outcome) effect {
	return func(g *generator, r *request) {
		if g.rng.Float64() < share {
			r.outcome = o
			r.ms *= g.rng.Float64()
		}
	}
}

func stalled(share float64) effect {
	return func(g *generator, r *request) {
		if g.rng.Float64() < share {
			timedOut(g, r)
		}
	}
}

// noisy makes a small share of requests to all targets slow or fail.
func noisy(g *generator, r *request) {
	if g.rng.Float64() < noisySlowShare {
		r.ms *= 3 + 7*g.rng.Float64()
	}
	if g.rng.Float64() < noisyErrorShare {
		r.outcome = health.Error
	}
}

func noisySlow8(g *generator) {
	singleTarget(Gray, slow(8))(g)
	gray := g.effect
	g.effect = func(g *generator, r *request) {
		noisy(g, r)
		gray(g, r)
	}
}

func flapping(g *generator) {
	from, target := g.faultStart(), g.rng.IntN(g.p.Targets)
	var starts []time.Duration
	for range flapPeriods {
		g.addTruth(from, target, Gray)
		g.addTruth(from+flapFaultDuration, target, Healthy)
		starts = append(starts, from)
		good := 3*time.Second + time.Duration(1.5*g.rng.Float64()*float64(time.Second))
		from += flapFaultDuration + good.Truncate(time.Microsecond)
	}
	g.effect = func(_ *generator, r *request) {
		for _, s := range starts {
			if r.target == target && r.within(s, flapFaultDuration) {
				r.ms *= 8
			}
		}
	}
}

// oneWay loses the requests from one zone's nodes to another zone's targets.
func oneWay(g *generator) {
	from, source := g.faultStart(), g.rng.IntN(g.p.Zones)
	dest := (source + 1 + g.rng.IntN(g.p.Zones-1)) % g.p.Zones
	g.effect = func(g *generator, r *request) {
		if r.node%g.p.Zones == source && r.target%g.p.Zones == dest && r.within(from, faultDuration) {
			timedOut(g, r)
		}
	}
}

// coldStart starts one target during the trace. It gets no requests before and
// is slow at first.
func coldStart(g *generator) {
	startRandomTarget(g, g.faultStart(), func(r *request, from time.Duration) bool { return r.at < from })
}

// idleRestart starts one target cold after it was in use and then idle for a
// while.
func idleRestart(g *generator) {
	startRandomTarget(g, g.faultStart(), func(r *request, from time.Duration) bool { return r.within(from-idleDuration, idleDuration) })
}

func startRandomTarget(g *generator, from time.Duration, noTraffic func(*request, time.Duration) bool) {
	startTarget(g, g.rng.IntN(g.p.Targets), from, noTraffic)
}

// startTarget starts a target cold and drops the requests for which noTraffic
// holds.
func startTarget(g *generator, target int, from time.Duration, noTraffic func(*request, time.Duration) bool) {
	g.addTruth(from, target, Starting)
	g.addTruth(from+coldDuration, target, Healthy)
	g.effect = func(_ *generator, r *request) {
		if r.target != target {
			return
		}
		r.drop = r.drop || noTraffic(r, from)
		if r.within(from, coldDuration) {
			left := 1 - float64(r.at-from)/float64(coldDuration)
			r.ms *= math.Pow(coldSlowdown, left)
		}
	}
}

// release replaces a third of the targets one after the other. Each starts
// cold.
func release(g *generator) {
	from, first := g.faultStart(), g.rng.IntN(g.p.Targets)
	effects := make([]func(*generator, *request), max(1, g.p.Targets/3))
	for i := range effects {
		at := from + time.Duration(i)*releaseInterval
		startTarget(g, (first+i)%g.p.Targets, at, func(r *request, from time.Duration) bool { return r.at < from })
		effects[i] = g.effect
	}
	g.effect = func(g *generator, r *request) {
		for _, e := range effects {
			e(g, r)
		}
	}
}

func correlatedSlow(g *generator) {
	from := g.faultStart()
	unhealthy := map[int]bool{}
	for _, target := range g.rng.Perm(g.p.Targets)[:correlatedTargets] {
		unhealthy[target] = true
		g.addTruth(from, target, Gray)
		g.addTruth(from+faultDuration, target, Healthy)
	}
	g.effect = func(_ *generator, r *request) {
		if unhealthy[r.target] && r.within(from, faultDuration) {
			r.ms *= 8
		}
	}
}

func slowService(g *generator) {
	from := g.faultStart()
	g.effect = func(_ *generator, r *request) {
		if r.within(from, faultDuration) {
			r.ms *= serviceSlowdown
		}
	}
}

func overloadedNode(g *generator) {
	from, node := g.faultStart(), g.rng.IntN(g.p.Nodes)
	g.effect = func(_ *generator, r *request) {
		if r.node == node && r.within(from, faultDuration) {
			r.ms *= overloadSlowdown
		}
	}
}

func shedding(g *generator) {
	from, target := g.faultStart(), g.rng.IntN(g.p.Targets)
	g.effect = func(g *generator, r *request) {
		if r.target == target && r.within(from, faultDuration) && g.rng.Float64() < shedShare {
			r.outcome, r.ms = health.Shed, 2
		}
	}
}

func badRoute(g *generator) {
	from := g.faultStart()
	g.effect = func(g *generator, r *request) {
		if r.class == fleet.Background && r.within(from, faultDuration) && g.rng.Float64() < badRouteShare {
			r.outcome = health.Error
		}
	}
}
