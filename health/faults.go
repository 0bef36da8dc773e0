package health

import (
	"time"

	"hyssopbridge/fleet"
)

const (
	sourceTargets = 3    // bad targets from which a node or class may be at fault
	sourceShare   = 0.5  // share of its targets that are bad for it
	othersShare   = 0.25 // share of bad pairs that other nodes or classes may have
	jointShare    = 0.2  // share of bad targets from which a decision waits
)

// faults holds explanations of evidence other than a gray target.
type faults struct {
	nodes   []time.Duration // by node: until when its evidence is ignored
	classes [fleet.NumClasses]time.Duration
	held    bool // most targets are bad at once
	joint   bool // several targets are bad at once
}

// source reports whether the node or class is at fault.
func (f *faults) source(now time.Duration, node uint16, class fleet.Class) bool {
	if int(node) < len(f.nodes) && now < f.nodes[node] {
		return true
	}
	return now < f.classes[class]
}

func (f *faults) explains(now time.Duration, s sample) bool {
	return f.source(now, s.node, s.class)
}

// tally counts targets used and targets bad for one node or class.
type tally struct {
	used int
	bad  int
	mark uint8 // of the target being counted: 1 used, 2 bad
}

func (y *tally) note(mark uint8) {
	if mark > y.mark {
		y.mark = mark
	}
}

func (y *tally) close() {
	if y.mark >= 1 {
		y.used++
	}
	if y.mark == 2 {
		y.bad++
	}
	y.mark = 0
}

// updateFaults looks for faulty nodes and classes and for a slow service.
func (c *Detector) updateFaults(now time.Duration) {
	if c.anySuspect(now) {
		c.findSources(now)
	}
	c.findHold(now)
}

func (c *Detector) anySuspect(now time.Duration) bool {
	for _, t := range c.order {
		if !t.ejected && c.total(now, t) >= gateScore {
			return true
		}
	}
	for _, until := range c.faults.classes {
		if now < until {
			return true
		}
	}
	for _, until := range c.faults.nodes {
		if now < until {
			return true
		}
	}
	return false
}

func (c *Detector) findSources(now time.Duration) {
	nodes := make([]tally, len(c.nodeZone))
	classes := make([]tally, fleet.NumClasses)
	for _, t := range c.order {
		if t.ejected {
			continue
		}
		c.tallyTarget(now, t, nodes, classes)
	}
	for len(c.faults.nodes) < len(nodes) {
		c.faults.nodes = append(c.faults.nodes, 0)
	}
	for i, at := range faulty(nodes) {
		if at {
			c.faults.nodes[i] = now + flagTime
			c.discount(func(s *sample) bool { return int(s.node) == i })
		}
	}
	for i, at := range faulty(classes) {
		if at {
			c.faults.classes[i] = now + flagTime
			c.discount(func(s *sample) bool { return int(s.class) == i })
		}
	}
}

// newest holds the newest good answers of two different sources.
type newest struct {
	id     int
	first  time.Duration // of source id
	second time.Duration // of any other source
}

func (n *newest) add(id int, at time.Duration) {
	switch {
	case id == n.id && at > n.first:
		n.first = at
	case id != n.id && at > n.first:
		n.id, n.first, n.second = id, at, n.first
	case id != n.id && at > n.second:
		n.second = at
	}
}

// others is the newest good answer of a source other than id.
func (n *newest) others(id int) time.Duration {
	if id == n.id {
		return n.second
	}
	return n.first
}

// tallyTarget notes the target for the nodes and classes that use it. It is bad
// for one of them only if another one got a good answer to a later request:
// otherwise the target itself may be bad.
func (c *Detector) tallyTarget(now time.Duration, t *target, nodes, classes []tally) {
	byNode, byClass := newest{id: -1}, newest{id: -1}
	for _, s := range t.good.since(c.scratch[:0], now-faultWindow) {
		nodes[s.node].note(1)
		classes[s.class].note(1)
		byNode.add(int(s.node), s.start)
		byClass.add(int(s.class), s.start)
	}
	note := func(s *sample) {
		nodes[s.node].note(badMark(byNode.others(int(s.node)), s.start))
		classes[s.class].note(badMark(byClass.others(int(s.class)), s.start))
	}
	for _, s := range t.bad.since(c.scratch[:0], now-faultWindow) {
		note(s)
	}
	for _, r := range t.open {
		if c.pendingLLR(now, r) >= badLLR {
			note(&sample{start: r.start, node: r.node, class: r.class})
		}
	}
	for i := range nodes {
		nodes[i].close()
	}
	for i := range classes {
		classes[i].close()
	}
}

func badMark(goodElsewhere, bad time.Duration) uint8 {
	if goodElsewhere > bad {
		return 2
	}
	return 1
}

// faulty returns which sources are bad at most of their targets while the
// other sources are not.
func faulty(sources []tally) []bool {
	out := make([]bool, len(sources))
	used, bad := 0, 0
	for _, s := range sources {
		used += s.used
		bad += s.bad
	}
	for i, s := range sources {
		others := used - s.used
		if others == 0 || s.bad < sourceTargets {
			continue
		}
		own := float64(s.bad) >= sourceShare*float64(s.used)
		rest := float64(bad-s.bad) < othersShare*float64(others)
		out[i] = own && rest
	}
	return out
}

// discount removes evidence that another fault explains from all scores.
func (c *Detector) discount(match func(*sample) bool) {
	for _, t := range c.order {
		for i := range t.bad.buf {
			s := &t.bad.buf[i]
			if s.weight == 0 || !match(s) {
				continue
			}
			t.score = max(0, t.score-float64(s.weight))
			s.weight = 0
		}
	}
}

// findHold compares the number of bad targets with that of targets in use.
func (c *Detector) findHold(now time.Duration) {
	used, bad, burst := 0, 0, 0
	for _, t := range c.order {
		if !t.ejected && !t.active(now) {
			continue
		}
		used++
		strong := c.burst(now, t)
		if strong && !t.ejected {
			burst++
		}
		if t.ejected || strong || c.total(now, t) >= c.tuning.Threshold/3 {
			bad++
		}
	}
	held := used >= 2 && 2*bad > used
	c.faults.joint = burst >= 2 && float64(burst) >= jointShare*float64(used)
	c.setHold(now, held)
}

func (c *Detector) setHold(now time.Duration, held bool) {
	if held {
		c.capScores()
	}
	if held == c.faults.held {
		return
	}
	c.faults.held = held
	kind := Resume
	if held {
		kind = Hold
	}
	c.decide(Decision{At: now, Kind: kind, Reason: "most targets of the service are bad at once"})
}

// capScores keeps evidence collected during a service-wide fault from ejecting
// the slowest targets when it ends.
func (c *Detector) capScores() {
	for _, t := range c.order {
		t.score = min(t.score, c.tuning.Threshold/2)
		t.crossing = false
	}
}

// burst reports a strongly bad request within the last moments.
func (c *Detector) burst(now time.Duration, t *target) bool {
	for i := range t.bad.buf {
		s := &t.bad.buf[i]
		if now-s.at <= burstWindow && s.weight >= strongLLR {
			return true
		}
	}
	for _, r := range t.open {
		if !r.trial && !c.faults.source(now, r.node, r.class) && c.pendingLLR(now, r) >= strongLLR {
			return true
		}
	}
	return false
}
