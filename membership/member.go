package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hyssopbridge/fleet"
)

// liveness is the versioned status of a member, ordered by its fields as
// listed.
type liveness struct {
	incarnation int64
	refutation  int64
	status      Status
}

func (a liveness) compare(b liveness) int {
	return cmp.Or(
		cmp.Compare(a.incarnation, b.incarnation),
		cmp.Compare(a.refutation, b.refutation),
		cmp.Compare(a.status, b.status),
	)
}

// maxRemovals bounds the removed instances remembered for delta updates.
const maxRemovals = 64

// member is the record of one node in the table.
type member struct {
	node        fleet.Node
	liveness    liveness
	statusSince time.Duration // start of the status, or of the suspicion timeout
	digestHash  uint64        // contribution to the digest
	probeFailed bool          // the last direct probe got no response
	seq         int64         // sequence of the stored content
	latestSeq   int64         // highest known sequence
	nextFetch   time.Duration // earliest time of the next fetch
	draining    bool

	// instances is replaced, never modified in place, because views share it.
	// changeSeqs holds the record sequence of the last change of each instance.
	instances  []fleet.Instance
	changeSeqs []int64
	removals   []InstanceUpdate // removed instances, oldest first
	deltaFloor int64            // delta updates are complete from this base on
}

// isGone reports whether the member is dead or has left.
func (m *member) isGone() bool { return m.liveness.status >= Dead }

// header returns an update without instances and age.
func (m *member) header() Update {
	return Update{
		ID:          m.node.ID,
		Incarnation: m.liveness.incarnation,
		Refutation:  m.liveness.refutation,
		Status:      m.liveness.status,
		Seq:         max(m.seq, m.latestSeq),
		Leaving:     m.draining,
		PeerAddr:    m.node.PeerAddr,
		ControlAddr: m.node.ControlAddr,
		Zone:        m.node.Zone,
		Region:      m.node.Region,
	}
}

func (m *member) update(now time.Duration) Update {
	u := m.header()
	if m.isGone() {
		u.AgeMS = (now - m.statusSince).Milliseconds()
	}
	return u
}

// deltaUpdate returns an update with the instances that changed after base, or
// without content if the changes are unknown or too large.
func (m *member) deltaUpdate(now time.Duration, base int64) Update {
	u := m.update(now)
	if m.isGone() || m.latestSeq > m.seq || base < m.deltaFloor {
		return u
	}
	list := m.changedAfter(base)
	if instancesSize(list) > maxUpdateInstanceBytes {
		return u
	}
	u.Content, u.Base, u.Instances = Delta, base, list
	return u
}

// fullUpdate returns an update with all instances.
func (m *member) fullUpdate(now time.Duration) Update {
	u := m.update(now)
	if m.isGone() || m.seq == 0 {
		return u
	}
	u.Seq = m.seq
	u.Content, u.Instances = Full, m.changedAfter(-1)
	return u
}

// changedAfter returns the instances that changed or were removed after base,
// or all instances if base is negative.
func (m *member) changedAfter(base int64) []InstanceUpdate {
	var list []InstanceUpdate
	for i := range m.instances {
		if m.changeSeqs[i] > base {
			list = append(list, instanceUpdate(&m.instances[i], m.changeSeqs[i]))
		}
	}
	if base < 0 {
		return list
	}
	for _, g := range m.removals {
		if g.At > base {
			list = append(list, g)
		}
	}
	return list
}

func instanceUpdate(i *fleet.Instance, at int64) InstanceUpdate {
	return InstanceUpdate{
		ID: i.ID, Service: i.Service, Incarnation: i.Incarnation, Slots: i.Slots,
		Connections: i.Connections, State: i.State, Seq: i.Seq, At: at,
	}
}

func (c *Core) instance(u *InstanceUpdate) fleet.Instance {
	return fleet.Instance{
		ID: u.ID, Service: c.intern(u.Service), Incarnation: u.Incarnation, Slots: u.Slots,
		Connections: u.Connections, State: u.State, Seq: u.Seq,
	}
}

// applyContent stores the instances of u if they are newer and complete, and
// reports whether it did.
func (c *Core) applyContent(m *member, u *Update) bool {
	if u.Content == NoContent || u.Seq <= m.seq {
		return false
	}
	if u.Content == Delta && u.Base > m.seq {
		return false
	}
	if u.Content == Full {
		m.instances, m.changeSeqs, m.removals, m.deltaFloor = nil, nil, nil, u.Seq
	}
	c.replaceInstances(m, u.Instances)
	m.seq = u.Seq
	return true
}

// replaceInstances merges changes into a new instance list, sorted by ID.
func (c *Core) replaceInstances(m *member, changes []InstanceUpdate) {
	changed := make(map[string]*InstanceUpdate, len(changes))
	for i := range changes {
		changed[changes[i].ID] = &changes[i]
	}
	list := make([]fleet.Instance, 0, len(m.instances)+len(changes))
	at := make([]int64, 0, cap(list))
	for i := range m.instances {
		if changed[m.instances[i].ID] == nil {
			list = append(list, m.instances[i])
			at = append(at, m.changeSeqs[i])
		}
	}
	for i := range changes {
		if changes[i].State == removed {
			m.addRemoval(changes[i])
			continue
		}
		if len(list) == MaxInstances || changed[changes[i].ID] != &changes[i] {
			continue
		}
		m.dropRemoval(changes[i].ID)
		list = append(list, c.instance(&changes[i]))
		at = append(at, changes[i].At)
	}
	m.instances, m.changeSeqs = sortInstances(list, at)
}

func (m *member) addRemoval(u InstanceUpdate) {
	m.removals = append(m.removals, u)
	if len(m.removals) > maxRemovals {
		m.deltaFloor = max(m.deltaFloor, m.removals[0].At)
		m.removals = m.removals[1:]
	}
}

func (m *member) dropRemoval(id string) {
	m.removals = slices.DeleteFunc(m.removals, func(g InstanceUpdate) bool { return g.ID == id })
}

func sortInstances(list []fleet.Instance, at []int64) ([]fleet.Instance, []int64) {
	byID := func(a, b fleet.Instance) int { return strings.Compare(a.ID, b.ID) }
	if slices.IsSortedFunc(list, byID) {
		return list, at
	}
	order := make([]int, len(list))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return byID(list[a], list[b]) })
	sorted := make([]fleet.Instance, len(list))
	sortedAt := make([]int64, len(list))
	for i, from := range order {
		sorted[i], sortedAt[i] = list[from], at[from]
	}
	return sorted, sortedAt
}
