package mesh

// shouldReadConfig reports whether this node should read the configuration from
// its source. Current readers keep their role, since a change of readers costs
// a listing of the store. If too many started reading together, those with the
// lowest addresses stay.
func (p *peers) shouldReadConfig() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.identity()
	reads := self.Flags&flagConfigReader != 0
	before := 0
	reading := map[string]bool{self.Zone: true}
	for _, q := range p.byAddr {
		if !q.known || q.last.Flags&flagConfigReader == 0 {
			continue
		}
		reading[q.last.Zone] = reading[q.last.Zone] || !q.silent
		if p.isConfigReader(q, self.Zone) && (!reads || q.last.Addr < self.Addr) {
			before++
		}
	}
	if zones := countTrue(reading); zones >= minZonesForOneReader {
		return before == 0
	}
	return before < readersPerZone
}

// isConfigReader reports whether a peer is a live config reader of the zone.
func (p *peers) isConfigReader(q *peer, zone string) bool {
	return q.known && q.last.Flags&flagConfigReader != 0 && q.last.Zone == zone && p.now()-q.lastHeard < readerTimeout
}

// zoneHasConfigReader reports whether another node of the same availability
// zone reads the configuration from its source.
func (p *peers) zoneHasConfigReader() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	zone := p.identity().Zone
	for _, q := range p.byAddr {
		if p.isConfigReader(q, zone) {
			return true
		}
	}
	return false
}

func countTrue(m map[string]bool) int {
	n := 0
	for _, v := range m {
		if v {
			n++
		}
	}
	return n
}

// versionSource is a configuration version that a node has announced.
type versionSource struct {
	version  int64
	sameZone bool // in the same availability zone
}

// nodesWithVersion returns the addresses of nodes with at least the given
// configuration version, in the same availability zone and in others.
func (p *peers) nodesWithVersion(version int64) (sameZone, otherZones []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	zone := p.identity().Zone
	for _, q := range p.byAddr {
		switch {
		case !q.known || q.silent || q.last.Version < version:
		case q.last.Zone == zone:
			sameZone = append(sameZone, q.last.Addr)
		default:
			otherZones = append(otherZones, q.last.Addr)
		}
	}
	return sameZone, otherZones
}

// RankInZone returns the number of live nodes of the same availability zone
// with a lower address.
func (n *Node) RankInZone() int { return n.peers.rankInZone() }

// rankInZone returns the number of live nodes of the same availability zone
// with a lower address.
func (p *peers) rankInZone() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.identity()
	rank := 0
	for _, q := range p.byAddr {
		if q.known && !q.silent && q.last.Zone == self.Zone && q.last.Addr < self.Addr {
			rank++
		}
	}
	return rank
}
