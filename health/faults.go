package health

import (
	"time"

	"hyssopbridge/fleet"
)

const (
	minFaultTargets = 3    // bad targets from which a node or class may be at fault
	faultShare      = 0.5  // share of its targets that must be bad for a faulty node or class
	maxOthersShare  = 0.25 // share of bad targets below which the other nodes or classes count as good
	burstShare      = 0.2  // share of suddenly bad targets that delays decisions
)

// faults holds explanations of bad requests other than a failing target.
type faults struct {
	nodes       []time.Duration // until when observations of each node are ignored
	classes     [fleet.NumClasses]time.Duration
	serviceWide bool // most targets are bad at once; no target is ejected
	burst       bool // several targets turned bad at once; decisions wait for burstDelay
}

// atFault reports whether the node or class is at fault.
func (f *faults) atFault(now time.Duration, node uint16, class fleet.Class) bool {
	if int(node) < len(f.nodes) && now < f.nodes[node] {
		return true
	}
	return now < f.classes[class]
}

func (f *faults) explains(now time.Duration, s sample) bool {
	return f.atFault(now, s.node, s.class)
}

// tally counts the targets that one node or class uses, and those that are bad
// for it.
type tally struct {
	used int
	bad  int
	mark uint8 // for the target being counted: 1 used, 2 bad
}

func (t *tally) note(mark uint8) {
	if mark > t.mark {
		t.mark = mark
	}
}

func (t *tally) close() {
	if t.mark >= 1 {
		t.used++
	}
	if t.mark == 2 {
		t.bad++
	}
	t.mark = 0
}

// updateFaults looks for faulty nodes, faulty classes and a service-wide
// fault.
func (d *Detector) updateFaults(now time.Duration) {
	if d.anySuspect(now) {
		d.findFaultySources(now)
	}
	d.findServiceFault(now)
}

func (d *Detector) anySuspect(now time.Duration) bool {
	for _, t := range d.sortedTargets {
		if !t.ejected && d.totalScore(now, t) >= suspectScore {
			return true
		}
	}
	for _, until := range d.faults.classes {
		if now < until {
			return true
		}
	}
	for _, until := range d.faults.nodes {
		if now < until {
			return true
		}
	}
	return false
}

func (d *Detector) findFaultySources(now time.Duration) {
	nodes := make([]tally, len(d.nodeZones))
	classes := make([]tally, fleet.NumClasses)
	for _, t := range d.sortedTargets {
		if t.ejected {
			continue
		}
		d.tallyTarget(now, t, nodes, classes)
	}
	for len(d.faults.nodes) < len(nodes) {
		d.faults.nodes = append(d.faults.nodes, 0)
	}
	for i, isFaulty := range faulty(nodes) {
		if isFaulty {
			d.faults.nodes[i] = now + faultLifetime
			d.discount(func(s *sample) bool { return int(s.node) == i })
		}
	}
	for i, isFaulty := range faulty(classes) {
		if isFaulty {
			d.faults.classes[i] = now + faultLifetime
			d.discount(func(s *sample) bool { return int(s.class) == i })
		}
	}
}

// newestTwo holds the start of the newest request with a good response, and
// that of the newest one from any other source.
type newestTwo struct {
	id     int
	first  time.Duration // of source id
	second time.Duration // of any other source
}

func (n *newestTwo) add(id int, at time.Duration) {
	switch {
	case id == n.id && at > n.first:
		n.first = at
	case id != n.id && at > n.first:
		n.id, n.first, n.second = id, at, n.first
	case id != n.id && at > n.second:
		n.second = at
	}
}

// others returns the start of the newest request with a good response of a source
// other than id.
func (n *newestTwo) others(id int) time.Duration {
	if id == n.id {
		return n.second
	}
	return n.first
}

