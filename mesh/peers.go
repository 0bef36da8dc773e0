package mesh

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"hyssopbridge/placement"
)

const (
	// sameZoneInterval and crossZoneInterval are the intervals between
	// heartbeats to a node in the same and in another availability zone. They
	// bound how long a change stays unknown when its datagram is lost. Traffic
	// between zones is charged for.
	sameZoneInterval  = time.Second
	crossZoneInterval = 2 * time.Second
	// maxCrossZoneRate bounds the heartbeats per second to nodes in other
	// availability zones, so that a node's traffic between zones does not grow
	// with the fleet.
	maxCrossZoneRate = 8
	// heartbeatTick is the resolution of the intervals.
	heartbeatTick = 250 * time.Millisecond
	// resendDelay is the delay after which a change is announced a second time
	// in the same availability zone, since datagrams are occasionally lost.
	resendDelay = 50 * time.Millisecond
	// silentNodeInterval is the interval between heartbeats to a silent node.
	silentNodeInterval = 5 * time.Second
	// silentTimeout is the time without a heartbeat after which a node counts
	// as silent, or silentIntervals times its heartbeat interval if that is
	// longer.
	silentTimeout   = 5 * time.Second
	silentIntervals = 3
	// forgetTimeout is the time without a heartbeat after which a node is
	// removed.
	forgetTimeout = 2 * time.Minute
	// readerTimeout is how recently a node must have announced that it reads
	// the configuration from its source for others to rely on it.
	readerTimeout = 2500 * time.Millisecond
	// maxStandbys nodes of its zone get a heartbeat of a reader every
	// standbyHeartbeatInterval, so that one of them takes over in time for a
	// configuration that must be in force within 2 s.
	maxStandbys              = 8
	standbyHeartbeatInterval = heartbeatTick
	// StandbyReaderTimeout is how long a standby relies on a silent reader. It
	// leaves room for two lost datagrams and a pause of a throttled process.
	StandbyReaderTimeout = 900 * time.Millisecond
	// readersPerZone nodes of a zone read the configuration from its source;
	// the others get it from them. One reader per zone is enough once
	// minZonesForOneReader zones have readers, since each reader announces new
	// versions to all zones.
	readersPerZone       = 2
	minZonesForOneReader = 3
)

type peer struct {
	last      heartbeat
	addr      netip.AddrPort
	known     bool          // a heartbeat has been received
	lastHeard time.Duration // receipt of the latest heartbeat
	lastSent  time.Duration
	silent    bool
	added     time.Duration // when the node was added
	held      []Departure   // departures of the node's host, kept for its later processes
	replaced  bool          // an earlier process of the node was known here
	// gaveUpReading is when the node last gave up its role as a reader of the
	// configuration; 0 if it has not.
	gaveUpReading time.Duration
}

// peers exchanges heartbeats with the other nodes.
type peers struct {
	conn      *net.UDPConn
	now       func() time.Duration
	heartbeat func() heartbeat
	// identity returns the heartbeat without the target's status.
	identity func() heartbeat
	view     *placement.View
	calls    *fleetCalls
	log      *eventLog
	metrics  *metrics
	// onNewerConfig is called when a node has a newer configuration than this
	// one.
	onNewerConfig func(s versionSource)
	// onStoreEra is called with the era of the store that a node knows.
	onStoreEra func(era int64)
	departures *ownDepartures
	// onHeld is called with the departures of this host that another node holds,
	// and whether that node knew an earlier process of this one. It may be nil.
	onHeld func(held []Departure, knewEarlier bool)

	mu       sync.Mutex
	byAddr   map[netip.AddrPort]*peer
	sequence uint64
	maxNodes int // largest number of nodes known so far
	notify   chan scope
	standbys map[netip.AddrPort]bool // nodes that take over if this node reads the configuration and is lost
	// readerReplaced is when a reader of the own zone last gave up or was replaced
	// by a process that does not read, and readerChanged receives a value then.
	readerReplaced time.Duration
	readerChanged  chan struct{}

	quotas     *quotas
	suspension *suspension
	liveInZone int  // other nodes of the own zone that were heard recently
	ownsQuotas bool // the other nodes were told that this node may own quotas
	// crossZoneDue is the number of heartbeats to other zones that are due, and
	// crossZoneNext the place of the node that is next.
	crossZoneDue  float64
	crossZoneNext uint64
}

