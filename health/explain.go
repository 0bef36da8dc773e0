package health

import "time"

const (
	witnessGoods = 2 // good answers elsewhere that make a split between sources credible
	repeatBad    = 2 // bad requests of one node in a row that may be a link fault
)

// unexplained drops bad requests that a link fault explains: their node or
// zone gets no good answer any more while others do.
func (c *Core) unexplained(t *target, items []sample) []sample {
	rest := c.dropZones(t, items)
	return c.dropNodes(t, rest)
}

func zoneOf(s *sample) int { return int(s.zone) }
func nodeOf(s *sample) int { return int(s.node) }

func (c *Core) dropZones(t *target, items []sample) []sample {
	var rest []sample
	for i := range items {
		cut := c.isCut(t, items, zoneOf, int(items[i].zone))
		if cut && witnesses(t, items, zoneOf, firstBad(items, zoneOf, int(items[i].zone))) >= witnessGoods {
			continue
		}
		rest = append(rest, items[i])
	}
	return rest
}

func (c *Core) dropNodes(t *target, items []sample) []sample {
	var rest []sample
	for i := range items {
		n := int(items[i].node)
		bad := count(items, nodeOf, n)
		cut := bad >= repeatBad && c.isCut(t, items, nodeOf, n)
		if cut && witnesses(t, items, nodeOf, firstBad(items, nodeOf, n)) >= 2*len(items) {
			continue
		}
		rest = append(rest, items[i])
	}
	return rest
}

// isCut reports that the source got no good answer to a request sent after its
// first bad one.
func (c *Core) isCut(t *target, items []sample, source func(*sample) int, id int) bool {
	first := firstBad(items, source, id)
	for i := range t.good.buf {
		s := &t.good.buf[i]
		if source(s) == id && s.start > first {
			return false
		}
	}
	return true
}

// witnesses counts good answers since a time from sources without any bad one.
func witnesses(t *target, items []sample, source func(*sample) int, since time.Duration) int {
	n := 0
	for i := range t.good.buf {
		s := &t.good.buf[i]
		if s.start > since && count(items, source, source(s)) == 0 {
			n++
		}
	}
	return n
}

func firstBad(items []sample, source func(*sample) int, id int) time.Duration {
	first := time.Duration(-1)
	for i := range items {
		s := &items[i]
		if source(s) == id && (first < 0 || s.start < first) {
			first = s.start
		}
	}
	return first
}

func count(items []sample, source func(*sample) int, id int) int {
	n := 0
	for i := range items {
		if source(&items[i]) == id {
			n++
		}
	}
	return n
}
