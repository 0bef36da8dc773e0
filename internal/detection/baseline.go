package main

import (
	"fmt"
	"time"

	"hyssopbridge/health"
)

const (
	sumSlowMS   = 200.0 // a request that is slower counts as bad
	sumStep     = 1.0
	sumDrift    = 0.2 // subtracted per good request
	sumSilence  = 5 * time.Second
	downloadMul = 6
)

// sumCore is the plain cumulative sum over all nodes' evidence. It knows no
// peers, links, cold starts or floor, and readmits a target after a fixed time.
type sumCore struct {
	threshold float64
	sums      map[string]float64
	until     map[string]time.Duration
	open      map[uint64]sumRequest
	order     []string
	decisions []health.Decision
}

type sumRequest struct {
	target  string
	start   time.Duration
	limit   float64
	counted bool
}

func newSumCore(threshold float64) *sumCore {
	return &sumCore{
		threshold: threshold,
		sums:      map[string]float64{},
		until:     map[string]time.Duration{},
		open:      map[uint64]sumRequest{},
	}
}

func (c *sumCore) SetTargets(_ time.Duration, list []health.Target) {
	for _, t := range list {
		c.order = append(c.order, t.ID)
	}
}

func (c *sumCore) Probe(time.Duration, health.Probed) {}

func (c *sumCore) Start(now time.Duration, o health.Started) {
	limit := sumSlowMS
	if o.Class.String() == "download" {
		limit *= downloadMul
	}
	c.open[o.ID] = sumRequest{target: o.Target, start: now, limit: limit}
}

func (c *sumCore) End(now time.Duration, o health.Ended) {
	r, ok := c.open[o.ID]
	delete(c.open, o.ID)
	if !ok || r.counted || o.Outcome == health.Shed {
		return
	}
	ms := float64(o.Latency) / float64(time.Millisecond)
	c.add(now, r.target, o.Outcome != health.OK || ms > r.limit)
}

func (c *sumCore) add(now time.Duration, target string, bad bool) {
	if bad {
		c.sums[target] += sumStep
	} else {
		c.sums[target] = max(0, c.sums[target]-sumDrift)
	}
	if _, out := c.until[target]; out || c.sums[target] < c.threshold {
		return
	}
	c.until[target] = now + sumSilence
	reason := fmt.Sprintf("sum %.1f", c.sums[target])
	c.decisions = append(c.decisions, health.Decision{At: now, Kind: health.Eject, Target: target, Reason: reason})
}

func (c *sumCore) Tick(now time.Duration) {
	for id, r := range c.open {
		if !r.counted && float64(now-r.start)/float64(time.Millisecond) > r.limit {
			r.counted = true
			c.open[id] = r
			c.add(now, r.target, true)
		}
	}
	for _, t := range c.order {
		if until, out := c.until[t]; out && now >= until {
			delete(c.until, t)
			c.sums[t] = 0
			c.decisions = append(c.decisions, health.Decision{At: now, Kind: health.Return, Target: t})
		}
	}
}

func (c *sumCore) Allow(_ time.Duration, _, target string, _ bool) bool {
	_, out := c.until[target]
	return !out
}

func (c *sumCore) Decisions() []health.Decision {
	out := c.decisions
	c.decisions = nil
	return out
}
