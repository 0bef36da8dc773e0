package membership

import (
	"iter"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"hyssopbridge/fleet"
)

const shards = 128

// View is an immutable snapshot of the fleet as one node knows it. Views share
// unchanged parts.
type View struct {
	version    uint64
	self       string
	nodes      [shards]map[string]*NodeView
	services   [shards]map[string]*serviceView
	linkFaults map[string]bool
	nodeCount  int
	superseded int64
}

// NodeView is a node in a View.
type NodeView struct {
	fleet.NodeRecord
	Status     Status
	Refutation int64
}

type serviceView struct {
	version uint64 // version of the View that last changed the service
	refs    []instanceRef
}

type instanceRef struct {
	node     *NodeView
	instance *fleet.Instance
}

// Version returns the version of the view, which increases with every published
// change.
func (v *View) Version() uint64 { return v.version }

// Self returns the ID of the node that the view belongs to.
func (v *View) Self() string { return v.self }

// Len returns the number of nodes that are neither dead nor left, including
// this node.
func (v *View) Len() int { return v.nodeCount }

// Node returns the node with the given ID, or nil. Dead nodes are returned
// within their retention.
func (v *View) Node(id string) *NodeView { return v.nodes[shardOf(id)][id] }

// Live reports whether the node is known and neither dead nor left.
func (v *View) Live(id string) bool {
	n := v.Node(id)
	return n != nil && n.Status < Dead
}

// All yields all nodes of the view, including dead ones, in no particular
// order.
func (v *View) All() iter.Seq[*NodeView] {
	return func(yield func(*NodeView) bool) {
		for i := range v.nodes {
			for _, n := range v.nodes[i] {
				if !yield(n) {
					return
				}
			}
		}
	}
}

// Nodes returns the nodes that are neither dead nor left, sorted by ID.
func (v *View) Nodes() []*NodeView {
	list := make([]*NodeView, 0, v.nodeCount)
	for n := range v.All() {
		if n.Status < Dead {
			list = append(list, n)
		}
	}
	slices.SortFunc(list, func(a, b *NodeView) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Endpoints returns the instances of a service on live nodes, sorted by node
// and instance ID. Instances of a draining node have state Draining. Each call
// returns a new slice; callers may cache it until ServiceVersion changes.
func (v *View) Endpoints(service string) []fleet.Endpoint {
	s := v.services[shardOf(service)][service]
	if s == nil {
		return nil
	}
	list := make([]fleet.Endpoint, len(s.refs))
	for i, r := range s.refs {
		list[i] = fleet.Endpoint{Instance: *r.instance, Node: r.node.Node}
		if r.node.Leaving && list[i].State != fleet.Down {
			list[i].State = fleet.Draining
		}
	}
	return list
}

// ServiceVersion returns the version of the view that last changed the
// endpoints of the service, or 0 when it has none.
func (v *View) ServiceVersion(service string) uint64 {
	if s := v.services[shardOf(service)][service]; s != nil {
		return s.version
	}
	return 0
}

// Services returns the names of services with endpoints, sorted.
func (v *View) Services() []string {
	var list []string
	for i := range v.services {
		list = slices.AppendSeq(list, maps.Keys(v.services[i]))
	}
	slices.Sort(list)
	return list
}

// LinkFault reports whether this node cannot reach the given live node while
// others can.
func (v *View) LinkFault(node string) bool { return v.linkFaults[node] }

// LinkFaults returns the nodes with link faults, sorted.
func (v *View) LinkFaults() []string { return slices.Sorted(maps.Keys(v.linkFaults)) }

// Superseded returns the incarnation of a later process with this node's ID,
// or 0. If it is not 0, this process must not continue under its incarnation.
func (v *View) Superseded() int64 { return v.superseded }

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shards) }

// publishing holds the latest view and the members that changed since.
type publishing struct {
	view    *View
	dirty   bool
	changed map[string]*member
}

func (p *publishing) init() {
	p.view = &View{}
	p.changed = make(map[string]*member)
}

// markChanged records that m differs from the latest view.
func (c *Core) markChanged(m *member) {
	c.changed[m.node.ID] = m
	c.dirty = true
}

// View returns a snapshot of the current state. It returns the same view until
// something changes.
func (c *Core) View() *View {
	if !c.dirty {
		return c.view
	}
	b := newViewBuilder(c.view)
	b.view.version++
	b.view.self = c.self.node.ID
	b.view.linkFaults = maps.Clone(c.linkFaults)
	b.view.nodeCount = len(c.peers) + 1
	b.view.superseded = c.superseded
	for id := range c.changed {
		b.replace(id, c.members[id])
	}
	clear(c.changed)
	c.dirty = false
	c.view = b.view
	return c.view
}
