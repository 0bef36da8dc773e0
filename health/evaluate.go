package health

import (
	"math"
	"time"

	"hyssopbridge/fleet"
)

// leaveOneOutShare is the share of the threshold that must remain after the
// evidence of any one node or zone is left out.
const leaveOneOutShare = 0.25

// pendingLLR returns the log-likelihood ratio of an open request at its current
// age, at least 0.
func (d *Detector) pendingLLR(now time.Duration, r *request) float64 {
	return math.Max(0, d.baseline.latencyLLR(r.class, d.adjustedAgeMS(now, r)))
}

// adjustedAgeMS returns the age of an open request in ms, corrected for the
// service's slowdown.
func (d *Detector) adjustedAgeMS(now time.Duration, r *request) float64 {
	return float64(now-r.start) / nanosPerMS / math.Exp(d.slowdown)
}

// totalScore returns the target's score including its open requests.
func (d *Detector) totalScore(now time.Duration, t *target) float64 {
	if d.tuning.Method == Windowed {
		return d.windowScore(now, t)
	}
	sum := t.score
	for _, r := range t.open {
		if d.countsPending(now, t, r) {
			sum += d.pendingLLR(now, r)
		}
	}
	return sum
}

// countsPending reports whether an open request counts towards the target's
// score. Cold starts, trial requests and requests from a faulty node or class
// are excluded.
func (d *Detector) countsPending(now time.Duration, t *target, r *request) bool {
	return !t.coldStart.active && !r.trial && !d.faults.atFault(now, r.node, r.class)
}

// windowScore returns the number of bad requests in the window, or 0 if they
// are too small a share of all requests.
func (d *Detector) windowScore(now time.Duration, t *target) float64 {
	bad := 0
	for _, s := range t.bad.since(d.scratch[:0], now-windowSpan) {
		if s.llr > 0 {
			bad++
		}
	}
	for _, r := range t.open {
		if d.countsPending(now, t, r) && d.pendingLLR(now, r) >= badLLR {
			bad++
		}
	}
	good := len(t.good.since(d.scratch[:0], now-windowSpan))
	if float64(bad) < windowMinShare*float64(bad+good) {
		return 0
	}
	return float64(bad)
}

func (d *Detector) evaluateAll(now time.Duration) {
	for _, t := range d.sortedTargets {
		switch {
		case t.ejected || t.state != fleet.Ready:
		case t.unhealthy:
			d.evaluateReduced(now, t)
		default:
			d.evaluate(now, t)
		}
	}
}

// evaluate marks a target unhealthy if its score crosses the threshold and no
// other fault explains the evidence.
func (d *Detector) evaluate(now time.Duration, t *target) {
	total := d.totalScore(now, t)
	if total < d.tuning.Threshold {
		t.aboveThreshold = false
		return
	}
	if !t.aboveThreshold {
		t.aboveThreshold = true
		t.crossedAt = now
	}
	if d.faults.serviceWide || d.faults.burst && now-t.crossedAt < burstDelay {
		return
	}
	samples := d.badSamples(now, t)
	rest := d.unexplained(now, t, samples)
	if !d.sufficient(now, t, total, samples, rest) || now-t.crossedAt < classFaultDelay && d.mayBeClassFault(now, t, rest) {
		return
	}
	d.markUnhealthy(now, t, total, rest)
}

// badSamples returns the bad requests, completed and open, that make up the
// target's evidence.
func (d *Detector) badSamples(now time.Duration, t *target) []sample {
	var out []sample
	for _, s := range t.bad.buf {
		if s.llr > 0 && now-s.at <= badWindow {
			out = append(out, s)
		}
	}
	for _, r := range t.open {
		if !d.countsPending(now, t, r) {
			continue
		}
		llr := d.pendingLLR(now, r)
		if llr >= badLLR {
			s := d.sampleOf(now, r, OK, llr, d.adjustedAgeMS(now, r))
			s.pending = true
			out = append(out, s)
		}
	}
	return out
}

