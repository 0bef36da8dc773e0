package membership

import (
	"maps"
	"slices"
	"strings"

	"hyssopbridge/fleet"
)

// viewBuilder derives a view from an older one, copying only the shards and
// services that change.
type viewBuilder struct {
	view           *View
	copiedNodes    [shards]bool
	copiedServices [shards]bool
}

func newViewBuilder(old *View) *viewBuilder {
	next := *old
	next.version++
	return &viewBuilder{view: &next}
}

// replace sets the state of a member in the view; nil removes the member.
func (b *viewBuilder) replace(id string, m *member) {
	i := shardOf(id)
	if !b.copiedNodes[i] {
		b.copiedNodes[i] = true
		b.view.nodes[i] = cloneMap(b.view.nodes[i])
	}
	old := b.view.nodes[i][id]
	if m == nil {
		delete(b.view.nodes[i], id)
		b.replaceRefs(old, nil)
		return
	}
	n := &NodeView{
		NodeRecord: fleet.NodeRecord{Node: m.node, Seq: m.seq, Leaving: m.draining, Instances: m.instances},
		Status:     m.liveness.status,
		Refutation: m.liveness.refutation,
	}
	b.view.nodes[i][id] = n
	b.replaceRefs(old, n)
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

// replaceRefs replaces the references to a node in all its services.
func (b *viewBuilder) replaceRefs(old, next *NodeView) {
	refs := make(map[string][]instanceRef)
	if old != nil {
		for i := range old.Instances {
			refs[old.Instances[i].Service] = nil
		}
	}
	if next != nil && next.Status < Dead {
		for i := range next.Instances {
			inst := &next.Instances[i]
			refs[inst.Service] = append(refs[inst.Service], instanceRef{next, inst})
		}
	}
	for service, list := range refs {
		b.replaceService(service, old, list)
	}
}

// replaceService replaces the references to one node in a service.
func (b *viewBuilder) replaceService(service string, old *NodeView, refs []instanceRef) {
	i := shardOf(service)
	if !b.copiedServices[i] {
		b.copiedServices[i] = true
		b.view.services[i] = cloneMap(b.view.services[i])
	}
	var list []instanceRef
	if s := b.view.services[i][service]; s != nil {
		list = make([]instanceRef, 0, len(s.refs)+len(refs))
		for _, r := range s.refs {
			if r.node != old {
				list = append(list, r)
			}
		}
	}
	if len(refs) > 0 {
		at, _ := slices.BinarySearchFunc(list, refs[0].node.ID, func(r instanceRef, id string) int {
			return strings.Compare(r.node.ID, id)
		})
		list = slices.Insert(list, at, refs...)
	}
	if len(list) == 0 {
		delete(b.view.services[i], service)
		return
	}
	b.view.services[i][service] = &serviceView{version: b.view.version, refs: list}
}
