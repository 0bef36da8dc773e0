package health

import (
	"fmt"
	"math"
	"time"
)

const (
	reduceMin    = 2 * time.Second         // shortest time that a reduced target stays reduced
	freshTime    = 1500 * time.Millisecond // age of the bad requests that keep a reduced target a candidate
	freshBad     = 2
	calmSpan     = 5 * time.Second // without a bad request, after which a reduced target is restored
	restoreShare = 0.25            // of the threshold; evidence below it restores a reduced target
)

// condemn marks the target unhealthy; rebalance decides whether the floor
// permits its ejection.
func (c *Detector) condemn(now time.Duration, t *target, total float64, items []sample) {
	t.condemned = true
	t.ejection = ejectionState{
		since:    now,
		weight:   severity(t, items),
		fresh:    true,
		reason:   reasonFor(items),
		evidence: c.evidenceOf(t, total, items),
	}
	t.probesFail = 0
	c.rebalance(now)
	if !t.ejected {
		c.decideAbout(now, Reduce, t, t.ejection.reason+"; the floor keeps it in service")
	}
}

// severity orders condemned targets: the share of bad requests since the first
// one, times one plus their mean slowness. Failed answers count as the highest
// slowness.
func severity(t *target, items []sample) float64 {
	if len(items) == 0 {
		return 0
	}
	first := items[0].start
	level := 0.0
	for _, s := range items {
		first = min(first, s.start)
		level += float64(s.level)
	}
	bad := float64(len(items))
	good := 0.0
	for i := range t.good.buf {
		if t.good.buf[i].start >= first {
			good++
		}
	}
	return bad / (bad + good) * (1 + math.Max(0, level/bad))
}

// judgeReduced restores a target that the floor kept in service once its
// evidence is gone.
func (c *Detector) judgeReduced(now time.Duration, t *target) {
	total := c.total(now, t)
	items := c.items(now, t)
	t.ejection.weight = severity(t, items)
	t.ejection.fresh = total >= c.tuning.Threshold && recent(items, now, freshTime) >= freshBad
	calm := total < restoreShare*c.tuning.Threshold || recent(items, now, calmSpan) == 0
	if !calm || now-t.ejection.since < reduceMin {
		return
	}
	t.resetEvidence()
	t.condemned = false
	c.decideAbout(now, Restore, t, "evidence is gone")
}

func recent(items []sample, now, span time.Duration) int {
	n := 0
	for _, s := range items {
		if now-s.start <= span {
			n++
		}
	}
	return n
}

func (c *Detector) evidenceOf(t *target, total float64, items []sample) Evidence {
	e := Evidence{
		Score:        total,
		Threshold:    c.tuning.Threshold,
		Bad:          len(items),
		Slowness:     math.Exp(t.level - c.shift),
		FailedProbes: t.probesFail,
	}
	for i, s := range items {
		if s.pending {
			e.Pending++
		}
		if s.outcome.failure() {
			e.Failures++
		}
		if firstIndex(items, nodeOf, int(s.node)) == i {
			e.Nodes++
		}
		if firstIndex(items, zoneOf, int(s.zone)) == i {
			e.Zones++
		}
	}
	return e
}

func firstIndex(items []sample, source func(*sample) int, id int) int {
	for i := range items {
		if source(&items[i]) == id {
			return i
		}
	}
	return -1
}

// reasonFor names the most frequent kind of bad request.
func reasonFor(items []sample) string {
	names := [...]string{"slow", "errors", "timeouts", "truncated answers", "open requests overdue"}
	var counts [len(names)]int
	for _, s := range items {
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
	return fmt.Sprintf("%s: %d of %d bad requests", names[best], counts[best], len(items))
}

func (c *Detector) decideAbout(now time.Duration, k Kind, t *target, reason string) {
	c.decide(Decision{At: now, Kind: k, Target: t.id, Reason: reason, Evidence: t.ejection.evidence})
}
