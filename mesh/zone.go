package mesh

import (
	"context"
	"net/netip"
	"slices"
	"strings"
	"time"
)

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
	return isReaderOf(q, zone) && p.now()-q.lastHeard < timeoutOfReader(q)
}

// isReaderOf reports whether a peer of the zone has last stated that it reads the
// configuration.
func isReaderOf(q *peer, zone string) bool {
	return q.known && q.last.Flags&flagConfigReader != 0 && q.last.Zone == zone
}

// timeoutOfReader returns how long this node relies on a silent reader.
func timeoutOfReader(q *peer) time.Duration {
	if q.last.Flags&flagStandby != 0 {
		return StandbyReaderTimeout
	}
	return readerTimeout
}

// chooseStandbys returns the nodes of the zone that take over if this node reads
// the configuration and is lost: those with the lowest addresses.
func (p *peers) chooseStandbys() map[netip.AddrPort]bool {
	self := p.identity()
	if self.Flags&flagConfigReader == 0 {
		return nil
	}
	var nodes []*peer
	for _, q := range p.byAddr {
		if q.known && !q.silent && q.last.Zone == self.Zone && q.last.Flags&flagConfigReader == 0 {
			nodes = append(nodes, q)
		}
	}
	slices.SortFunc(nodes, func(a, b *peer) int { return strings.Compare(a.last.Addr, b.last.Addr) })
	standbys := map[netip.AddrPort]bool{}
	for _, q := range nodes[:min(len(nodes), maxStandbys)] {
		standbys[q.addr] = true
	}
	return standbys
}

// noteReplacedReader notes that a reader of the own zone has given up, as one
// does that cannot reach the source, or has been replaced by a process that does
// not read. A reader that gives up while the zone has another one is not missed:
// there were too many.
func (p *peers) noteReplacedReader(q *peer, msg heartbeat) {
	zone := p.identity().Zone
	if !isReaderOf(q, zone) || msg.Flags&flagConfigReader != 0 {
		return
	}
	if msg.Started == q.last.Started {
		q.gaveUpReading = p.now()
		if p.hasOtherReader(q, zone) {
			return
		}
	}
	p.readerReplaced = p.now()
	select {
	case p.readerChanged <- struct{}{}:
	default: // a change is already noted
	}
}

// lostConfigReader returns the latest loss of a reader of the own zone: for how
// long the reader has been silent, or how long ago it gave up or was replaced. ok
// is false if none was lost recently.
func (p *peers) lostConfigReader() (since time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, zone := p.now(), p.identity().Zone
	since = silentTimeout
	if p.readerReplaced > 0 {
		since = now - p.readerReplaced
	}
	for _, q := range p.byAddr {
		if isReaderOf(q, zone) && !p.isConfigReader(q, zone) {
			since = min(since, now-q.lastHeard)
		}
	}
	return since, since < silentTimeout
}

// untilReaderTimeout returns for how long this node relies on the readers of its
// zone if they stay silent. It returns limit if that is longer or there is none.
func (p *peers) untilReaderTimeout(limit time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, zone := p.now(), p.identity().Zone
	for _, q := range p.byAddr {
		if p.isConfigReader(q, zone) {
			limit = min(limit, timeoutOfReader(q)-(now-q.lastHeard))
		}
	}
	return limit
}

// minReaderCheck is the shortest wait between checks for a lost reader.
const minReaderCheck = 20 * time.Millisecond

// AwaitReaderLoss waits until a reader of this zone may have been lost, for at
// most limit.
func (n *Node) AwaitReaderLoss(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(max(minReaderCheck, n.peers.untilReaderTimeout(limit)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.peers.readerChanged:
	case <-ctx.Done():
	}
}

// LostConfigReader reports whether a reader of this zone was lost recently, and
// how long ago it fell silent, gave up or was replaced.
func (n *Node) LostConfigReader() (since time.Duration, ok bool) { return n.peers.lostConfigReader() }

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

// hasOtherReader reports whether a peer other than q reads the configuration in
// the zone. p.mu must be held.
func (p *peers) hasOtherReader(q *peer, zone string) bool {
	for _, other := range p.byAddr {
		if other != q && p.isConfigReader(other, zone) {
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

// newestVersionInZone returns the newest version of the live nodes of the same
// availability zone, or 0.
func (p *peers) newestVersionInZone() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest, zone := int64(0), p.identity().Zone
	for _, q := range p.byAddr {
		if q.known && !q.silent && q.last.Zone == zone {
			newest = max(newest, q.last.Version)
		}
	}
	return newest
}

// haveNewer reports whether a live node has announced a newer configuration
// than the given version.
func (p *peers) haveNewer(version int64) bool {
	sameZone, otherZones := p.nodesWithVersion(version + 1)
	return len(sameZone)+len(otherZones) > 0
}

// RankInZone returns the number of live nodes of the same availability zone
// with a lower address, without readers that were lost or gave up recently.
func (n *Node) RankInZone() int { return n.peers.rankInZone() }

// rankInZone returns the number of live nodes of the same availability zone
// with a lower address, without readers that were lost or gave up recently: these
// have probably lost their way to the source.
func (p *peers) rankInZone() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, self := p.now(), p.identity()
	rank := 0
	for _, q := range p.byAddr {
		lost := isReaderOf(q, self.Zone) && !p.isConfigReader(q, self.Zone)
		lost = lost || !isReaderOf(q, self.Zone) && q.gaveUpReading > 0 && now-q.gaveUpReading < silentTimeout
		if q.known && !q.silent && !lost && q.last.Zone == self.Zone && q.last.Addr < self.Addr {
			rank++
		}
	}
	return rank
}