// scope selects the nodes to which a change is announced at once.
type scope uint8

const (
	ownZone  scope = iota // the nodes that use this node's target most
	allZones              // every node
)

// run sends and receives heartbeats until ctx ends.
func (p *peers) run(ctx context.Context) {
	go p.receive()
	tick := time.NewTicker(heartbeatTick)
	defer tick.Stop()
	var resend <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			p.conn.Close()
			return
		case to := <-p.notify:
			p.broadcast(to)
			resend = time.After(resendDelay)
		case <-resend:
			resend = nil
			p.broadcast(ownZone)
		case <-tick.C:
			p.suspension.step()
			p.sendHeartbeats()
		}
	}
}

// announce sends the node's state to the nodes in scope without waiting for the
// interval.
func (p *peers) announce(to scope) {
	select {
	case p.notify <- to:
	default: // enough announcements are queued; the next heartbeats carry the rest
	}
}

// add adds a node by its datagram address and sends it a hello.
func (p *peers) add(addr netip.AddrPort) {
	p.mu.Lock()
	known := p.getOrAdd(addr) != nil
	p.mu.Unlock()
	if known {
		p.send([]netip.AddrPort{addr}, flagHello)
	}
}

// getOrAdd returns the entry of a node, which it creates if needed. It returns
// nil for this node itself.
func (p *peers) getOrAdd(addr netip.AddrPort) *peer {
	if addr.String() == p.identity().Gossip {
		return nil
	}
	q := p.byAddr[addr]
	if q == nil {
		q = &peer{addr: addr, added: p.now(), lastHeard: p.now()}
		p.byAddr[addr] = q
		p.maxNodes = max(p.maxNodes, len(p.byAddr)+1)
	}
	return q
}

// broadcast sends a heartbeat to the nodes in scope.
func (p *peers) broadcast(within scope) {
	zone := p.identity().Zone
	p.mu.Lock()
	to := make([]netip.AddrPort, 0, len(p.byAddr))
	now := p.now()
	for _, q := range p.byAddr {
		if !q.silent && (within == allZones || q.last.Zone == zone) {
			q.lastSent = now
			to = append(to, q.addr)
		}
	}
	p.mu.Unlock()
	p.send(to, 0)
}

func (p *peers) sendHeartbeats() {
	p.mu.Lock()
	now := p.now()
	zone := p.identity().Zone
	p.standbys = p.chooseStandbys()
	crossZone := p.crossZoneInterval(zone)
	paced := p.nextOfOtherZones(zone, crossZone)
	var due, hello []netip.AddrPort
	for addr, q := range p.byAddr {
		interval := sameZoneInterval
		if q.known && q.last.Zone != zone {
			interval = crossZone
		}
		if p.standbys[addr] {
			interval = standbyHeartbeatInterval
		}
		p.updateLiveness(addr, q, now, max(silentTimeout, silentIntervals*interval))
		if q.silent {
			interval = max(interval, silentNodeInterval)
		}
		if now-q.lastSent < interval-heartbeatTick/2 && !paced[addr] {
			continue
		}
		q.lastSent = now
		if q.silent || !q.known {
			hello = append(hello, addr)
		} else {
			due = append(due, addr)
		}
	}
	fleet := p.quotaFleet(now, zone, crossZone)
	p.liveInZone = fleet.liveInZone
	p.mu.Unlock()
	p.quotas.tick(fleet)
	if owns := p.quotas.core.Ready(); owns != p.ownsQuotas {
		p.ownsQuotas = owns
		p.announce(allZones)
	}
	p.send(due, 0)
	p.send(hello, flagHello)
}

