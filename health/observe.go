package health

import (
	"math"
	"time"

	"hyssopbridge/fleet"
)

const (
	levelWeight = 0.125 // of one answer in a target's slowness
	levelMax    = 3.0   // also stands for a failed answer
	levelMin    = -1.0
	openLimit   = 10 * time.Minute // a request open for longer is forgotten
	nanosPerMS  = float64(time.Millisecond)
)

// ObserveStart notes that a request was sent. A request to an unlisted target is
// ignored.
func (c *Detector) ObserveStart(now time.Duration, o RequestStart) {
	t := c.targets[o.Target]
	if t == nil || c.open[o.ID] != nil {
		return
	}
	t.cold.onStart(now, t.condemned || t.everEjected > 0 && now-t.lastReturn < activeTime)
	r := &request{
		id:         o.ID,
		start:      now,
		target:     t,
		node:       c.nodeNumber(o.Node, o.Zone),
		class:      o.Class,
		idempotent: o.Idempotent,
		trial:      t.ejected,
	}
	r.zone = c.nodeZone[r.node]
	c.open[o.ID] = r
	if dropped := t.addOpen(r); dropped != nil {
		delete(c.open, dropped.id)
	}
}

func (c *Detector) nodeNumber(node, zone string) uint16 {
	n := c.nodes.number(node)
	for len(c.nodeZone) <= n {
		c.nodeZone = append(c.nodeZone, 0)
	}
	c.nodeZone[n] = uint8(c.zones.number(zone))
	return uint16(n)
}

// ObserveEnd notes the outcome of a request. An unknown ID is ignored.
func (c *Detector) ObserveEnd(now time.Duration, o RequestEnd) {
	r := c.open[o.ID]
	if r == nil {
		return
	}
	delete(c.open, o.ID)
	t := r.target
	t.removeOpen(r)
	t.lastEnd = now
	if o.Outcome == Shed {
		t.shed.onShed(now)
		return
	}
	t.shed.onAnswer()
	ms := float64(o.Latency) / nanosPerMS / math.Exp(c.shift)
	llr := c.answerLLR(r, o.Outcome, ms)
	s := c.sampleOf(now, r, o.Outcome, llr, ms)
	c.learnLevel(t, r, o.Outcome, ms)
	c.learn(t, s, ms)
	c.links.onAnswer(c, now, r, s)
	if r.trial || t.ejected {
		c.onTrialAnswer(now, r, s)
		return
	}
	c.accumulate(t, s, llr)
}

func (c *Detector) answerLLR(r *request, o Outcome, ms float64) float64 {
	if o.failure() {
		return c.ref.failureLLR(r.class, o)
	}
	return c.ref.latencyLLR(r.class, ms)
}

func (c *Detector) sampleOf(now time.Duration, r *request, o Outcome, llr, ms float64) sample {
	return sample{
		start:   r.start,
		at:      now,
		weight:  float32(llr),
		level:   float32(c.sampleLevel(r.class, o, ms)),
		node:    r.node,
		zone:    r.zone,
		class:   r.class,
		outcome: o,
	}
}

// accumulate adds an answer to the target's score and rings.
func (c *Detector) accumulate(t *target, s sample, llr float64) {
	if llr < badLLR && !s.outcome.failure() {
		t.score = math.Max(0, t.score+llr)
		t.good.add(s)
		return
	}
	if c.faults.explains(s.at, s) || t.cold.cold && !s.outcome.failure() {
		s.weight = 0
		t.bad.add(s)
		return
	}
	limit := maxScore * c.tuning.Threshold
	if c.tuning.Method == Windowed {
		limit = math.Inf(1)
	}
	t.score = math.Min(limit, math.Max(0, t.score+llr))
	t.bad.add(s)
}

func (c *Detector) learnLevel(t *target, r *request, o Outcome, ms float64) {
	if !c.ref.classes[r.class].ready {
		return
	}
	level := c.sampleLevel(r.class, o, ms)
	t.cold.onAnswer(level)
	t.level += levelWeight * (level + c.shift - t.level)
	t.levelKnown = true
}

// sampleLevel bounds the slowness of an answer; failures are the slowest.
func (c *Detector) sampleLevel(class fleet.Class, o Outcome, ms float64) float64 {
	if o.failure() {
		return levelMax
	}
	level, _ := c.ref.level(class, ms)
	return math.Max(levelMin, math.Min(levelMax, level))
}

// expireOpen forgets requests whose end was lost.
func (c *Detector) expireOpen(now time.Duration, t *target) {
	for len(t.open) > 0 && now-t.open[0].start > openLimit {
		delete(c.open, t.open[0].id)
		t.open = append(t.open[:0], t.open[1:]...)
	}
}
