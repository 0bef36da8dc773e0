package health

import (
	"sort"
	"time"
)

// stayBonus keeps an ejected target ejected in favour of one of nearly the
// same severity, whose order would change with every request.
const (
	stayBonus  = 1.8
	youngBonus = 3.0 // while the severity rests on few requests
	youngTime  = 5 * time.Second
)

// staleShare ranks a reduced target without fresh evidence behind all others.
const staleShare = 1e-3

// capacity is the number of targets that may be ejected.
func (c *Detector) capacity() int {
	serving := 0
	for _, t := range c.order {
		if t.inService() {
			serving++
		}
	}
	return max(0, serving-c.cfg.Floor)
}

// condemnedByWeight lists the condemned targets, worst first. Targets that do
// not count towards the floor come last.
func (c *Detector) condemnedByWeight() []*target {
	var list []*target
	for _, t := range c.order {
		if t.condemned {
			list = append(list, t)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].rank() > list[j].rank() })
	return list
}

func (t *target) rank() float64 {
	if !t.inService() {
		return 0
	}
	if t.ejected {
		return t.ejection.bonus * t.ejection.weight
	}
	if !t.ejection.fresh {
		return staleShare * t.ejection.weight
	}
	return t.ejection.weight
}

// rebalance ejects as many of the worst condemned targets as the floor
// permits and puts the others back in service with less work.
func (c *Detector) rebalance(now time.Duration) {
	free := c.capacity()
	for _, t := range c.order {
		t.ejection.bonus = stayBonus
		if now-t.ejection.since < youngTime {
			t.ejection.bonus = youngBonus
		}
	}
	list := c.condemnedByWeight()
	for i, t := range list {
		if i >= free && t.ejected {
			c.reduce(now, t)
		}
	}
	for i, t := range list {
		if i < free && !t.ejected && t.inService() && t.ejection.fresh {
			c.eject(now, t)
		}
	}
}

func (c *Detector) reduce(now time.Duration, t *target) {
	t.ejected = false
	t.ejection.since = now
	t.ejection.fresh = false
	t.lastReturn = now
	t.everEjected = max(0, t.everEjected-1)
	t.resetEvidence()
	c.decideAbout(now, Reduce, t, "the floor needs it in service")
}

func (t *target) resetEvidence() {
	t.score = 0
	t.crossing = false
	t.bad.clear()
	t.good.clear()
}
