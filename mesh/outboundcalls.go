package mesh

import (
	"math"
	"sync"
	"time"
)

// calls tells to which run at the target beside this node a call probably
// belongs that begins on this host. Neither the call nor the target says so,
// and clients of the host make requests as well. Each call is shared out among
// what is under way, in proportion to the rates estimated so far, which leads
// to the most likely rates.
type calls struct {
	now func() time.Duration

	mu    sync.Mutex
	at    time.Duration
	open  map[*openRun]bool
	runs  [sources]float64 // that ended well
	busy  [sources]float64 // seconds, of these
	calls [sources]float64
	to    map[string]float64 // calls of repeatable runs by called service
}

// openRun is a run that has not ended.
type openRun struct {
	source source
	again  bool // the request was at another target before
	start  time.Duration
}

// source is what may have made a call.
type source uint8

const (
	repeatable source = iota // runs that may be repeated
	singular                 // runs that must not be repeated
	clients                  // callers on the host; always under way
	sources
)

const (
	// callsAge is the time over which older counts lose all but a third of their
	// weight.
	callsAge = 15 * time.Second
	// assumedBusy is the weight in seconds of the rates that are assumed first.
	assumedBusy = 0.5
	// hungAfter is the multiple of the mean run time from which an open run is
	// taken to make no calls.
	hungAfter = 2
	// callsPart is the part of repeatable runs that must call a service for it to
	// count as called by them.
	callsPart = 0.1
)

// assumedRates are the calls a second of each source before any were seen.
var assumedRates = [sources]float64{3, 1, 1}

func sourceOf(idempotent bool) source {
	if idempotent {
		return repeatable
	}
	return singular
}

// begin records the start of a run.
func (c *calls) begin(s source, again bool) *openRun {
	r := &openRun{s, again, c.now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[*openRun]bool{}
	}
	c.open[r] = true
	return r
}

// end records the end of a run. Only one that ended well counts, since a target
// that fails may neither work nor call.
func (c *calls) end(r *openRun, well bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	delete(c.open, r)
	if well {
		c.runs[r.source]++
		c.busy[r.source] += (c.at - r.start).Seconds()
	}
}

// add records a request for another service that began on this host. It returns
// the chances that a run made it, and that a run did which was itself a repeat.
func (c *calls) add(service string) (byRun, byRepeat float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	var weights [sources]float64
	weights[clients] = c.rate(clients)
	sum, again := weights[clients], 0.0
	for r := range c.open {
		if c.isHung(r) {
			continue
		}
		w := c.rate(r.source)
		weights[r.source] += w
		sum += w
		if r.again {
			again += w
		}
	}
	for s := range sources {
		c.calls[s] += weights[s] / sum
	}
	if c.to == nil {
		c.to = map[string]float64{}
	}
	c.to[service] += weights[repeatable] / sum
	return 1 - weights[clients]/sum, again / sum
}

// called returns the services that runs which may be repeated call.
func (c *calls) called() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance()
	var out []string
	for service, n := range c.to {
		if n > callsPart*(1+c.runs[repeatable]) {
			out = append(out, service)
		}
	}
	return out
}

func (c *calls) isHung(r *openRun) bool {
	n := c.runs[r.source]
	return n > 0 && (c.at-r.start).Seconds() > hungAfter*c.busy[r.source]/n
}

// rate returns the calls a second of one that is under way.
func (c *calls) rate(s source) float64 {
	return (c.calls[s] + assumedBusy*assumedRates[s]) / (c.busy[s] + assumedBusy)
}

// advance lets older counts lose weight.
func (c *calls) advance() {
	passed := c.now() - c.at
	c.at += passed
	keep := math.Exp(-passed.Seconds() / callsAge.Seconds())
	for s := range sources {
		c.runs[s] *= keep
		c.busy[s] *= keep
		c.calls[s] *= keep
	}
	for service := range c.to {
		c.to[service] *= keep
	}
	c.busy[clients] += passed.Seconds()
}
