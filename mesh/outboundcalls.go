package mesh

import (
	"math"
	"sync"
	"time"
)

// outboundCalls estimates which run at the target beside this node made a call
// that originates on this host. Neither the call nor the target says so, and
// other clients on the host make requests as well. Each call is divided among
// the active runs and the clients in proportion to the call rates estimated so
// far, which converges to the most likely rates.
type outboundCalls struct {
	now func() time.Duration

	mu          sync.Mutex
	updated     time.Duration
	active      map[*activeRun]bool
	completed   [numSources]float64 // runs that succeeded
	busySeconds [numSources]float64 // total run time of completed
	calls       [numSources]float64
	byService   map[string]float64 // calls made by idempotent runs, by called service
}

// activeRun is a run that has not ended.
type activeRun struct {
	source callSource
	retry  bool // the request reached another target before
	start  time.Duration
}

// callSource is a possible origin of a call.
type callSource uint8

const (
	idempotentRuns    callSource = iota // runs of idempotent requests
	nonIdempotentRuns                   // runs of non-idempotent requests
	hostClients                         // other clients on the host; always active
	numSources
)

const (
	// callsDecayTime is the time constant with which older counts lose weight:
	// after it, about a third of the weight remains.
	callsDecayTime = 15 * time.Second
	// priorBusySeconds is the weight of priorRates in seconds of run time.
	priorBusySeconds = 0.5
	// hungRunFactor is the multiple of the mean run time after which an active
	// run is assumed to make no more calls.
	hungRunFactor = 2
	// calledShare is the fraction of idempotent runs that must call a service
	// for it to count as called by them.
	calledShare = 0.1
)

// priorRates are the calls per second of each source assumed before any were
// observed.
var priorRates = [numSources]float64{3, 1, 1}

func runSource(idempotent bool) callSource {
	if idempotent {
		return idempotentRuns
	}
	return nonIdempotentRuns
}

// beginRun records the start of a run.
func (c *outboundCalls) beginRun(s callSource, retry bool) *activeRun {
	r := &activeRun{s, retry, c.now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active == nil {
		c.active = map[*activeRun]bool{}
	}
	c.active[r] = true
	return r
}

// endRun records the end of a run. Only successful runs count, since a failing
// target may end runs early and without the calls that they usually make.
func (c *outboundCalls) endRun(r *activeRun, succeeded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay()
	delete(c.active, r)
	if succeeded {
		c.completed[r.source]++
		c.busySeconds[r.source] += (c.updated - r.start).Seconds()
	}
}

// record records a request for another service that originated on this host. It
// returns the probabilities that a run made it, and that a retried run did.
func (c *outboundCalls) record(service string) (byRun, byRetry float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay()
	var weights [numSources]float64
	weights[hostClients] = c.rate(hostClients)
	sum, byRetries := weights[hostClients], 0.0
	for r := range c.active {
		if c.isHung(r) {
			continue
		}
		w := c.rate(r.source)
		weights[r.source] += w
		sum += w
		if r.retry {
			byRetries += w
		}
	}
	for s := range numSources {
		c.calls[s] += weights[s] / sum
	}
	if c.byService == nil {
		c.byService = map[string]float64{}
	}
	c.byService[service] += weights[idempotentRuns] / sum
	return 1 - weights[hostClients]/sum, byRetries / sum
}

// calledServices returns the services that idempotent runs call.
func (c *outboundCalls) calledServices() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay()
	var out []string
	for service, n := range c.byService {
		if n > calledShare*(1+c.completed[idempotentRuns]) {
			out = append(out, service)
		}
	}
	return out
}

func (c *outboundCalls) isHung(r *activeRun) bool {
	n := c.completed[r.source]
	return n > 0 && (c.updated-r.start).Seconds() > hungRunFactor*c.busySeconds[r.source]/n
}

// rate returns the calls per second of one active source.
func (c *outboundCalls) rate(s callSource) float64 {
	return (c.calls[s] + priorBusySeconds*priorRates[s]) / (c.busySeconds[s] + priorBusySeconds)
}

// decay reduces the weight of older counts.
func (c *outboundCalls) decay() {
	elapsed := c.now() - c.updated
	c.updated += elapsed
	keep := math.Exp(-elapsed.Seconds() / callsDecayTime.Seconds())
	for s := range numSources {
		c.completed[s] *= keep
		c.busySeconds[s] *= keep
		c.calls[s] *= keep
	}
	for service := range c.byService {
		c.byService[service] *= keep
	}
	c.busySeconds[hostClients] += elapsed.Seconds()
}