// tallyTarget counts the target for the nodes and classes that use it. It is
// bad for one of them only if another one got a good response to a later
// request: otherwise the target itself may be bad.
func (d *Detector) tallyTarget(now time.Duration, t *target, nodes, classes []tally) {
	byNode, byClass := newestTwo{id: -1}, newestTwo{id: -1}
	for _, s := range t.good.since(d.scratch[:0], now-faultWindow) {
		nodes[s.node].note(1)
		classes[s.class].note(1)
		byNode.add(int(s.node), s.start)
		byClass.add(int(s.class), s.start)
	}
	note := func(s *sample) {
		nodes[s.node].note(badMark(byNode.others(int(s.node)), s.start))
		classes[s.class].note(badMark(byClass.others(int(s.class)), s.start))
	}
	for _, s := range t.bad.since(d.scratch[:0], now-faultWindow) {
		note(s)
	}
	for _, r := range t.open {
		if d.pendingLLR(now, r) >= badLLR {
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

// badMark returns the mark of a bad request: 2 if a request of another source that
// started later got a good response, else 1.
func badMark(laterGood, bad time.Duration) uint8 {
	if laterGood > bad {
		return 2
	}
	return 1
}

// faulty reports for each source whether it is bad at most of its targets
// while the other sources are not.
func faulty(sources []tally) []bool {
	out := make([]bool, len(sources))
	used, bad := 0, 0
	for _, s := range sources {
		used += s.used
		bad += s.bad
	}
	for i, s := range sources {
		others := used - s.used
		if others == 0 || s.bad < minFaultTargets {
			continue
		}
		own := float64(s.bad) >= faultShare*float64(s.used)
		rest := float64(bad-s.bad) < maxOthersShare*float64(others)
		out[i] = own && rest
	}
	return out
}

// discount removes the matching bad requests, which another fault explains, from
// all scores.
func (d *Detector) discount(match func(*sample) bool) {
	for _, t := range d.sortedTargets {
		for i := range t.bad.buf {
			s := &t.bad.buf[i]
			if s.llr == 0 || !match(s) {
				continue
			}
			t.score = max(0, t.score-float64(s.llr))
			s.llr = 0
		}
	}
}

// findServiceFault compares the number of bad targets with the number in use.
func (d *Detector) findServiceFault(now time.Duration) {
	used, bad, burst := 0, 0, 0
	for _, t := range d.sortedTargets {
		if !t.ejected && !t.active(now) {
			continue
		}
		used++
		strong := d.hasStrongBad(now, t)
		if strong && !t.ejected {
			burst++
		}
		if t.ejected || strong || d.totalScore(now, t) >= d.tuning.Threshold/3 {
			bad++
		}
	}
	serviceWide := used >= 2 && 2*bad > used
	d.faults.burst = burst >= 2 && float64(burst) >= burstShare*float64(used)
	d.setServiceFault(now, serviceWide)
}

func (d *Detector) setServiceFault(now time.Duration, found bool) {
	if found {
		d.capScores()
	}
	if found == d.faults.serviceWide {
		return
	}
	d.faults.serviceWide = found
	kind := Resume
	if found {
		kind = Hold
	}
	d.emit(Decision{At: now, Kind: kind, Reason: "most targets of the service are bad at once"})
}

// capScores limits the scores during a service-wide fault. Otherwise the
// evidence collected meanwhile would eject the slowest targets when it ends.
func (d *Detector) capScores() {
	for _, t := range d.sortedTargets {
		t.score = min(t.score, d.tuning.Threshold/2)
		t.aboveThreshold = false
	}
}

// hasStrongBad reports whether the target has a strongly bad request that is
// still open or was seen within burstWindow.
func (d *Detector) hasStrongBad(now time.Duration, t *target) bool {
	for i := range t.bad.buf {
		s := &t.bad.buf[i]
		if now-s.at <= burstWindow && s.llr >= strongLLR {
			return true
		}
	}
	for _, r := range t.open {
		if !r.trial && !d.faults.atFault(now, r.node, r.class) && d.pendingLLR(now, r) >= strongLLR {
			return true
		}
	}
	return false
}
