package health

import (
	"time"

	"hyssopbridge/fleet"
)

// Ejections returns the unhealthy targets, worst first, including those at the
// end of the list that the floor keeps in service: an entry node withholds
// only as many from the front as its own view of the floor permits. SinceMS is
// a time of the Detector's clock in milliseconds.
func (d *Detector) Ejections() []fleet.Ejection {
	var out []fleet.Ejection
	for _, t := range d.unhealthyBySeverity() {
		out = append(out, fleet.Ejection{
			Target:  t.id,
			Weight:  t.priority(),
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

// RestoreEjections takes over the list of the previous arbiter. Listed targets
// stay ejected, within the floor, and start their return from the beginning.
// Targets that are already unhealthy are unchanged.
func (d *Detector) RestoreEjections(now time.Duration, list []fleet.Ejection) {
	for _, e := range list {
		t := d.targets[e.Target]
		if t == nil || t.unhealthy {
			continue
		}
		since := min(time.Duration(e.SinceMS)*time.Millisecond, now)
		t.unhealthy = true
		t.coldStart.active = false
		t.ejection = ejectionState{since: since, severity: e.Weight, fresh: true, reason: e.Reason}
	}
	d.rebalance(now)
}
