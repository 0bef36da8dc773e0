package mesh

import (
	"math"
	"sync"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/config/dynamic"
)

// latencies estimates for each route how long a good response takes. Latency is
// assumed to be log-normal, so that a few samples suffice to tell when a
// request is overdue.
type latencies struct {
	mu      sync.Mutex
	byRoute map[string]*latencyEstimate
}

// latencyEstimate describes the latency distribution of a route, in seconds.
type latencyEstimate struct {
	samples float64
	mean    float64
	logMean float64
	logVar  float64
}

const (
	// maxSamples bounds the weight of older samples.
	maxSamples = 50
	// priorSamples is the weight of the prior estimate of a route.
	priorSamples = 3
	// priorObjectiveShare is the mean latency assumed before the first sample,
	// as a fraction of the objective.
	priorObjectiveShare = 0.25
	// priorLogVar is the assumed variance of the logarithm of latency.
	priorLogVar = 0.36
	// minLogDev is the smallest standard deviation of the logarithm that is
	// used, since samples are missing for requests that another target served.
	minLogDev = 0.4
	// maxLatencyRoutes bounds the routes for which latency is estimated.
	maxLatencyRoutes = 4096
)

func newLatencies() *latencies { return &latencies{byRoute: map[string]*latencyEstimate{}} }

func priorEstimate(route *dynamic.Route) latencyEstimate {
	typical := priorObjectiveShare * route.Objective.Seconds()
	return latencyEstimate{samples: priorSamples, mean: typical, logMean: math.Log(typical), logVar: priorLogVar}
}

// observe records the latency of a good response.
func (l *latencies) observe(route *dynamic.Route, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	estimate := l.byRoute[route.Name]
	if estimate == nil {
		if len(l.byRoute) >= maxLatencyRoutes {
			return
		}
		start := priorEstimate(route)
		estimate = &start
		l.byRoute[route.Name] = estimate
	}
	estimate.add(max(took, time.Microsecond).Seconds())
}

func (e *latencyEstimate) add(seconds float64) {
	e.samples = min(e.samples+1, maxSamples)
	weight := 1 / e.samples
	e.mean += weight * (seconds - e.mean)
	delta := math.Log(seconds) - e.logMean
	e.logMean += weight * delta
	e.logVar += weight * (delta*delta*(1-weight) - e.logVar)
}

func (l *latencies) estimate(route *dynamic.Route) latencyEstimate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if estimate := l.byRoute[route.Name]; estimate != nil {
		return *estimate
	}
	return priorEstimate(route)
}

// expected returns the mean latency of a route.
func (l *latencies) expected(route *dynamic.Route) time.Duration {
	return seconds(l.estimate(route).mean)
}

// overdue returns the time after which the target of a request on the route is
// probably not responding.
func (l *latencies) overdue(route *dynamic.Route) time.Duration {
	estimate := l.estimate(route)
	dev := max(minLogDev, math.Sqrt(estimate.logVar))
	return seconds(math.Exp(estimate.logMean + admission.OverdueStdDevs*dev))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
