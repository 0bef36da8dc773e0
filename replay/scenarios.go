package replay

import (
	"math"
	"sort"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/health"
)

// Shape of the generated faults.
const (
	sickLength    = 15 * time.Second
	flapBad       = 3 * time.Second
	flapPeriods   = 5
	coldLength    = 8 * time.Second
	coldSlowdown  = 6.0
	idleLength    = 8 * time.Second
	releaseGap    = 2 * time.Second
	correlated    = 9
	noisySlow     = 0.04  // share of slow requests
	noisyErrors   = 0.004 // share of failed requests
	overloadSlow  = 6.0
	serviceSlow   = 4.0
	shedShare     = 0.5
	badRouteShare = 0.9
)

var scenarios = map[string]func(*generator){
	"healthy":    func(*generator) {},
	"noisy":      func(g *generator) { g.effect = noisy },
	"failed":     one(Failed, failed),
	"refused":    one(Failed, refused),
	"slow8":      one(Gray, slow(8)),
	"slow3":      one(Gray, slow(3)),
	"errors60":   one(Gray, spoiled(0.6, health.Error)),
	"truncate40": one(Gray, spoiled(0.4, health.Truncated)),
	"stall15":    one(Gray, stalled(0.15)),
	"flapping":   flapping,
	"oneway":     oneWay,
	"cold":       coldStart,
	"idle":       idleRestart,
	"release":    release,
	"correlated": correlatedSlow,
	"service":    slowService,
	"observer":   overloadedObserver,
	"shed":       shedding,
	"badroute":   badRoute,
	"noisyslow8": noisySlow8,
}

// Scenarios returns the names that Generate knows, sorted.
func Scenarios() []string {
	var out []string
	for name := range scenarios {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

type effect func(*generator, *request)

// onset draws when a fault begins: between a quarter and two fifths of the trace.
func (g *generator) onset() time.Duration {
	share := 0.25 + 0.15*g.rng.Float64()
	return time.Duration(share * float64(g.p.Duration)).Truncate(time.Microsecond)
}

func (r *request) within(from, length time.Duration) bool {
	return r.at >= from && r.at < from+length
}

// one applies an effect to one target for a while.
func one(s State, f effect) func(*generator) {
	return func(g *generator) {
		from, target := g.onset(), g.rng.IntN(g.p.Targets)
		g.truth(from, target, s)
		g.truth(from+sickLength, target, Healthy)
		g.effect = func(g *generator, r *request) {
			if r.target == target && r.within(from, sickLength) {
				f(g, r)
			}
		}
		if s == Failed {
			g.probe = func(at time.Duration, t int) bool {
				return t != target || at < from || at >= from+sickLength
			}
		}
	}
}

func slow(factor float64) effect {
	return func(_ *generator, r *request) { r.ms *= factor }
}

func failed(_ *generator, r *request) { r.outcome, r.ms = health.Timeout, timeoutMS }

func refused(_ *generator, r *request) { r.outcome, r.ms = health.Error, 1 }

func spoiled(share float64, o health.Outcome) effect {
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
			failed(g, r)
		}
	}
}

// noisy has slow and failed requests at all targets alike.
func noisy(g *generator, r *request) {
	if g.rng.Float64() < noisySlow {
		r.ms *= 3 + 7*g.rng.Float64()
	}
	if g.rng.Float64() < noisyErrors {
		r.outcome = health.Error
	}
}

func noisySlow8(g *generator) {
	one(Gray, slow(8))(g)
	gray := g.effect
	g.effect = func(g *generator, r *request) {
		noisy(g, r)
		gray(g, r)
	}
}

func flapping(g *generator) {
	from, target := g.onset(), g.rng.IntN(g.p.Targets)
	var starts []time.Duration
	for range flapPeriods {
		g.truth(from, target, Gray)
		g.truth(from+flapBad, target, Healthy)
		starts = append(starts, from)
		good := 3*time.Second + time.Duration(1.5*g.rng.Float64()*float64(time.Second))
		from += flapBad + good.Truncate(time.Microsecond)
	}
	g.effect = func(_ *generator, r *request) {
		for _, s := range starts {
			if r.target == target && r.within(s, flapBad) {
				r.ms *= 8
			}
		}
	}
}

// oneWay loses requests from one zone's nodes to another zone's targets.
func oneWay(g *generator) {
	from, source := g.onset(), g.rng.IntN(g.p.Zones)
	dest := (source + 1 + g.rng.IntN(g.p.Zones-1)) % g.p.Zones
	g.effect = func(g *generator, r *request) {
		if r.node%g.p.Zones == source && r.target%g.p.Zones == dest && r.within(from, sickLength) {
			failed(g, r)
		}
	}
}

// coldStart has one target without any work until it starts, slow at first.
func coldStart(g *generator) {
	startAt(g, g.onset(), func(r *request, from time.Duration) bool { return r.at < from })
}

// idleRestart has one target that works, is idle for a while and starts anew.
func idleRestart(g *generator) {
	startAt(g, g.onset(), func(r *request, from time.Duration) bool { return r.within(from-idleLength, idleLength) })
}

func startAt(g *generator, from time.Duration, silent func(*request, time.Duration) bool) {
	startTarget(g, g.rng.IntN(g.p.Targets), from, silent)
}

// startTarget has one target that starts cold and drops the requests that are
// silent for it.
func startTarget(g *generator, target int, from time.Duration, silent func(*request, time.Duration) bool) {
	g.truth(from, target, Starting)
	g.truth(from+coldLength, target, Healthy)
	g.effect = func(_ *generator, r *request) {
		if r.target != target {
			return
		}
		r.drop = r.drop || silent(r, from)
		if r.within(from, coldLength) {
			left := 1 - float64(r.at-from)/float64(coldLength)
			r.ms *= math.Pow(coldSlowdown, left)
		}
	}
}

// release replaces a third of the targets one after the other; each starts cold.
func release(g *generator) {
	from, first := g.onset(), g.rng.IntN(g.p.Targets)
	effects := make([]func(*generator, *request), max(1, g.p.Targets/3))
	for i := range effects {
		at := from + time.Duration(i)*releaseGap
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
	from := g.onset()
	sick := map[int]bool{}
	for _, target := range g.rng.Perm(g.p.Targets)[:correlated] {
		sick[target] = true
		g.truth(from, target, Gray)
		g.truth(from+sickLength, target, Healthy)
	}
	g.effect = func(_ *generator, r *request) {
		if sick[r.target] && r.within(from, sickLength) {
			r.ms *= 8
		}
	}
}

func slowService(g *generator) {
	from := g.onset()
	g.effect = func(_ *generator, r *request) {
		if r.within(from, sickLength) {
			r.ms *= serviceSlow
		}
	}
}

func overloadedObserver(g *generator) {
	from, node := g.onset(), g.rng.IntN(g.p.Nodes)
	g.effect = func(_ *generator, r *request) {
		if r.node == node && r.within(from, sickLength) {
			r.ms *= overloadSlow
		}
	}
}

func shedding(g *generator) {
	from, target := g.onset(), g.rng.IntN(g.p.Targets)
	g.effect = func(g *generator, r *request) {
		if r.target == target && r.within(from, sickLength) && g.rng.Float64() < shedShare {
			r.outcome, r.ms = health.Shed, 2
		}
	}
}

func badRoute(g *generator) {
	from := g.onset()
	g.effect = func(g *generator, r *request) {
		if r.class == fleet.Background && r.within(from, sickLength) && g.rng.Float64() < badRouteShare {
			r.outcome = health.Error
		}
	}
}
