package mesh

import (
	"maps"
	"math"
	"sync"
	"time"

	"hyssopbridge/admission"
)

// outboundCalls estimates which requests that originate on this host are calls of
// runs at the target beside this node, and of which. Neither the call nor the target
// says so, and other clients on the host make requests as well; on which routes,
// shows when no run is active. How many calls each kind of run makes is learned
// together with the other hosts of the target's service.
type outboundCalls struct {
	now     func() time.Duration
	metrics *metrics    // may be nil
	fleet   *fleetCalls // may be nil

	mu          sync.Mutex
	updated     time.Duration
	service     string // the target's service
	active      map[*activeRun]bool
	stats       map[string]callStats   // of this host, by called service
	byRoute     map[string]*routeCalls // requests that originated on this host
	runs        float64                // runs that succeeded, weighted like the requests in byRoute
	observed    float64                // seconds
	idle        float64                // seconds of observed without an active run
	failedCalls []time.Duration        // ends of failed calls that no failed run is attributed to
}

// routeCalls counts the requests of one route that originated on this host.
type routeCalls struct {
	updated time.Duration
	all     float64
	idle    float64 // those that were made without an active run, so by other clients
}

// activeRun is a run that has not ended.
type activeRun struct {
	source callSource
	retry  bool          // the request reached another target before
	hungAt time.Duration // from when on it is assumed to make no more calls; 0 for never
}

// callSource is the kind of the run that made a call.
type callSource uint8

const (
	idempotentRuns    callSource = iota // runs of idempotent requests
	nonIdempotentRuns                   // runs of non-idempotent requests
	numSources
)

const (
	// callsDecayTime is the time constant with which older counts lose weight:
	// after it, about a third of the weight remains.
	callsDecayTime = 15 * time.Second
	// routesDecayTime is the same for the counts of routes. It is longer, since
	// only few requests are made while no run is active, and a route's callers
	// hardly change.
	routesDecayTime = time.Minute
	// failedCallWindow is how soon after a failed call the run that made it fails.
	failedCallWindow = 200 * time.Millisecond
	// maxFailedCalls bounds the failed calls that are remembered.
	maxFailedCalls = 64
	// hungRunFactor is the multiple of the time after which a run is overdue from
	// which on it is assumed to make no more calls. Calls come late in a run.
	hungRunFactor = 2
	// calledShare is the fraction of runs that must call a service or a route for
	// it to count as called by them.
	calledShare = 0.1
	// minIdleSeconds bounds the influence of single requests on a host that is
	// hardly ever without an active run.
	minIdleSeconds = 0.2
)

func runSource(idempotent bool) callSource {
	if idempotent {
		return idempotentRuns
	}
	return nonIdempotentRuns
}

// beginRun records the start of a run, which is overdue after a time unless that
// is 0.
func (c *outboundCalls) beginRun(s callSource, retry bool, overdueAfter time.Duration) *activeRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	r := &activeRun{source: s, retry: retry}
	if overdueAfter > 0 {
		r.hungAt = c.updated + hungRunFactor*overdueAfter
	}
	if c.active == nil {
		c.active = map[*activeRun]bool{}
	}
	c.active[r] = true
	attempt := 0
	if retry {
		attempt = 1
	}
	c.metrics.add(metricRuns[s][attempt], 1)
	return r
}

// endRun records the end of a run. A run that failed because of a call has made
// its calls, too.
func (c *outboundCalls) endRun(r *activeRun, outcome admission.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	if c.isHung(r) && outcome == admission.Success {
		c.metrics.add(metricRunsHungAnswered, 1)
	}
	delete(c.active, r)
	if outcome == admission.Success || outcome == admission.CallFailed {
		for called, stats := range c.stats {
			stats.finished[r.source]++
			c.stats[called] = stats
		}
	}
	if outcome == admission.Success {
		c.runs++
	}
}

// activeRuns counts the active runs by kind, without those that hang, and how many
// of them are retried.
func (c *outboundCalls) activeRuns() (active, retried [numSources]float64) {
	for r := range c.active {
		if c.isHung(r) {
			continue
		}
		active[r.source]++
		if r.retry {
			retried[r.source]++
		}
	}
	return active, retried
}

// record records a request of a route for another service that originated on
// this host. It returns the probabilities that a run made it, and that a retried
// run did. The latter is the largest likely one: it bounds the retries of the
// called service.
func (c *outboundCalls) record(route, service string) (byRun, byRetry float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	active, retried := c.activeRuns()
	idle := active == [numSources]float64{}
	byRun = 1 - c.recordRoute(route, idle)
	own := c.stats[service]
	own.addRequest(active)
	c.setStats(service, own)
	if !idle {
		known := c.known(service)
		byRetry = known.retryShare(active, retried)
	}
	c.metrics.add(metricCallsOfRetries, byRetry)
	c.metrics.add(metricCallsOfFirstRuns, max(0, byRun-byRetry))
	c.metrics.add(metricCallsOfClients, 1-max(byRun, byRetry))
	return byRun, byRetry
}