// sufficient reports whether the unexplained evidence suffices by itself and
// does not come from a single node or zone. It compares shares of the total,
// because the score is bounded and lowered by good responses while the list of
// bad requests is not.
func (d *Detector) sufficient(now time.Duration, t *target, total float64, all, rest []sample) bool {
	if len(rest) < d.minBad(rest) {
		return false
	}
	threshold := d.tuning.Threshold
	sum := d.totalWeight(rest)
	left := total * sum / d.totalWeight(all)
	if left < threshold {
		return false
	}
	need := threshold * leaveOneOutShare
	without := func(most float64) float64 { return left * (1 - most/sum) }
	if d.nodesInUse() > 1 && without(d.maxSourceWeight(rest, nodeOf)) < need && !d.uncontradicted(now, t, rest, nodeOf) {
		return false
	}
	return len(d.zones.list) <= 1 || without(d.maxSourceWeight(rest, zoneOf)) >= need || d.uncontradicted(now, t, rest, zoneOf)
}

// minBad returns how many bad requests an ejection needs. Fewer suffice if all
// are truncated responses: neither a bad route nor an overloaded node
// truncates a response.
func (d *Detector) minBad(rest []sample) int {
	for i := range rest {
		if rest[i].pending || rest[i].outcome != Truncated {
			return d.tuning.MinBad
		}
	}
	return min(d.tuning.MinBad, max(1, d.tuning.MinTruncated))
}

// mayBeClassFault reports whether a class may be at fault instead of the
// target: all failed responses are of one class that also failed at another
// target, while other classes got good responses here.
func (d *Detector) mayBeClassFault(now time.Duration, t *target, rest []sample) bool {
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
	return failed >= 0 && d.otherClassesGood(t, failed, first) && d.classFailsElsewhere(now, t, failed)
}

// otherClassesGood reports whether another class got a good response from the
// target to a request that started after first.
func (d *Detector) otherClassesGood(t *target, class int, first time.Duration) bool {
	for _, s := range t.good.since(d.scratch[:0], first) {
		if int(s.class) != class && s.start >= first {
			return true
		}
	}
	return false
}

// classFailsElsewhere reports whether a request of the class failed at another
// target.
func (d *Detector) classFailsElsewhere(now time.Duration, t *target, class int) bool {
	for _, other := range d.sortedTargets {
		if other == t || other.ejected {
			continue
		}
		for _, s := range other.bad.since(d.scratch[:0], now-faultWindow) {
			if int(s.class) == class && s.outcome.failure() && s.outcome != Truncated {
				return true
			}
		}
	}
	return false
}

// uncontradicted reports whether evidence from a single node or zone suffices,
// because the others hardly use the target, as with routing that prefers the
// local zone: they saw no more good than bad requests there. A broken link
// delivers no responses, so at least half of the bad requests must have got
// one.
func (d *Detector) uncontradicted(now time.Duration, t *target, rest []sample, source func(*sample) int) bool {
	dominant := d.dominantSource(rest, source)
	responses, othersBad, othersGood := 0, 0, 0
	for i := range rest {
		if source(&rest[i]) != dominant {
			othersBad++
		}
		if !rest[i].pending && rest[i].outcome != Timeout {
			responses++
		}
	}
	for _, s := range t.good.since(d.scratch[:0], now-faultWindow) {
		if source(s) != dominant {
			othersGood++
		}
	}
	return 2*responses >= len(rest) && othersGood <= othersBad
}

// dominantSource returns the node or zone with the most evidence.
func (d *Detector) dominantSource(samples []sample, source func(*sample) int) int {
	weights := map[int]float64{}
	best := source(&samples[0])
	for i := range samples {
		k := source(&samples[i])
		weights[k] += float64(samples[i].llr)
		if weights[k] > weights[best] {
			best = k
		}
	}
	return best
}

func (d *Detector) nodesInUse() int { return len(d.nodeZones) }

// totalWeight adds up evidence in the unit of the method: nats or requests.
func (d *Detector) totalWeight(samples []sample) float64 {
	if d.tuning.Method == Windowed {
		return float64(len(samples))
	}
	sum := 0.0
	for _, s := range samples {
		sum += float64(s.llr)
	}
	return sum
}

// maxSourceWeight returns the largest evidence of any one source.
func (d *Detector) maxSourceWeight(samples []sample, source func(*sample) int) float64 {
	most := 0.0
	for i := range samples {
		var own []sample
		for k := range samples {
			if source(&samples[k]) == source(&samples[i]) {
				own = append(own, samples[k])
			}
		}
		most = max(most, d.totalWeight(own))
	}
	return most
}
