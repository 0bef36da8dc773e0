package health

import (
	"slices"
	"time"
)

const (
	sharedTargets = 3 // other targets at which a bad route shows
	witnessRatio  = 3 // good answers per bad one of a source that counts as good
	witnessGoods  = 2 // good answers elsewhere that make a split between sources credible
	repeatBad     = 2 // bad requests of one node in a row that may be a link fault
)

// unexplained drops bad requests that a link fault or a bad route explains:
// their node, zone or class gets no good answer any more while others do.
func (c *Detector) unexplained(now time.Duration, t *target, items []sample) []sample {
	rest := c.dropZones(t, items)
	rest = c.dropNodes(t, rest)
	return c.dropClasses(now, t, rest)
}

func zoneOf(s *sample) int  { return int(s.zone) }
func nodeOf(s *sample) int  { return int(s.node) }
func classOf(s *sample) int { return int(s.class) }

func (c *Detector) dropZones(t *target, items []sample) []sample {
	return dropRuns(t, items, zoneOf, 1, 0.5)
}

func (c *Detector) dropNodes(t *target, items []sample) []sample {
	return dropRuns(t, items, nodeOf, repeatBad, 2)
}

// verdict is a source whose bad requests after a time are explained.
type verdict struct {
	id        int
	explained bool
	after     time.Duration
}

// dropRuns drops the bad requests of a source since its last good answer if
// there are at least least of them and other sources got goodsPerBad times as
// many good answers meanwhile.
func dropRuns(t *target, items []sample, source func(*sample) int, least int, goodsPerBad float64) []sample {
	// A broken link loses or delays answers; it does not truncate them.
	cut, rest := split(items, func(s *sample) bool { return s.outcome != Truncated })
	return append(rest, dropCut(t, cut, source, least, goodsPerBad)...)
}

func split(items []sample, match func(*sample) bool) (yes, no []sample) {
	for i := range items {
		if match(&items[i]) {
			yes = append(yes, items[i])
		} else {
			no = append(no, items[i])
		}
	}
	return yes, no
}

func dropCut(t *target, items []sample, source func(*sample) int, least int, goodsPerBad float64) []sample {
	return dropExplained(items, source, func(id int) verdict {
		last := lastGood(t, source, id)
		first, n := run(items, source, id, last)
		v := verdict{id: id, after: last}
		if n >= least {
			v.explained = witnesses(t, items, source, id, first) >= max(witnessGoods, int(goodsPerBad*float64(n)))
		}
		return v
	})
}

// dropClasses drops bad requests of a class that is bad at several other
// targets too while other classes get good answers here.
func (c *Detector) dropClasses(now time.Duration, t *target, items []sample) []sample {
	return dropExplained(items, classOf, func(id int) verdict {
		v := verdict{id: id, after: now - faultWindow}
		if c.sharedClass(now, t, id) < sharedTargets {
			return v
		}
		first, n := run(items, classOf, id, v.after)
		v.explained = n > 0 && witnesses(t, items, classOf, id, first) >= max(witnessGoods, n)
		return v
	})
}

// dropExplained judges each source once.
func dropExplained(items []sample, source func(*sample) int, judge func(id int) verdict) []sample {
	var known []verdict
	var rest []sample
	for i := range items {
		id := source(&items[i])
		k := slices.IndexFunc(known, func(v verdict) bool { return v.id == id })
		if k < 0 {
			k = len(known)
			known = append(known, judge(id))
		}
		if !known[k].explained || items[i].start <= known[k].after {
			rest = append(rest, items[i])
		}
	}
	return rest
}

// sharedClass counts other targets with a recent bad request of the class.
func (c *Detector) sharedClass(now time.Duration, t *target, class int) int {
	n := 0
	for _, o := range c.order {
		if o == t {
			continue
		}
		for _, s := range o.bad.since(c.scratch[:0], now-faultWindow) {
			if int(s.class) == class && (s.weight >= strongLLR || s.weight == 0) {
				n++
				break
			}
		}
	}
	return n
}

// lastGood is the start of the source's last request with a good answer, -1 if
// there is none.
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

// run returns the first start and the number of the source's bad requests
// after a time.
func run(items []sample, source func(*sample) int, id int, after time.Duration) (first time.Duration, n int) {
	for i := range items {
		s := &items[i]
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

// witnesses counts good answers since a time from other sources that got
// clearly more good answers than bad ones since then.
func witnesses(t *target, items []sample, source func(*sample) int, id int, since time.Duration) int {
	n := 0
	for i := range t.good.buf {
		s := &t.good.buf[i]
		other := source(s)
		if s.start <= since || other == id {
			continue
		}
		_, bad := run(items, source, other, since-1)
		if bad == 0 || goods(t, source, other, since) >= witnessRatio*bad {
			n++
		}
	}
	return n
}

func goods(t *target, source func(*sample) int, id int, since time.Duration) int {
	n := 0
	for i := range t.good.buf {
		if s := &t.good.buf[i]; s.start > since && source(s) == id {
			n++
		}
	}
	return n
}
