package mesh

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// maxDepartures bounds the departures of one host that a datagram states.
	// The latest count: a target has ended when the one after it leaves.
	maxDepartures = 4
	// MaxDepartureTargetBytes bounds the ID of a departed target, so that
	// datagrams with departures stay below maxHeartbeatBytes.
	MaxDepartureTargetBytes = 64
	// departureShareTime is how long a host states a departure in its
	// heartbeats, so that nodes that missed it or started since hold it too.
	departureShareTime = 30 * time.Second
	// wantedHolders is the number of other nodes that must hold a departure for
	// it to survive the loss of its host and of one more node.
	wantedHolders = 2
	// maxHoldersAsked bounds the nodes that are asked at once to hold a departure.
	maxHoldersAsked = 8
	// holderRetryInterval is the time between attempts to find holders, since
	// datagrams are lost and nodes may be down.
	holderRetryInterval = 100 * time.Millisecond
)

// Departure states that a host has acknowledged that its target leaves. It binds
// all later processes of the host as well.
type Departure struct {
	_      struct{} `cbor:",toarray"`
	Target string
	Born   int64 // start of the target, Unix time in milliseconds; 0 if unknown
	At     int64 // acknowledgement, Unix time in milliseconds
}

// Same reports whether two departures are of the same start of a target.
func (d Departure) Same(other Departure) bool {
	return d.Target == other.Target && d.Born == other.Born
}

// addDepartures adds the departures that are new to a list and keeps the latest.
func addDepartures(list, added []Departure) []Departure {
	for _, d := range added {
		if len(d.Target) <= MaxDepartureTargetBytes && !slices.ContainsFunc(list, d.Same) {
			list = append(list, d)
		}
	}
	return list[max(0, len(list)-maxDepartures):]
}

// ownDepartures are the departures of this host and the nodes that hold them.
type ownDepartures struct {
	mu      sync.Mutex
	list    []*ownDeparture
	changed chan struct{} // closed when a node confirms that it holds a departure
}

type ownDeparture struct {
	Departure
	since   time.Duration
	holders map[netip.AddrPort]bool
}

// add adds a departure unless it is known.
func (o *ownDepartures) add(d Departure, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.find(d) != nil {
		return
	}
	o.list = append(o.list, &ownDeparture{d, now, map[netip.AddrPort]bool{}})
	o.list = o.list[max(0, len(o.list)-maxDepartures):]
}

func (o *ownDepartures) find(d Departure) *ownDeparture {
	for _, own := range o.list {
		if own.Same(d) {
			return own
		}
	}
	return nil
}

// current returns the departures to state in a heartbeat.
func (o *ownDepartures) current(now time.Duration) []Departure {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []Departure
	for _, own := range o.list {
		if now-own.since < departureShareTime {
			out = append(out, own.Departure)
		}
	}
	return out
}

// confirm records that a node holds departures of this host.
func (o *ownDepartures) confirm(holder netip.AddrPort, held []Departure) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, d := range held {
		if own := o.find(d); own != nil {
			own.holders[holder] = true
		}
	}
	if o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
}

// holderCount returns the number of nodes that hold a departure, and a channel
// that is closed when that may have changed.
func (o *ownDepartures) holderCount(d Departure) (int, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	if own := o.find(d); own != nil {
		return len(own.holders), o.changed
	}
	return 0, o.changed
}

// ShareDeparture passes a departure of this host's target on to other nodes, to
// those of the own availability zone at once. They return it to later processes
// of this node.
func (n *Node) ShareDeparture(d Departure) {
	n.peers.departures.add(d, n.now())
	n.peers.announce(ownZone)
}

// AwaitHolders waits until enough other nodes hold a departure that was shared.
// It reports false if ctx ends first.
func (n *Node) AwaitHolders(ctx context.Context, d Departure) bool {
	for {
		live := n.peers.liveNodes()
		holders, changed := n.peers.departures.holderCount(d)
		if holders > 0 && holders >= min(wantedHolders, len(live)) {
			return true
		}
		n.peers.send(live[:min(len(live), maxHoldersAsked)], flagHello)
		retry := time.NewTimer(holderRetryInterval)
		select {
		case <-changed:
		case <-retry.C:
		case <-ctx.Done():
			retry.Stop()
			return false
		}
		retry.Stop()
	}
}

// liveNodes returns the addresses of the nodes that are not silent, in random
// order.
func (p *peers) liveNodes() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []netip.AddrPort
	for addr, q := range p.byAddr { // the order of a map is random
		if q.known && !q.silent {
			out = append(out, addr)
		}
	}
	return out
}

// reply sends this node's state to a node, with the departures of that node's
// host and whether an earlier process of it was known here.
func (p *peers) reply(to netip.AddrPort) {
	msg := p.message(0)
	p.mu.Lock()
	if q := p.byAddr[to]; q != nil {
		msg.Held = slices.Clone(q.held)
		msg.Flags |= flagIf(q.replaced, flagKnewEarlier) | flagIf(p.standbys[to], flagStandby)
	}
	p.mu.Unlock()
	p.transmit(msg, []netip.AddrPort{to})
}

// acceptHeld processes what another node knows of earlier processes of this node.
func (p *peers) acceptHeld(from netip.AddrPort, msg heartbeat) {
	if len(msg.Held) > 0 {
		p.departures.confirm(from, msg.Held)
	}
	knewEarlier := msg.Flags&flagKnewEarlier != 0
	if p.onHeld != nil && (knewEarlier || len(msg.Held) > 0) {
		p.onHeld(msg.Held, knewEarlier)
	}
}
