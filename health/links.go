package health

import (
	"time"
)

const (
	maxLinks       = 8192
	linkNodeFails  = 2 // failures in a row of one node
	linkZoneFails  = 3 // failures in a row of one zone, from two nodes at least
	linkBackoffMin = 2 * time.Second
	linkBackoffMax = 16 * time.Second
	linkForget     = 60 * time.Second // since the last failure
	linkGoodRatio  = 4                // good answers elsewhere per bad one
)

// linkKey names a source and a target. Zones are numbered after all nodes.
type linkKey struct {
	source int
	target string
}

// link counts failures between a source and a target since their last good
// answer.
type link struct {
	fails    int
	node     uint16 // of the first failure
	several  bool   // nodes failed
	first    time.Duration
	last     time.Duration
	withheld bool
	until    time.Duration // next trial
	backoff  time.Duration
}

type links struct {
	table  map[linkKey]*link
	pruned time.Duration
}

func newLinks() links { return links{table: map[linkKey]*link{}} }

func zoneSource(zone uint8) int { return maxNodes + int(zone) }

func (l *links) forget(t *target) {
	for k := range l.table {
		if k.target == t.id {
			delete(l.table, k)
		}
	}
}

// tick forgets links without a recent failure.
func (l *links) tick(now time.Duration) {
	if now-l.pruned < linkForget {
		return
	}
	l.pruned = now
	for k, p := range l.table {
		if now-p.last > linkForget && (!p.withheld || now > p.until+linkForget) {
			delete(l.table, k)
		}
	}
}

func (l *links) onAnswer(c *Detector, now time.Duration, r *request, s sample) {
	for _, source := range [...]int{int(r.node), zoneSource(r.zone)} {
		key := linkKey{source: source, target: r.target.id}
		if s.outcome == Error || s.outcome == Timeout {
			l.fail(c, now, key, r)
			continue
		}
		p := l.table[key]
		if p != nil && r.start >= p.first {
			delete(l.table, key)
			c.decideLink(now, Reconnect, key, p)
		}
	}
}

func (l *links) fail(c *Detector, now time.Duration, key linkKey, r *request) {
	p := l.table[key]
	if p == nil {
		if len(l.table) >= maxLinks {
			return
		}
		p = &link{first: r.start, node: r.node}
		l.table[key] = p
	}
	p.fails++
	p.last = now
	p.several = p.several || p.node != r.node
	if p.withheld {
		if r.start >= p.until-p.backoff {
			p.delay(now)
		}
		return
	}
	if l.broken(c, now, key, p, r) {
		p.withheld = true
		p.delay(now)
		c.decideLink(now, Withhold, key, p)
	}
}

func (p *link) delay(now time.Duration) {
	p.backoff = min(max(2*p.backoff, linkBackoffMin), linkBackoffMax)
	p.until = now + p.backoff
}

// broken reports that the source fails at the target while others do not, and
// that the source does not fail at most of its targets.
func (l *links) broken(c *Detector, now time.Duration, key linkKey, p *link, r *request) bool {
	if key.source < maxNodes && p.fails < linkNodeFails {
		return false
	}
	if key.source >= maxNodes && (p.fails < linkZoneFails || !p.several) {
		return false
	}
	if c.faults.source(now, r.node, r.class) || r.target.ejected || c.withheldBy(key.source)*2 >= len(c.order) {
		return false
	}
	good, bad := elsewhere(r.target, key.source, p.first)
	return good >= witnessGoods && good >= linkGoodRatio*bad
}

// elsewhere counts answers since a time that other zones got from the target,
// or other nodes if the source is a node.
func elsewhere(t *target, source int, since time.Duration) (good, bad int) {
	other := func(s *sample) bool {
		if source >= maxNodes {
			return zoneSource(s.zone) != source
		}
		return int(s.node) != source
	}
	for i := range t.good.buf {
		s := &t.good.buf[i]
		if s.start > since && other(s) {
			good++
		}
	}
	for i := range t.bad.buf {
		s := &t.bad.buf[i]
		if s.start > since && other(s) {
			bad++
		}
	}
	return good, bad
}

func (c *Detector) withheldBy(source int) int {
	n := 0
	for _, t := range c.order {
		p := c.links.table[linkKey{source: source, target: t.id}]
		if p != nil && p.withheld {
			n++
		}
	}
	return n
}

// linkAllows refuses work over a broken link but for one idempotent trial per
// backoff.
func (c *Detector) linkAllows(now time.Duration, node string, t *target, idempotent bool) bool {
	n, known := c.nodes.find(node)
	if !known || len(c.links.table) == 0 {
		return true
	}
	byNode := c.links.table[linkKey{source: n, target: t.id}]
	byZone := c.links.table[linkKey{source: zoneSource(c.nodeZone[n]), target: t.id}]
	if !byNode.open(now, idempotent) || !byZone.open(now, idempotent) {
		return false
	}
	byNode.use(now)
	byZone.use(now)
	return true
}

func (p *link) open(now time.Duration, idempotent bool) bool {
	return p == nil || !p.withheld || idempotent && now >= p.until
}

func (p *link) use(now time.Duration) {
	if p != nil && p.withheld {
		p.until = now + p.backoff
	}
}

func (c *Detector) decideLink(now time.Duration, k Kind, key linkKey, p *link) {
	if !p.withheld {
		return
	}
	d := Decision{At: now, Kind: k, Target: key.target, Reason: "link: other nodes get good answers"}
	d.Evidence = Evidence{Bad: p.fails, Failures: p.fails}
	if k == Reconnect {
		d.Reason = "a trial over the link was answered"
	}
	if key.source < maxNodes {
		d.Node = c.nodes.list[key.source]
	} else {
		d.Zone = c.zones.list[key.source-maxNodes]
	}
	c.decide(d)
}
