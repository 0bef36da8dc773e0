package health

import (
	"time"

	"hyssopbridge/fleet"
)

// Ejections returns the condemned targets, worst first, including those that the
// floor keeps in service at the end of the list: an entry node withholds only
// as many from the front as its own view of the floor permits. SinceMS is the
// Detector's clock in milliseconds.
func (c *Detector) Ejections() []fleet.Ejection {
	var out []fleet.Ejection
	for _, t := range c.condemnedByWeight() {
		out = append(out, fleet.Ejection{
			Target:  t.id,
			Weight:  t.rank(),
			Trial:   t.trialShare(),
			Reason:  t.ejection.reason,
			SinceMS: t.ejection.since.Milliseconds(),
		})
	}
	return out
}

func (t *target) trialShare() float64 {
	switch {
	case !t.ejected:
		return reducedShare
	case t.ejection.step > 0:
		return steps[t.ejection.step-1]
	default:
		return trialShare
	}
}

// RestoreEjections takes over the list of an earlier arbiter. Listed targets stay
// ejected, within the floor, and start their return anew. Targets already
// condemned are unchanged.
func (c *Detector) RestoreEjections(now time.Duration, list []fleet.Ejection) {
	for _, e := range list {
		t := c.targets[e.Target]
		if t == nil || t.condemned {
			continue
		}
		since := min(time.Duration(e.SinceMS)*time.Millisecond, now)
		t.condemned = true
		t.cold.cold = false
		t.ejection = ejectionState{since: since, weight: e.Weight, fresh: true, reason: e.Reason}
	}
	c.rebalance(now)
}
