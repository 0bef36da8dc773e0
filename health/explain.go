package health

import "time"

const (
	sharedTargets = 3 // other targets at which a bad route shows
	witnessGoods  = 2 // good answers elsewhere that make a split between sources credible
	repeatBad     = 2 // bad requests of one node in a row that may be a link fault
)

// unexplained drops bad requests that a link fault or a bad route explains:
// their node, zone or class gets no good answer any more while others do.
func (c *Core) unexplained(now time.Duration, t *target, items []sample) []sample {
	rest := c.dropZones(t, items)
	rest = c.dropNodes(t, rest)
	return c.dropClasses(now, t, rest)
}

func zoneOf(s *sample) int  { return int(s.zone) }
func nodeOf(s *sample) int  { return int(s.node) }
func classOf(s *sample) int { return int(s.class) }

func (c *Core) dropZones(t *target, items []sample) []sample {
	return dropRuns(t, items, zoneOf, 1, 1)
}

func (c *Core) dropNodes(t *target, items []sample) []sample {
	return dropRuns(t, items, nodeOf, repeatBad, 2)
}

// dropRuns drops the bad requests of a source since its last good answer if
// there are at least least of them and sources without bad requests got
// goodsPerBad times as many good answers meanwhile.
func dropRuns(t *target, items []sample, source func(*sample) int, least, goodsPerBad int) []sample {
	var rest []sample
	for i := range items {
		id := source(&items[i])
		last := lastGood(t, source, id)
		first, n := run(items, source, id, last)
		inRun := items[i].start > last && n >= least
		if inRun && witnesses(t, items, source, first) >= max(witnessGoods, goodsPerBad*n) {
			continue
		}
		rest = append(rest, items[i])
	}
	return rest
}

// dropClasses drops bad requests of a class that is bad at several other
// targets too while other classes get good answers here.
func (c *Core) dropClasses(now time.Duration, t *target, items []sample) []sample {
	var rest []sample
	for i := range items {
		k := int(items[i].class)
		shared := c.sharedClass(now, t, k) >= sharedTargets
		if shared {
			first, _ := run(items, classOf, k, now-faultWindow)
			if witnesses(t, items, classOf, first) >= max(witnessGoods, len(items)) {
				continue
			}
		}
		rest = append(rest, items[i])
	}
	return rest
}

// sharedClass counts other targets with a recent bad request of the class.
func (c *Core) sharedClass(now time.Duration, t *target, class int) int {
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

// witnesses counts good answers since a time from sources without a bad one
// since then.
func witnesses(t *target, items []sample, source func(*sample) int, since time.Duration) int {
	n := 0
	for i := range t.good.buf {
		s := &t.good.buf[i]
		if s.start <= since {
			continue
		}
		if _, bad := run(items, source, source(s), since-1); bad == 0 {
			n++
		}
	}
	return n
}
