package mesh

import (
	"math"
	"sync"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/config/dynamic"
)

// runTimes estimates for each route how long a good answer takes. The logarithm
// of run times is taken as normal, so that a few samples tell how long a request
// may usually be open.
type runTimes struct {
	mu      sync.Mutex
	byRoute map[string]*timing
}

// timing is what is known of the run times of a route, in seconds.
type timing struct {
	samples float64
	mean    float64
	logMean float64
	logVar  float64
}

const (
	// maxSamples bounds the weight of older samples.
	maxSamples = 50
	// priorSamples is the weight of what is assumed of a route before its first run.
	priorSamples = 3
	// priorPart is the part of the objective that a request is assumed to take.
	priorPart = 0.25
	// priorLogVar is the assumed variance of the logarithm of run times.
	priorLogVar = 0.36
	// minLogDev is the least deviation of the logarithm that is trusted, since
	// samples of requests that were answered elsewhere are missing.
	minLogDev = 0.4
	// maxRunTimes bounds the routes whose run time is kept.
	maxRunTimes = 4096
)

func newRunTimes() *runTimes { return &runTimes{byRoute: map[string]*timing{}} }

func assumed(route *dynamic.Route) timing {
	typical := priorPart * route.Objective.Seconds()
	return timing{samples: priorSamples, mean: typical, logMean: math.Log(typical), logVar: priorLogVar}
}

// observe records how long a good answer took.
func (t *runTimes) observe(route *dynamic.Route, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.byRoute[route.Name]
	if known == nil {
		if len(t.byRoute) >= maxRunTimes {
			return
		}
		start := assumed(route)
		known = &start
		t.byRoute[route.Name] = known
	}
	known.add(max(took, time.Microsecond).Seconds())
}

func (t *timing) add(seconds float64) {
	t.samples = min(t.samples+1, maxSamples)
	weight := 1 / t.samples
	t.mean += weight * (seconds - t.mean)
	delta := math.Log(seconds) - t.logMean
	t.logMean += weight * delta
	t.logVar += weight * (delta*delta*(1-weight) - t.logVar)
}

func (t *runTimes) get(route *dynamic.Route) timing {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.byRoute[route.Name]; known != nil {
		return *known
	}
	return assumed(route)
}

// usual returns how long a request of the route is expected to run.
func (t *runTimes) usual(route *dynamic.Route) time.Duration {
	return seconds(t.get(route).mean)
}

// overdue returns the time after which a request of the route has probably
// met a target that does not answer.
func (t *runTimes) overdue(route *dynamic.Route) time.Duration {
	known := t.get(route)
	dev := max(minLogDev, math.Sqrt(known.logVar))
	return seconds(math.Exp(known.logMean + admission.OverdueStdDevs*dev))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
