package health

import (
	"time"

	"hyssopbridge/fleet"
)

const (
	baselineDelay      = 2 * time.Second
	maxQueuedResponses = 64  // per target
	suspectShare       = 0.5 // of the threshold; responses of targets above it are discarded
	// coldBaselineSamples is the number of samples of a class from which the
	// responses of starting targets are kept out of the baseline.
	coldBaselineSamples = 200
)

// queuedResponse is a response that waits to enter the baseline. Responses
// enter after a delay, and only if their target is not suspect by then.
// Otherwise the first slow responses of several failing targets would become
// the norm.
type queuedResponse struct {
	at      time.Duration
	ms      float32
	node    uint16
	class   fleet.Class
	outcome Outcome
}

// queueForBaseline queues a response for the baseline. During a service-wide
// fault responses enter at once, because slow ones are then the norm.
func (d *Detector) queueForBaseline(t *target, s sample, ms float64) {
	if d.faults.serviceWide {
		d.baseline.add(s.class, s.outcome, ms)
		return
	}
	if t.coldStart.active && d.baseline.classes[s.class].samples >= coldBaselineSamples {
		return
	}
	if len(t.queued) == maxQueuedResponses {
		d.addToBaseline(s.at, t, t.queued[0])
		t.queued = append(t.queued[:0], t.queued[1:]...)
	}
	t.queued = append(t.queued, queuedResponse{
		at:      s.at,
		ms:      float32(ms),
		node:    s.node,
		class:   s.class,
		outcome: s.outcome,
	})
}

// flushQueued moves the responses that have waited long enough to the
// baseline.
func (d *Detector) flushQueued(now time.Duration, t *target) {
	n := 0
	for n < len(t.queued) && now-t.queued[n].at >= baselineDelay {
		d.addToBaseline(now, t, t.queued[n])
		n++
	}
	t.queued = append(t.queued[:0], t.queued[n:]...)
}

func (d *Detector) addToBaseline(now time.Duration, t *target, q queuedResponse) {
	suspect := t.unhealthy || d.totalScore(now, t) >= suspectShare*d.tuning.Threshold
	if suspect || d.faults.atFault(now, q.node, q.class) {
		return
	}
	d.baseline.add(q.class, q.outcome, float64(q.ms))
}