// nextOfOtherZones returns the live nodes of other zones whose turn it is. Each
// node goes through the others in an order of its own and at an even pace, so
// that each zone is heard at short and even intervals, also when many nodes
// started or sent to all at the same moment.
func (p *peers) nextOfOtherZones(zone string, interval time.Duration) map[netip.AddrPort]bool {
	type place struct {
		order uint64
		addr  netip.AddrPort
	}
	var nodes []place
	self := p.identity().Gossip
	for addr, q := range p.byAddr {
		if q.known && !q.silent && q.last.Zone != zone {
			nodes = append(nodes, place{xxhash.Sum64String(self + " " + q.last.Gossip), addr})
		}
	}
	slices.SortFunc(nodes, func(a, b place) int { return cmp.Compare(a.order, b.order) })
	p.crossZoneDue = min(p.crossZoneDue+float64(len(nodes))*heartbeatTick.Seconds()/interval.Seconds(), float64(len(nodes)))
	first, _ := slices.BinarySearchFunc(nodes, p.crossZoneNext, func(a place, next uint64) int { return cmp.Compare(a.order, next) })
	chosen := map[netip.AddrPort]bool{}
	for i := 0; p.crossZoneDue >= 1; i++ {
		n := nodes[(first+i)%len(nodes)]
		chosen[n.addr] = true
		p.crossZoneNext = n.order + 1
		p.crossZoneDue--
	}
	return chosen
}

// crossZoneInterval returns the interval between heartbeats to a node in
// another zone.
func (p *peers) crossZoneInterval(zone string) time.Duration {
	nodes := 0
	for _, q := range p.byAddr {
		if q.known && q.last.Zone != zone {
			nodes++
		}
	}
	return max(crossZoneInterval, time.Duration(nodes)*time.Second/maxCrossZoneRate)
}

// updateLiveness marks a node as silent, and removes it after a long silence.
func (p *peers) updateLiveness(addr netip.AddrPort, q *peer, now, limit time.Duration) {
	silent := now - q.lastHeard
	if silent > limit && !q.silent {
		q.silent = true
		p.log.peerChanged(addr.String(), q.last.Zone, "node is silent", silent)
	}
	if silent > forgetTimeout {
		delete(p.byAddr, addr)
		p.view.Remove(q.last.Addr)
		p.calls.remove(q.last.Addr)
	}
}

func (p *peers) send(to []netip.AddrPort, flags uint8) {
	if len(to) == 0 {
		return
	}
	p.mu.Lock()
	var standbys, others []netip.AddrPort
	for _, addr := range to {
		if p.standbys[addr] {
			standbys = append(standbys, addr)
		} else {
			others = append(others, addr)
		}
	}
	p.mu.Unlock()
	msg := p.message(flags)
	p.transmit(msg, others)
	msg.Flags |= flagStandby
	p.transmit(msg, standbys)
}

// message returns the next heartbeat of this node.
func (p *peers) message(flags uint8) heartbeat {
	msg := p.heartbeat()
	msg.Flags |= flags
	msg.Departures = p.departures.current(p.now())
	p.mu.Lock()
	p.sequence++
	msg.Sequence = p.sequence
	msg.LiveInZone, msg.FleetSize = p.liveInZone+1, len(p.byAddr)+1
	p.mu.Unlock()
	msg.Flags |= flagIf(p.quotas.core.Ready(), flagOwnsQuotas)
	return msg
}

func (p *peers) transmit(msg heartbeat, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	b, err := msg.encode()
	if err != nil {
		p.metrics.count("mesh_datagrams_total.not_sent")
		return
	}
	for _, addr := range to {
		if _, err := p.conn.WriteToUDPAddrPort(b, addr); err != nil {
			// An overloaded or broken link loses datagrams in any case; the
			// next interval sends the state again.
			p.metrics.count("mesh_datagrams_total.not_sent")
		}
	}
}

