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

// View is an immutable state of the fleet as one node knows it. It shares its
// parts with earlier and later views.
type View struct {
	version    uint64
	self       string
	nodes      [shards]map[string]*NodeView
	services   [shards]map[string]*serviceView
	faults     map[string]bool
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
	version uint64 // of the View with the last change
	refs    []instanceRef
}

type instanceRef struct {
	node     *NodeView
	instance *fleet.Instance
}

// Version rises with every published change.
func (v *View) Version() uint64 { return v.version }

// Self returns the ID of the node that holds the view.
func (v *View) Self() string { return v.self }

// Len returns the number of nodes that are neither dead nor left, with self.
func (v *View) Len() int { return v.nodeCount }

// Node returns a node, also a dead one within its retention, or nil.
func (v *View) Node(id string) *NodeView { return v.nodes[shardOf(id)][id] }

// Live reports whether the node is known and neither dead nor left.
func (v *View) Live(id string) bool {
	n := v.Node(id)
	return n != nil && n.Status < Dead
}

// All yields all nodes of the view, also dead ones, in no order.
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
// and instance ID. Instances of a leaving node have state Leaving. The slice is
// new; callers keep it while ServiceVersion stays the same.
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
func (v *View) LinkFault(node string) bool { return v.faults[node] }

// LinkFaults returns the nodes with link faults, sorted.
func (v *View) LinkFaults() []string { return slices.Sorted(maps.Keys(v.faults)) }

// Superseded returns the incarnation of a later process with this node's ID,
// or 0. The node must not go on with its own incarnation then.
func (v *View) Superseded() int64 { return v.superseded }

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shards) }

// publishing builds views from the members that changed.
type publishing struct {
	view    *View
	dirty   bool
	changed map[string]*member
}

func (p *publishing) init() {
	p.view = &View{}
	p.changed = make(map[string]*member)
}

// touch notes that m differs from the last view.
func (c *Core) touch(m *member) {
	c.changed[m.node.ID] = m
	c.dirty = true
}

// View returns the current state. It returns the same view while nothing
// changes.
func (c *Core) View() *View {
	if !c.dirty {
		return c.view
	}
	b := newViewBuilder(c.view)
	b.view.version++
	b.view.self = c.self.node.ID
	b.view.faults = maps.Clone(c.faults)
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
