package health

import (
	"math"
	"time"

	"hyssopbridge/fleet"
)

const (
	slownessSmoothing = 0.125 // weight of a response in the target's average slowness
	maxSlowness       = 3.0   // natural logarithm; also used for failed responses
	minSlowness       = -1.0
	maxOpenTime       = 10 * time.Minute // a request open for longer is forgotten
	nanosPerMS        = float64(time.Millisecond)
)

// ObserveStart records that a request was sent. It ignores requests to
// unlisted targets.
func (d *Detector) ObserveStart(now time.Duration, o RequestStart) {
	t := d.targets[o.Target]
	if t == nil || d.open[o.ID] != nil {
		return
	}
	t.coldStart.onStart(now, t.unhealthy || t.ejectionCount > 0 && now-t.lastReturn < activeWindow)
	r := &request{
		id:         o.ID,
		start:      now,
		target:     t,
		node:       d.nodeIndex(o.Node, o.Zone),
		class:      o.Class,
		idempotent: o.Idempotent,
		trial:      t.ejected,
	}
	r.zone = d.nodeZones[r.node]
	d.open[o.ID] = r
	if dropped := t.addOpen(r); dropped != nil {
		delete(d.open, dropped.id)
	}
}

func (d *Detector) nodeIndex(node, zone string) uint16 {
	n := d.nodes.intern(node)
	for len(d.nodeZones) <= n {
		d.nodeZones = append(d.nodeZones, 0)
	}
	d.nodeZones[n] = uint8(d.zones.intern(zone))
	return uint16(n)
}

// ObserveEnd records the outcome of a request. It ignores unknown IDs.
func (d *Detector) ObserveEnd(now time.Duration, o RequestEnd) {
	r := d.open[o.ID]
	if r == nil {
		return
	}
	delete(d.open, o.ID)
	t := r.target
	t.removeOpen(r)
	t.lastEnd = now
	if o.Outcome == Shed {
		t.shed.onShed(now)
		return
	}
	t.shed.onResponse()
	ms := float64(o.Latency) / nanosPerMS / math.Exp(d.slowdown)
	llr := d.responseLLR(r, o.Outcome, ms)
	s := d.sampleOf(now, r, o.Outcome, llr, ms)
	d.updateSlowness(t, r, o.Outcome, ms)
	d.queueForBaseline(t, s, ms)
	d.links.onResponse(d, now, r, s)
	if r.trial || t.ejected {
		d.onTrialResponse(now, r, s)
		return
	}
	d.accumulate(t, s, llr)
}

func (d *Detector) responseLLR(r *request, o Outcome, ms float64) float64 {
	if o.failure() {
		return d.baseline.failureLLR(r.class, o)
	}
	return d.baseline.latencyLLR(r.class, ms)
}

func (d *Detector) sampleOf(now time.Duration, r *request, o Outcome, llr, ms float64) sample {
	return sample{
		start:    r.start,
		at:       now,
		llr:      float32(llr),
		slowness: float32(d.sampleSlowness(r.class, o, ms)),
		node:     r.node,
		zone:     r.zone,
		class:    r.class,
		outcome:  o,
	}
}

// accumulate adds a response to the target's score and samples.
func (d *Detector) accumulate(t *target, s sample, llr float64) {
	if llr < badLLR && !s.outcome.failure() {
		t.score = math.Max(0, t.score+llr)
		t.good.add(s)
		return
	}
	if d.faults.explains(s.at, s) || t.coldStart.active && !s.outcome.failure() {
		s.llr = 0
		t.bad.add(s)
		return
	}
	limit := maxScoreFactor * d.tuning.Threshold
	if d.tuning.Method == Windowed {
		limit = math.Inf(1)
	}
	t.score = math.Min(limit, math.Max(0, t.score+llr))
	t.bad.add(s)
}

func (d *Detector) updateSlowness(t *target, r *request, o Outcome, ms float64) {
	if !d.baseline.classes[r.class].ready {
		return
	}
	slowness := d.sampleSlowness(r.class, o, ms)
	t.coldStart.onResponse(slowness)
	t.slowness += slownessSmoothing * (slowness + d.slowdown - t.slowness)
	t.slownessKnown = true
}

// sampleSlowness returns the slowness of a response within its limits;
// failures count as the slowest.
func (d *Detector) sampleSlowness(class fleet.Class, o Outcome, ms float64) float64 {
	if o.failure() {
		return maxSlowness
	}
	slowness, _ := d.baseline.slowness(class, ms)
	return math.Max(minSlowness, math.Min(maxSlowness, slowness))
}

// expireOpen forgets requests whose end was never reported.
func (d *Detector) expireOpen(now time.Duration, t *target) {
	for len(t.open) > 0 && now-t.open[0].start > maxOpenTime {
		delete(d.open, t.open[0].id)
		t.open = append(t.open[:0], t.open[1:]...)
	}
}
