package limits

import "time"

// FleetShare measures with which share of the fleet a node is in contact. It
// yields a credit in seconds, which grows by the share for each second of
// proven contact: an availability zone counts up to the moment at which one of
// its nodes was last heard, and a silence longer than the contact gap does not
// count at all. So the credits of two parts of a fleet that cannot reach each
// other grow by at most one second per second together.
//
// It is not safe for concurrent use.
type FleetShare struct {
	zone  string        // zone of this node
	nodes int           // size of the fleet, with silent nodes
	gap   time.Duration // silence after which contact counts as lost
	zones map[string]*zoneContact
	// lastHeard is when any node was heard, and selfUntil the time up to which
	// this node's own share has been counted.
	lastHeard, selfUntil time.Duration
	credit               float64
}

type zoneContact struct {
	live      int           // live nodes of the zone, without this one
	liveAt    time.Duration // when that was last stated
	lastHeard time.Duration
	counted   time.Duration // time up to which the zone has been counted
}

const (
	// minContactGap is the shortest contact gap. It leaves room for two lost
	// heartbeats of the own zone.
	minContactGap = 2200 * time.Millisecond
	// isolationMargin is how much longer than the contact gap a node must hear
	// nobody until it counts its own share by itself. By then the other nodes
	// of its zone have stopped to count it and said so to the other zones.
	isolationMargin = 800 * time.Millisecond
)

// NewFleetShare returns the share of a node that knows no other nodes.
func NewFleetShare(now time.Duration, zone string) *FleetShare {
	return &FleetShare{zone: zone, nodes: 1, gap: minContactGap, zones: map[string]*zoneContact{}, lastHeard: now, selfUntil: now}
}

// SetFleet sets the size of the fleet, including this node and nodes that have
// fallen silent recently, and the longest expected silence of a whole zone.
func (f *FleetShare) SetFleet(nodes int, silence time.Duration) {
	f.nodes, f.gap = max(1, nodes), max(minContactGap, silence)
}

// Heard records that a node of a zone was heard, and how many nodes of the zone
// are live, not counting this node.
func (f *FleetShare) Heard(now time.Duration, zone string, live int) {
	z := f.zones[zone]
	if z == nil {
		z = &zoneContact{lastHeard: now, counted: now}
		f.zones[zone] = z
	}
	z.live, z.liveAt = live, now
	f.contact(now, z)
}

// Contact records that a node of a zone was heard. It counts if the number of
// live nodes of the zone is known.
func (f *FleetShare) Contact(now time.Duration, zone string) {
	if z := f.zones[zone]; z != nil && now-z.liveAt <= f.gap {
		f.contact(now, z)
	}
}

func (f *FleetShare) contact(now time.Duration, z *zoneContact) {
	f.count(now, &z.counted, z.live)
	f.count(now, &f.selfUntil, 1)
	z.lastHeard = max(z.lastHeard, now)
	f.lastHeard = max(f.lastHeard, now)
}

func (f *FleetShare) count(now time.Duration, last *time.Duration, live int) {
	if gone := now - *last; gone > 0 && gone <= f.gap {
		f.credit += gone.Seconds() * float64(min(live, f.nodes)) / float64(f.nodes)
	}
	*last = max(*last, now)
}

// Forfeit gives up the credit for the time before now that has not been counted
// yet. A node that takes over keys must not count the time of the owner before.
func (f *FleetShare) Forfeit(now time.Duration) {
	for _, z := range f.zones {
		z.counted = max(z.counted, now)
	}
	f.selfUntil = max(f.selfUntil, now)
}

// Isolated reports whether the node is alone or has heard no other node for so
// long that none counts it any more.
func (f *FleetShare) Isolated(now time.Duration) bool {
	return now-f.lastHeard > f.isolationGap()
}

// isolationGap is shorter where other nodes of the own zone are heard often.
func (f *FleetShare) isolationGap() time.Duration {
	if z := f.zones[f.zone]; z != nil && z.live > 0 {
		return minContactGap + isolationMargin
	}
	return f.gap + isolationMargin
}

// InContact reports whether a node of the zone was heard recently.
func (f *FleetShare) InContact(now time.Duration, zone string) bool {
	z := f.zones[zone]
	return z != nil && now-z.lastHeard <= f.gap
}

// Share returns the share of the fleet that is in contact, from above 0 to 1.
func (f *FleetShare) Share(now time.Duration) float64 {
	live := 1
	for _, z := range f.zones {
		if now-z.lastHeard <= f.gap {
			live += z.live
		}
	}
	return min(1, float64(live)/float64(f.nodes))
}

// Credit returns the credit so far, in seconds.
func (f *FleetShare) Credit(now time.Duration) float64 {
	if f.Isolated(now) {
		from := max(f.selfUntil, f.lastHeard+f.isolationGap())
		f.credit += (now - from).Seconds() / float64(f.nodes)
		f.selfUntil = now
	}
	return f.credit
}
