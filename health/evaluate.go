package health

import (
	"math"
	"time"

	"hyssopbridge/fleet"
)

// restShare is the share of the threshold that must remain when the evidence
// of any one node or any one zone is left out.
const restShare = 0.25

// pendingLLR is the evidence of an open request, never negative.
func (c *Detector) pendingLLR(now time.Duration, r *request) float64 {
	return math.Max(0, c.ref.latencyLLR(r.class, c.ageMS(now, r)))
}

// ageMS is the age of an open request in ms, corrected for a slow service.
func (c *Detector) ageMS(now time.Duration, r *request) float64 {
	return float64(now-r.start) / nanosPerMS / math.Exp(c.shift)
}

// total is the target's score including its open requests.
func (c *Detector) total(now time.Duration, t *target) float64 {
	if c.tuning.Method == Windowed {
		return c.windowTotal(now, t)
	}
	sum := t.score
	for _, r := range t.open {
		if c.countsPending(now, t, r) {
			sum += c.pendingLLR(now, r)
		}
	}
	return sum
}

// countsPending excludes open requests that another fault explains.
func (c *Detector) countsPending(now time.Duration, t *target, r *request) bool {
	return !t.cold.cold && !r.trial && !c.faults.source(now, r.node, r.class)
}

// windowTotal counts bad requests within the window, or 0 when their share of
// all requests is small.
func (c *Detector) windowTotal(now time.Duration, t *target) float64 {
	bad := 0
	for _, s := range t.bad.since(c.scratch[:0], now-windowSpan) {
		if s.weight > 0 {
			bad++
		}
	}
	for _, r := range t.open {
		if c.countsPending(now, t, r) && c.pendingLLR(now, r) >= badLLR {
			bad++
		}
	}
	good := len(t.good.since(c.scratch[:0], now-windowSpan))
	if float64(bad) < windowMin*float64(bad+good) {
		return 0
	}
	return float64(bad)
}

func (c *Detector) judgeAll(now time.Duration) {
	for _, t := range c.order {
		switch {
		case t.ejected || t.state != fleet.Ready:
		case t.condemned:
			c.judgeReduced(now, t)
		default:
			c.judge(now, t)
		}
	}
}

// judge condemns a target whose evidence no other fault explains.
func (c *Detector) judge(now time.Duration, t *target) {
	total := c.total(now, t)
	if total < c.tuning.Threshold {
		t.crossing = false
		return
	}
	if !t.crossing {
		t.crossing = true
		t.crossed = now
	}
	if c.faults.held || c.faults.joint && now-t.crossed < settleTime {
		return
	}
	items := c.items(now, t)
	rest := c.unexplained(now, t, items)
	if !c.enough(now, t, total, items, rest) || now-t.crossed < classSettle && c.mayBeClass(now, t, rest) {
		return
	}
	c.condemn(now, t, total, rest)
}

// items returns the bad requests that make up the target's evidence.
func (c *Detector) items(now time.Duration, t *target) []sample {
	var out []sample
	for _, s := range t.bad.buf {
		if s.weight > 0 && now-s.at <= badWindow {
			out = append(out, s)
		}
	}
	for _, r := range t.open {
		if !c.countsPending(now, t, r) {
			continue
		}
		llr := c.pendingLLR(now, r)
		if llr >= badLLR {
			s := c.sampleOf(now, r, OK, llr, c.ageMS(now, r))
			s.pending = true
			out = append(out, s)
		}
	}
	return out
}

// enough reports whether the unexplained evidence suffices by itself and does
// not rest on a single node or zone. Shares of the total are compared: the
// score is bounded and reduced by good answers, the bad requests are not.
func (c *Detector) enough(now time.Duration, t *target, total float64, all, rest []sample) bool {
	if len(rest) < c.minBad(rest) {
		return false
	}
	h := c.tuning.Threshold
	sum := c.weigh(rest)
	left := total * sum / c.weigh(all)
	if left < h {
		return false
	}
	need := h * restShare
	without := func(most float64) float64 { return left * (1 - most/sum) }
	if c.nodesInUse() > 1 && without(c.heaviest(rest, nodeOf)) < need && !c.uncontradicted(now, t, rest, nodeOf) {
		return false
	}
	return len(c.zones.list) <= 1 || without(c.heaviest(rest, zoneOf)) >= need || c.uncontradicted(now, t, rest, zoneOf)
}