// recordOfClient records a request that a client on this host certainly made.
func (c *outboundCalls) recordOfClient() { c.metrics.add(metricCallsOfClients, 1) }

func (c *outboundCalls) setStats(called string, stats callStats) {
	if c.stats == nil {
		c.stats = map[string]callStats{}
	}
	c.stats[called] = stats
}

// known returns the sums of all hosts of the service for one that they call.
func (c *outboundCalls) known(called string) callStats {
	all := c.stats[called]
	all.add(c.fleet.calledBy(c.service)[called].stats, 1)
	return all
}

// share returns what this host observed, for the other hosts of the service. Runs
// at a host that make no calls are evidence, too, once one of the others makes
// any.
func (c *outboundCalls) share(service string) map[string]callStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	if service != c.service {
		c.service, c.stats = service, nil // another target's runs
	}
	byOthers := c.fleet.calledBy(service)
	for called, total := range byOthers {
		if _, ok := c.stats[called]; !ok && total.stats.requests.total() >= minRequests {
			c.setStats(called, callStats{})
		}
	}
	for called, stats := range c.stats {
		if stats.requests.total()+byOthers[called].stats.requests.total() < minRequests {
			delete(c.stats, called)
		}
	}
	return maps.Clone(c.stats)
}

// callersOf returns what is known of the services that call one, and what this
// host observed.
func (c *outboundCalls) callersOf(called string) (own callStats, service string, all map[string]callTotal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	all = c.fleet.callersOf(called)
	own = c.stats[called]
	total := all[c.service]
	total.hosts++
	total.stats.add(own, 1)
	all[c.service] = total
	return own, c.service, all
}

// recordFailure records that a call failed which a run probably made.
func (c *outboundCalls) recordFailure() {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedCalls = append(c.failedCalls, now)
	if len(c.failedCalls) > maxFailedCalls {
		c.failedCalls = c.failedCalls[1:]
	}
}

// explainFailure reports whether a run that failed now did so because a call
// that it made had failed. Each failed call explains one failed run.
func (c *outboundCalls) explainFailure() bool {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.failedCalls) > 0 {
		end := c.failedCalls[0]
		c.failedCalls = c.failedCalls[1:]
		if now-end <= failedCallWindow {
			return true
		}
	}
	return false
}

// recordRoute counts a request of a route and returns the estimated fraction of
// the route's requests that other clients on the host make. They make them also
// while no run is active. A route that few runs could have called is theirs.
func (c *outboundCalls) recordRoute(route string, idle bool) (clientShare float64) {
	if c.byRoute == nil {
		c.byRoute = map[string]*routeCalls{}
	}
	r := c.byRoute[route]
	if r == nil {
		if len(c.byRoute) >= maxLatencyRoutes {
			return 1
		}
		r = &routeCalls{}
		c.byRoute[route] = r
	}
	keep := routesDecay(c.updated - r.updated)
	r.all, r.idle, r.updated = r.all*keep+1, r.idle*keep, c.updated
	if idle {
		r.idle++
	}
	if r.all < calledShare*c.runs {
		return 1
	}
	return min(1, r.idle/max(c.idle, minIdleSeconds)*c.observed/r.all)
}

// callsPerRun returns the services that runs of a kind call, and the largest
// likely mean number of calls that a run makes to each.
func (c *outboundCalls) callsPerRun(s callSource) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	byService := c.fleet.calledBy(c.service)
	for called, stats := range c.stats {
		total := byService[called]
		total.stats.add(stats, 1)
		byService[called] = total
	}
	out := map[string]float64{}
	for called, total := range byService {
		if n := total.stats.callsPerRun(s); n > calledShare {
			out[called] = n
		}
	}
	return out
}

func (c *outboundCalls) isHung(r *activeRun) bool { return r.hungAt > 0 && c.updated > r.hungAt }

// routesDecay returns the weight that counts of routes keep after a time.
func routesDecay(elapsed time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / routesDecayTime.Seconds())
}

// advance adds the time since the last update and reduces the weight of older
// counts.
func (c *outboundCalls) advance() {
	elapsed := c.now() - c.updated
	c.updated += elapsed
	keep := math.Exp(-elapsed.Seconds() / callsDecayTime.Seconds())
	active, _ := c.activeRuns()
	for called, stats := range c.stats {
		stats.add(stats, keep-1)
		stats.addExposure(elapsed, active)
		c.stats[called] = stats
	}
	keepRoutes := routesDecay(elapsed)
	c.runs *= keepRoutes
	c.observed = c.observed*keepRoutes + elapsed.Seconds()
	c.idle *= keepRoutes
	if active == [numSources]float64{} {
		c.idle += elapsed.Seconds()
	}
}
