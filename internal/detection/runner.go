package main

import (
	"slices"
	"sync"
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/health"
	"hyssopbridge/replay"
)

// runner replays traces on a bounded number of goroutines.
type runner struct{ workers int }

// newCore makes the core under measurement for a trace.
type newCore func(t *replay.Trace) replay.Decider

func preferred(p manifest.Preference) newCore {
	return func(t *replay.Trace) replay.Decider {
		return health.New(health.Config{Service: t.Service, Prefer: p, Floor: t.Floor})
	}
}

func tuned(tuning health.Tuning) newCore {
	return func(t *replay.Trace) replay.Decider {
		return health.NewTuned(health.Config{Service: t.Service, Floor: t.Floor}, tuning)
	}
}

func sum(threshold float64) newCore {
	return func(*replay.Trace) replay.Decider { return newSumCore(threshold) }
}

// replayAll scores one trace per parameter set, in order.
func (r runner) replayAll(params []replay.Params, name string, core newCore) []*replay.Score {
	scores := make([]*replay.Score, len(params))
	next := make(chan int)
	var wg sync.WaitGroup
	for range r.workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range next {
				scores[i] = replayOne(params[i], name, core)
			}
		}()
	}
	for i := range params {
		next <- i
	}
	close(next)
	wg.Wait()
	return scores
}

func replayOne(p replay.Params, name string, core newCore) *replay.Score {
	t, err := replay.Generate(p)
	if err != nil {
		panic(err) // scenario names are constants of this program
	}
	return replay.RunWith(t, name, core(t))
}

func seedsOf(scenario string, n int) []replay.Params {
	var out []replay.Params
	for seed := range n {
		out = append(out, replay.Params{Scenario: scenario, Seed: uint64(seed + 1)})
	}
	return out
}

const (
	quietLength  = 10 * time.Minute
	quietTargets = 20
	quietSeed    = 1000 // first seed of the healthy traces
)

// quiet lists traces without a fault, half of them noisy, of the given total
// target-hours.
func quiet(hours float64) []replay.Params {
	each := quietLength.Hours() * quietTargets
	var out []replay.Params
	for i := 0; float64(i)*each < hours; i++ {
		scenario := "healthy"
		if i%2 == 1 {
			scenario = "noisy"
		}
		out = append(out, replay.Params{Scenario: scenario, Seed: uint64(quietSeed + i), Duration: quietLength})
	}
	return out
}

// outcome summarizes several scores.
type outcome struct {
	intervals int
	detected  []float64 // ms, sorted
	sick      int
	offered   int
	late      float64 // worst share of offered work that intervals after the second got
	wrong     int
	withheld  int
	healthy   int
	floor     int
}

func summarize(scores []*replay.Score) outcome {
	var o outcome
	for _, s := range scores {
		o.intervals += s.SickIntervals
		o.detected = append(o.detected, s.Detected()...)
		o.sick += s.SickRequests
		o.offered += s.SickOffered
		o.wrong += s.FalseEjections
		o.withheld += s.HealthyWithheld
		o.healthy += s.HealthyOffered
		o.floor += s.FloorViolations
		o.late = max(o.late, s.LateShare())
	}
	slices.Sort(o.detected)
	return o
}

// at is the quantile of the detection times over all intervals in ms;
// undetected intervals count as never, -1.
func (o outcome) at(q float64) float64 {
	if o.intervals == 0 {
		return -1
	}
	i := int(q * float64(o.intervals-1))
	if i >= len(o.detected) {
		return -1
	}
	return o.detected[i]
}