// minBad returns how many bad requests an ejection needs. An answer that is cut
// off cannot come from a bad route or an overloaded observer.
func (c *Detector) minBad(rest []sample) int {
	for i := range rest {
		if rest[i].pending || rest[i].outcome != Truncated {
			return c.tuning.MinBad
		}
	}
	return min(c.tuning.MinBad, max(1, c.tuning.MinTruncated))
}

// mayBeClass reports whether a class may be at fault instead of the target: all
// failed answers are of one class that also failed at another target, while
// other classes got good answers here.
func (c *Detector) mayBeClass(now time.Duration, t *target, rest []sample) bool {
	failed := -1
	first := now
	for i := range rest {
		first = min(first, rest[i].start)
		switch {
		case rest[i].pending || rest[i].outcome == OK:
		case failed >= 0 && failed != int(rest[i].class):
			return false
		default:
			failed = int(rest[i].class)
		}
	}
	return failed >= 0 && c.othersGood(t, failed, first) && c.failsElsewhere(now, t, failed)
}

// othersGood reports whether another class got a good answer from the target to
// a request that started after first.
func (c *Detector) othersGood(t *target, class int, first time.Duration) bool {
	for _, s := range t.good.since(c.scratch[:0], first) {
		if int(s.class) != class && s.start >= first {
			return true
		}
	}
	return false
}

// failsElsewhere reports whether another target failed a request of the class.
func (c *Detector) failsElsewhere(now time.Duration, t *target, class int) bool {
	for _, other := range c.order {
		if other == t || other.ejected {
			continue
		}
		for _, s := range other.bad.since(c.scratch[:0], now-faultWindow) {
			if int(s.class) == class && s.outcome.failure() && s.outcome != Truncated {
				return true
			}
		}
	}
	return false
}

// uncontradicted reports whether the evidence may rest on one node or zone,
// because the others hardly use the target, as with routing that prefers the
// own zone: they have no more good than bad requests there. A broken link gives
// no answers, so at least half of the evidence must be answers.
func (c *Detector) uncontradicted(now time.Duration, t *target, rest []sample, source func(*sample) int) bool {
	user := c.heaviestSource(rest, source)
	answers, othersBad, othersGood := 0, 0, 0
	for i := range rest {
		if source(&rest[i]) != user {
			othersBad++
		}
		if !rest[i].pending && rest[i].outcome != Timeout {
			answers++
		}
	}
	for _, s := range t.good.since(c.scratch[:0], now-faultWindow) {
		if source(s) != user {
			othersGood++
		}
	}
	return 2*answers >= len(rest) && othersGood <= othersBad
}

// heaviestSource is the node or zone with the largest evidence.
func (c *Detector) heaviestSource(items []sample, source func(*sample) int) int {
	weights := map[int]float64{}
	best := source(&items[0])
	for i := range items {
		k := source(&items[i])
		weights[k] += float64(items[i].weight)
		if weights[k] > weights[best] {
			best = k
		}
	}
	return best
}

func (c *Detector) nodesInUse() int { return len(c.nodeZone) }

// weigh sums evidence in the unit of the method.
func (c *Detector) weigh(items []sample) float64 {
	if c.tuning.Method == Windowed {
		return float64(len(items))
	}
	sum := 0.0
	for _, s := range items {
		sum += float64(s.weight)
	}
	return sum
}

// heaviest is the largest evidence of one source.
func (c *Detector) heaviest(items []sample, source func(*sample) int) float64 {
	most := 0.0
	for i := range items {
		var own []sample
		for k := range items {
			if source(&items[k]) == source(&items[i]) {
				own = append(own, items[k])
			}
		}
		most = max(most, c.weigh(own))
	}
	return most
}
