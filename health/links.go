package health

import (
	"time"
)

const (
	maxLinks       = 8192
	linkNodeFails  = 2 // consecutive failures of one node
	linkZoneFails  = 3 // consecutive failures of one zone, from at least two nodes
	linkBackoffMin = 2 * time.Second
	linkBackoffMax = 16 * time.Second
	linkExpiry     = 60 * time.Second // since the last failure
	linkGoodRatio  = 4                // good responses from elsewhere per bad one
)

// linkKey identifies the link from a node or zone to a target. Zones are
// numbered after all nodes.
type linkKey struct {
	source int
	target string
}

// link counts failures over a link since its last good response.
type link struct {
	failures      int
	node          uint16 // of the first failure
	multipleNodes bool   // more than one node failed
	first         time.Duration
	last          time.Duration
	withheld      bool
	until         time.Duration // time of the next trial request
	backoff       time.Duration
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

// prune forgets links without a recent failure.
func (l *links) prune(now time.Duration) {
	if now-l.pruned < linkExpiry {
		return
	}
	l.pruned = now
	for k, lk := range l.table {
		if now-lk.last > linkExpiry && (!lk.withheld || now > lk.until+linkExpiry) {
			delete(l.table, k)
		}
	}
}

func (l *links) onResponse(d *Detector, now time.Duration, r *request, s sample) {
	for _, source := range [...]int{int(r.node), zoneSource(r.zone)} {
		key := linkKey{source: source, target: r.target.id}
		if s.outcome == Error || s.outcome == Timeout {
			l.fail(d, now, key, r)
			continue
		}
		lk := l.table[key]
		if lk != nil && r.start >= lk.first {
			delete(l.table, key)
			d.emitLink(now, Reconnect, key, lk)
		}
	}
}

func (l *links) fail(d *Detector, now time.Duration, key linkKey, r *request) {
	lk := l.table[key]
	if lk == nil {
		if len(l.table) >= maxLinks {
			return
		}
		lk = &link{first: r.start, node: r.node}
		l.table[key] = lk
	}
	lk.failures++
	lk.last = now
	lk.multipleNodes = lk.multipleNodes || lk.node != r.node
	if lk.withheld {
		if r.start >= lk.until-lk.backoff {
			lk.backOff(now)
		}
		return
	}
	if l.broken(d, now, key, lk, r) {
		lk.withheld = true
		lk.backOff(now)
		d.emitLink(now, Withhold, key, lk)
	}
}

func (lk *link) backOff(now time.Duration) {
	lk.backoff = min(max(2*lk.backoff, linkBackoffMin), linkBackoffMax)
	lk.until = now + lk.backoff
}

// broken reports whether requests of the source fail at the target while those of
// others do not, and the source withholds fewer than half of the targets.
func (l *links) broken(d *Detector, now time.Duration, key linkKey, lk *link, r *request) bool {
	if key.source < maxNodes && lk.failures < linkNodeFails {
		return false
	}
	if key.source >= maxNodes && (lk.failures < linkZoneFails || !lk.multipleNodes) {
		return false
	}
	if d.faults.atFault(now, r.node, r.class) || r.target.ejected || d.withheldBy(key.source)*2 >= len(d.sortedTargets) {
		return false
	}
	good, bad := responsesElsewhere(r.target, key.source, lk.first)
	return good >= minGoodElsewhere && good >= linkGoodRatio*bad
}

// responsesElsewhere counts the responses to requests after a time that other
// zones got from the target, or other nodes if the source is a node.
func responsesElsewhere(t *target, source int, since time.Duration) (good, bad int) {
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

func (d *Detector) withheldBy(source int) int {
	n := 0
	for _, t := range d.sortedTargets {
		lk := d.links.table[linkKey{source: source, target: t.id}]
		if lk != nil && lk.withheld {
			n++
		}
	}
	return n
}

// linkAllows reports whether the node may send a request over its link to the
// target. A withheld link gets one idempotent trial request per backoff.
func (d *Detector) linkAllows(now time.Duration, node string, t *target, idempotent bool) bool {
	n, known := d.nodes.lookup(node)
	if !known || len(d.links.table) == 0 {
		return true
	}
	byNode := d.links.table[linkKey{source: n, target: t.id}]
	byZone := d.links.table[linkKey{source: zoneSource(d.nodeZones[n]), target: t.id}]
	if !byNode.allows(now, idempotent) || !byZone.allows(now, idempotent) {
		return false
	}
	byNode.noteTrial(now)
	byZone.noteTrial(now)
	return true
}

func (lk *link) allows(now time.Duration, idempotent bool) bool {
	return lk == nil || !lk.withheld || idempotent && now >= lk.until
}

func (lk *link) noteTrial(now time.Duration) {
	if lk != nil && lk.withheld {
		lk.until = now + lk.backoff
	}
}

func (d *Detector) emitLink(now time.Duration, k Kind, key linkKey, lk *link) {
	if !lk.withheld {
		return
	}
	decision := Decision{At: now, Kind: k, Target: key.target, Reason: "link: other nodes get good answers"}
	decision.Evidence = Evidence{Bad: lk.failures, Failures: lk.failures}
	if k == Reconnect {
		decision.Reason = "a trial over the link was answered"
	}
	if key.source < maxNodes {
		decision.Node = d.nodes.list[key.source]
	} else {
		decision.Zone = d.zones.list[key.source-maxNodes]
	}
	d.emit(decision)
}
