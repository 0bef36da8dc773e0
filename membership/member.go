package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"hyssopbridge/fleet"
)

// life is ordered by its fields in this order.
type life struct {
	incarnation int64
	refutation  int64
	status      Status
}

func (a life) compare(b life) int {
	return cmp.Or(
		cmp.Compare(a.incarnation, b.incarnation),
		cmp.Compare(a.refutation, b.refutation),
		cmp.Compare(a.status, b.status),
	)
}

// maxGone bounds the removals kept for deltas.
const maxGone = 64

// member is one node of the table.
type member struct {
	node    fleet.Node
	life    life
	since   time.Duration // of the status
	sum     uint64        // share of the member in the digest
	failed  bool          // the last direct probe had no response
	seq     int64         // of the content held
	want    int64         // highest sequence heard of
	fetchAt time.Duration // next fetch
	leaving bool

	// instances is replaced, never changed in place: views share it. The
	// elements of at are the record sequences of their last changes.
	instances  []fleet.Instance
	at         []int64
	gone       []InstanceUpdate // removals, oldest first
	deltaFloor int64            // deltas are complete for this base or higher
}

func (m *member) gonePast() bool { return m.life.status >= Dead }

func (m *member) header() Update {
	return Update{
		ID:          m.node.ID,
		Incarnation: m.life.incarnation,
		Refutation:  m.life.refutation,
		Status:      m.life.status,
		Seq:         max(m.seq, m.want),
		Leaving:     m.leaving,
		PeerAddr:    m.node.PeerAddr,
		ControlAddr: m.node.ControlAddr,
		Zone:        m.node.Zone,
		Region:      m.node.Region,
	}
}

func (m *member) update(now time.Duration) Update {
	u := m.header()
	if m.gonePast() {
		u.AgeMS = (now - m.since).Milliseconds()
	}
	return u
}

// delta returns an update with the changes after base, or without content if
// they are unknown or too large.
func (m *member) delta(now time.Duration, base int64) Update {
	u := m.update(now)
	if m.gonePast() || m.want > m.seq || base < m.deltaFloor {
		return u
	}
	list := m.changedAfter(base)
	if instancesSize(list) > maxInstanceUpdate {
		return u
	}
	u.Content, u.Base, u.Instances = Delta, base, list
	return u
}

func (m *member) full(now time.Duration) Update {
	u := m.update(now)
	if m.gonePast() || m.seq == 0 {
		return u
	}
	u.Seq = m.seq
	u.Content, u.Instances = Full, m.changedAfter(-1)
	return u
}

func (m *member) changedAfter(base int64) []InstanceUpdate {
	var list []InstanceUpdate
	for i := range m.instances {
		if m.at[i] > base {
			list = append(list, instanceUpdate(&m.instances[i], m.at[i]))
		}
	}
	if base < 0 {
		return list
	}
	for _, g := range m.gone {
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

// applyContent takes the instances of u if they are newer and complete.
func (c *Core) applyContent(m *member, u *Update) bool {
	if u.Content == NoContent || u.Seq <= m.seq {
		return false
	}
	if u.Content == Delta && u.Base > m.seq {
		return false
	}
	if u.Content == Full {
		m.instances, m.at, m.gone, m.deltaFloor = nil, nil, nil, u.Seq
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
			at = append(at, m.at[i])
		}
	}
	for i := range changes {
		if changes[i].State == removed {
			m.addGone(changes[i])
			continue
		}
		if len(list) == MaxInstances || changed[changes[i].ID] != &changes[i] {
			continue
		}
		m.dropGone(changes[i].ID)
		list = append(list, c.instance(&changes[i]))
		at = append(at, changes[i].At)
	}
	m.instances, m.at = sortInstances(list, at)
}

func (m *member) addGone(u InstanceUpdate) {
	m.gone = append(m.gone, u)
	if len(m.gone) > maxGone {
		m.deltaFloor = max(m.deltaFloor, m.gone[0].At)
		m.gone = m.gone[1:]
	}
}

func (m *member) dropGone(id string) {
	m.gone = slices.DeleteFunc(m.gone, func(g InstanceUpdate) bool { return g.ID == id })
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
