package health

import (
	"fmt"
	"math"
	"time"
)

const (
	minReducedTime   = 2 * time.Second         // a target stays reduced for at least this long
	freshWindow      = 1500 * time.Millisecond // age of the bad requests that keep a reduced target a candidate for ejection
	minFreshBad      = 2                       // bad requests within freshWindow
	restoreQuietTime = 5 * time.Second         // time without a bad request that restores a reduced target
	restoreShare     = 0.25                    // of the threshold; a score below it restores a reduced target
)

// markUnhealthy marks the target unhealthy; rebalance decides whether the
// floor permits its ejection.
func (d *Detector) markUnhealthy(now time.Duration, t *target, total float64, samples []sample) {
	t.unhealthy = true
	t.ejection = ejectionState{
		since:    now,
		severity: severity(t, samples),
		fresh:    true,
		reason:   reasonFor(samples),
		evidence: d.summarize(t, total, samples),
	}
	t.probesFailed = 0
	d.rebalance(now)
	if !t.ejected {
		d.emitFor(now, Reduce, t, t.ejection.reason+"; the floor keeps it in service")
	}
}

// severity ranks unhealthy targets: it is the share of bad requests since the
// first one, times one plus their mean slowness. Failed responses count as the
// slowest.
func severity(t *target, samples []sample) float64 {
	if len(samples) == 0 {
		return 0
	}
	first := samples[0].start
	slowness := 0.0
	for _, s := range samples {
		first = min(first, s.start)
		slowness += float64(s.slowness)
	}
	bad := float64(len(samples))
	good := 0.0
	for i := range t.good.buf {
		if t.good.buf[i].start >= first {
			good++
		}
	}
	return bad / (bad + good) * (1 + math.Max(0, slowness/bad))
}

// evaluateReduced restores a target that the floor kept in service once its score
// is low or it has had no bad request for restoreQuietTime.
func (d *Detector) evaluateReduced(now time.Duration, t *target) {
	total := d.totalScore(now, t)
	samples := d.badSamples(now, t)
	t.ejection.severity = severity(t, samples)
	t.ejection.fresh = total >= d.tuning.Threshold && countRecent(samples, now, freshWindow) >= minFreshBad
	subsided := total < restoreShare*d.tuning.Threshold || countRecent(samples, now, restoreQuietTime) == 0
	if !subsided || now-t.ejection.since < minReducedTime {
		return
	}
	t.resetEvidence()
	t.unhealthy = false
	d.emitFor(now, Restore, t, "evidence is gone")
}

func countRecent(samples []sample, now, span time.Duration) int {
	n := 0
	for _, s := range samples {
		if now-s.start <= span {
			n++
		}
	}
	return n
}

func (d *Detector) summarize(t *target, total float64, samples []sample) Evidence {
	e := Evidence{
		Score:        total,
		Threshold:    d.tuning.Threshold,
		Bad:          len(samples),
		Slowness:     math.Exp(t.slowness - d.slowdown),
		FailedProbes: t.probesFailed,
	}
	for i, s := range samples {
		if s.pending {
			e.Pending++
		}
		if s.outcome.failure() {
			e.Failures++
		}
		if firstIndex(samples, nodeOf, int(s.node)) == i {
			e.Nodes++
		}
		if firstIndex(samples, zoneOf, int(s.zone)) == i {
			e.Zones++
		}
	}
	return e
}

func firstIndex(samples []sample, source func(*sample) int, id int) int {
	for i := range samples {
		if source(&samples[i]) == id {
			return i
		}
	}
	return -1
}

// reasonFor names the most frequent kind of bad request.
func reasonFor(samples []sample) string {
	names := [...]string{"slow", "errors", "timeouts", "truncated answers", "open requests overdue"}
	var counts [len(names)]int
	for _, s := range samples {
		switch {
		case s.pending:
			counts[4]++
		case s.outcome == Error:
			counts[1]++
		case s.outcome == Timeout:
			counts[2]++
		case s.outcome == Truncated:
			counts[3]++
		default:
			counts[0]++
		}
	}
	best := 0
	for i, n := range counts {
		if n > counts[best] {
			best = i
		}
	}
	return fmt.Sprintf("%s: %d of %d bad requests", names[best], counts[best], len(samples))
}

func (d *Detector) emitFor(now time.Duration, k Kind, t *target, reason string) {
	d.emit(Decision{At: now, Kind: k, Target: t.id, Reason: reason, Evidence: t.ejection.evidence})
}