func (p *peers) receive() {
	buf := make([]byte, maxHeartbeatBytes+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if isClosed(err) {
				return
			}
			p.metrics.count("mesh_datagrams_total.not_received")
			continue
		}
		if !p.handle(buf[:n], from) {
			p.metrics.count("mesh_datagrams_total.invalid")
		}
	}
}

// handle processes a datagram. It reports whether the datagram was valid.
func (p *peers) handle(b []byte, from netip.AddrPort) bool {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if len(b) > 0 && b[0] == quotaDatagram {
		return p.isKnown(from) && p.quotas.handle(b[1:], from)
	}
	var msg heartbeat
	if err := cbor.Unmarshal(b, &msg); err != nil {
		return false
	}
	status, err := decodeStatus(msg.Status)
	if err != nil || msg.Addr == "" || msg.Gossip != from.String() {
		return false
	}
	p.mu.Lock()
	q := p.getOrAdd(from)
	if q == nil {
		p.mu.Unlock()
		return true
	}
	now := p.now()
	if q.known && isStale(msg, q, now) {
		p.mu.Unlock()
		return true
	}
	fresh := !q.known || q.silent || q.last.Started != msg.Started
	moved := q.known && q.last.Addr != msg.Addr
	previous := q.last.Addr
	p.noteReplacedReader(q, msg)
	q.replaced = q.replaced || (q.known && q.last.Started != msg.Started)
	q.held = addDepartures(q.held, msg.Departures)
	q.last, q.known, q.lastHeard, q.silent = msg, true, now, false
	live := msg.LiveInZone
	if msg.Zone == p.identity().Zone {
		live = p.liveInZone
	}
	p.mu.Unlock()
	p.quotas.core.Heard(now, from.String(), msg.Zone, live)
	if fresh {
		p.log.peerChanged(msg.Addr, msg.Zone, "node is known", 0)
	}
	if moved {
		p.view.Remove(previous)
		p.calls.remove(previous)
	}
	p.view.Update(placement.Host{Addr: msg.Addr, Zone: msg.Zone}, status)
	p.calls.update(msg.Addr, status.Service, decodeCalls(msg.Calls))
	if msg.Flags&flagHello != 0 || fresh {
		p.reply(from)
	}
	p.acceptHeld(from, msg)
	p.onStoreEra(msg.StoreEra)
	if self := p.identity(); msg.Version > self.Version {
		p.onNewerConfig(versionSource{msg.Version, msg.Zone == self.Zone})
	}
	return true
}

// isKnown reports whether a heartbeat of the node has been received.
func (p *peers) isKnown(addr netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.byAddr[addr]
	return q != nil && q.known
}

// sendDatagram sends a datagram that is not a heartbeat.
func (p *peers) sendDatagram(b []byte, to netip.AddrPort) {
	if len(b) > maxHeartbeatBytes {
		p.metrics.count("mesh_datagrams_total.not_sent")
		return
	}
	if _, err := p.conn.WriteToUDPAddrPort(b, to); err != nil {
		p.metrics.count("mesh_datagrams_total.not_sent")
	}
}

// isStale reports whether a heartbeat is older than the latest one of the node.
// Start times come from wall clocks, which may be set back, so a new process
// with an earlier start time is accepted once its predecessor has been silent.
func isStale(msg heartbeat, q *peer, now time.Duration) bool {
	if msg.Started == q.last.Started {
		return msg.Sequence <= q.last.Sequence
	}
	return msg.Started < q.last.Started && now-q.lastHeard < sameZoneInterval+heartbeatTick
}

// maxFleetSize returns the largest number of nodes known at once, including
// this one.
func (p *peers) maxFleetSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.maxNodes, 1)
}
