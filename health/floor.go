package health

import (
	"sort"
	"time"
)

// stayFactor and earlyStayFactor scale up the severity of ejected targets.
// Otherwise targets of nearly equal severity would change places with every
// request.
const (
	stayFactor      = 1.8
	earlyStayFactor = 3.0 // for earlyStayTime, while the severity rests on few requests
	earlyStayTime   = 5 * time.Second
)

// staleFactor ranks reduced targets without recent evidence behind all others.
const staleFactor = 1e-3

// maxEjected returns the number of targets that the floor permits to eject.
func (d *Detector) maxEjected() int {
	serving := 0
	for _, t := range d.sortedTargets {
		if t.inService() {
			serving++
		}
	}
	return max(0, serving-d.cfg.Floor)
}

// unhealthyBySeverity lists the unhealthy targets, worst first. Targets that
// do not count towards the floor come last.
func (d *Detector) unhealthyBySeverity() []*target {
	var list []*target
	for _, t := range d.sortedTargets {
		if t.unhealthy {
			list = append(list, t)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].priority() > list[j].priority() })
	return list
}

func (t *target) priority() float64 {
	if !t.inService() {
		return 0
	}
	if t.ejected {
		return t.ejection.stayFactor * t.ejection.severity
	}
	if !t.ejection.fresh {
		return staleFactor * t.ejection.severity
	}
	return t.ejection.severity
}

// rebalance ejects as many of the worst unhealthy targets as the floor permits
// and returns the others to service with fewer requests.
func (d *Detector) rebalance(now time.Duration) {
	free := d.maxEjected()
	for _, t := range d.sortedTargets {
		t.ejection.stayFactor = stayFactor
		if now-t.ejection.since < earlyStayTime {
			t.ejection.stayFactor = earlyStayFactor
		}
	}
	list := d.unhealthyBySeverity()
	for i, t := range list {
		if i >= free && t.ejected {
			d.reduce(now, t)
		}
	}
	for i, t := range list {
		if i < free && !t.ejected && t.inService() && t.ejection.fresh {
			d.eject(now, t)
		}
	}
}

func (d *Detector) reduce(now time.Duration, t *target) {
	t.ejected = false
	t.ejection.since = now
	t.ejection.fresh = false
	t.lastReturn = now
	t.ejectionCount = max(0, t.ejectionCount-1)
	t.resetEvidence()
	d.emitFor(now, Reduce, t, "the floor needs it in service")
}

func (t *target) resetEvidence() {
	t.score = 0
	t.aboveThreshold = false
	t.bad.clear()
	t.good.clear()
}
