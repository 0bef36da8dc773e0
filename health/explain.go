package health

import (
	"slices"
	"time"
)

const (
	minSharedTargets = 3 // other targets at which a class must fail to count as a bad route
	goodSourceRatio  = 3 // good responses per bad one from which a source counts as good
	minGoodElsewhere = 2 // good responses of other sources needed to blame one source
	minNodeRun       = 2 // consecutive bad requests of one node that may be a link fault
)

// unexplained drops bad requests that a link fault or a bad route explains:
// their node, zone or class has stopped getting good responses while others
// still get them.
func (d *Detector) unexplained(now time.Duration, t *target, samples []sample) []sample {
	rest := d.dropZoneFaults(t, samples)
	rest = d.dropNodeFaults(t, rest)
	return d.dropClassFaults(now, t, rest)
}

func zoneOf(s *sample) int  { return int(s.zone) }
func nodeOf(s *sample) int  { return int(s.node) }
func classOf(s *sample) int { return int(s.class) }

func (d *Detector) dropZoneFaults(t *target, samples []sample) []sample {
	return dropLinkFaults(t, samples, zoneOf, 1, 0.5)
}

func (d *Detector) dropNodeFaults(t *target, samples []sample) []sample {
	return dropLinkFaults(t, samples, nodeOf, minNodeRun, 2)
}

// explanation says whether the bad requests of a source after a given time are
// due to another fault than the target's.
type explanation struct {
	id        int
	explained bool
	after     time.Duration
}

// dropLinkFaults drops the bad requests of a source since its last good
// response, if there are at least minRun of them and other sources got
// goodsPerBad times as many good responses meanwhile.
func dropLinkFaults(t *target, samples []sample, source func(*sample) int, minRun int, goodsPerBad float64) []sample {
	// A broken link loses or delays responses; it does not truncate them.
	others, rest := split(samples, func(s *sample) bool { return s.outcome != Truncated })
	return append(rest, dropSourceRuns(t, others, source, minRun, goodsPerBad)...)
}

func split(samples []sample, match func(*sample) bool) (yes, no []sample) {
	for i := range samples {
		if match(&samples[i]) {
			yes = append(yes, samples[i])
		} else {
			no = append(no, samples[i])
		}
	}
	return yes, no
}

func dropSourceRuns(t *target, samples []sample, source func(*sample) int, minRun int, goodsPerBad float64) []sample {
	return dropExplained(samples, source, func(id int) explanation {
		last := lastGood(t, source, id)
		first, n := runSince(samples, source, id, last)
		e := explanation{id: id, after: last}
		if n >= minRun {
			e.explained = goodElsewhere(t, samples, source, id, first) >= max(minGoodElsewhere, int(goodsPerBad*float64(n)))
		}
		return e
	})
}

// dropClassFaults drops bad requests of a class that also has strongly bad
// requests at several other targets, while other classes get good responses from
// this one.
func (d *Detector) dropClassFaults(now time.Duration, t *target, samples []sample) []sample {
	return dropExplained(samples, classOf, func(id int) explanation {
		e := explanation{id: id, after: now - faultWindow}
		if d.targetsFailingClass(now, t, id) < minSharedTargets {
			return e
		}
		first, n := runSince(samples, classOf, id, e.after)
		e.explained = n > 0 && goodElsewhere(t, samples, classOf, id, first) >= max(minGoodElsewhere, n)
		return e
	})
}

// dropExplained drops the bad requests of each source that explain returns an
// explanation for. It calls explain once per source.
func dropExplained(samples []sample, source func(*sample) int, explain func(id int) explanation) []sample {
	var known []explanation
	var rest []sample
	for i := range samples {
		id := source(&samples[i])
		k := slices.IndexFunc(known, func(e explanation) bool { return e.id == id })
		if k < 0 {
			k = len(known)
			known = append(known, explain(id))
		}
		if !known[k].explained || samples[i].start <= known[k].after {
			rest = append(rest, samples[i])
		}
	}
	return rest
}

// targetsFailingClass counts the other targets with a recent strongly bad
// request of the class.
func (d *Detector) targetsFailingClass(now time.Duration, t *target, class int) int {
	n := 0
	for _, o := range d.sortedTargets {
		if o == t {
			continue
		}
		for _, s := range o.bad.since(d.scratch[:0], now-faultWindow) {
			if int(s.class) == class && (s.llr >= strongLLR || s.llr == 0) {
				n++
				break
			}
		}
	}
	return n
}

// lastGood returns the start of the source's last request with a good
// response, or -1.
func lastGood(t *target, source func(*sample) int, id int) time.Duration {
	last := time.Duration(-1)
	for i := range t.good.buf {
		s := &t.good.buf[i]
		if source(s) == id {
			last = max(last, s.start)
		}
	}
	return last
}

// runSince returns the number of the source's bad requests after a time, and
// the start of the first one.
func runSince(samples []sample, source func(*sample) int, id int, after time.Duration) (first time.Duration, n int) {
	for i := range samples {
		s := &samples[i]
		if source(s) != id || s.start <= after {
			continue
		}
		if n == 0 || s.start < first {
			first = s.start
		}
		n++
	}
	return first, n
}

// goodElsewhere counts the good responses since a time from other sources that
// got clearly more good responses than bad ones since then.
func goodElsewhere(t *target, samples []sample, source func(*sample) int, id int, since time.Duration) int {
	n := 0
	for i := range t.good.buf {
		s := &t.good.buf[i]
		other := source(s)
		if s.start <= since || other == id {
			continue
		}
		_, bad := runSince(samples, source, other, since-1)
		if bad == 0 || goodSince(t, source, other, since) >= goodSourceRatio*bad {
			n++
		}
	}
	return n
}

func goodSince(t *target, source func(*sample) int, id int, since time.Duration) int {
	n := 0
	for i := range t.good.buf {
		if s := &t.good.buf[i]; s.start > since && source(s) == id {
			n++
		}
	}
	return n
}
