package membership

import (
	"slices"
	"time"

	"hyssopbridge/fleet"
)

// fetchRetry is the time after which a record that did not arrive is requested
// again, from another peer.
const fetchRetry = 500 * time.Millisecond

// mergeAll merges the updates of a message and returns the nodes whose records
// must be fetched from its sender.
func (c *Core) mergeAll(now time.Duration, msg *Message) []string {
	var missing []string
	for i := range msg.Updates {
		u := &msg.Updates[i]
		c.merge(now, u, msg.Kind == State)
		m := c.members[u.ID]
		if m == nil || m == c.self || m.want <= m.seq || now < m.fetchAt || len(missing) == maxFetch {
			continue
		}
		m.fetchAt = now + fetchRetry
		missing = append(missing, u.ID)
		if !slices.Contains(c.wanted, u.ID) {
			c.wanted = append(c.wanted, u.ID)
		}
	}
	return missing
}

// merge merges one update. State transfers report old verdicts; see adopt.
func (c *Core) merge(now time.Duration, u *Update, transfer bool) {
	if u.ID == c.self.node.ID {
		c.mergeSelf(u)
		return
	}
	m := c.members[u.ID]
	l := life{u.Incarnation, u.Refutation, u.Status}
	if m == nil {
		m = c.learn(now, u, l)
		if m == nil {
			return
		}
	}
	if l.incarnation < m.life.incarnation {
		return
	}
	base, before, leaving := m.seq, m.life, m.leaving
	if l.incarnation > m.life.incarnation {
		c.restart(now, m, u, l)
		base = 0
	} else {
		c.adopt(now, m, l, transfer)
	}
	m.leaving = m.leaving || u.Leaving
	content := false
	if !m.gonePast() {
		m.want = max(m.want, u.Seq)
		content = c.applyContent(m, u)
	}
	switch {
	case content || m.life != before || m.leaving != leaving:
		c.news(m, base)
	case m.life == l && m.seq == u.Seq && m.leaving == u.Leaving:
		c.heardAgain(u.ID)
	}
}

// learn adds a node that is not in the table. Dead records past their retention
// are not taken, or they would pass between nodes forever.
func (c *Core) learn(now time.Duration, u *Update, l life) *member {
	if u.ID == "" || (l.status >= Dead && u.AgeMS >= c.cfg.DeadRetention.Milliseconds()) {
		return nil
	}
	m := &member{node: c.nodeOf(u), life: life{incarnation: l.incarnation, refutation: -1}}
	c.members[u.ID] = m
	i, _ := slices.BinarySearch(c.order, u.ID)
	c.order = slices.Insert(c.order, i, u.ID)
	c.setLife(now, m, l)
	if l.status >= Dead {
		m.since = now - time.Duration(u.AgeMS)*time.Millisecond
	}
	c.news(m, 0)
	return m
}

func (c *Core) nodeOf(u *Update) fleet.Node {
	return fleet.Node{
		ID: u.ID, Incarnation: u.Incarnation, PeerAddr: u.PeerAddr, ControlAddr: u.ControlAddr,
		Zone: c.intern(u.Zone), Region: c.intern(u.Region),
	}
}

// restart replaces the record of a node by that of a later process.
func (c *Core) restart(now time.Duration, m *member, u *Update, l life) {
	m.node = c.nodeOf(u)
	m.seq, m.want, m.leaving, m.fetchAt, m.failed = 0, 0, false, 0, false
	m.instances, m.at, m.gone, m.deltaFloor = nil, nil, nil, 0
	c.clearFault(m.node.ID)
	c.setLife(now, m, l)
}

// adopt merges a life of the same incarnation. A verdict "dead" on a node that
// is alive here becomes a suspicion, which the node can refute. From a state
// transfer it is put to the node itself instead: the sender may have been cut
// off and hold that verdict on many live nodes.
func (c *Core) adopt(now time.Duration, m *member, l life, transfer bool) {
	if transfer && l.refutation == m.life.refutation && (l.status == Dead) != (m.life.status == Dead) {
		c.addConflict(m)
		if l.status == Dead {
			return
		}
	}
	if l.compare(m.life) <= 0 {
		return
	}
	if l.status == Dead && !m.gonePast() {
		l.status = Suspect
		if l.compare(m.life) <= 0 {
			return
		}
	}
	refuted := m.life.status == Suspect && l.status == Alive
	c.setLife(now, m, l)
	if refuted && m.failed {
		c.setFault(m.node.ID)
	}
}

// setLife changes the life of m and the lists that depend on it.
func (c *Core) setLife(now time.Duration, m *member, l life) {
	wasGone := m.gonePast()
	m.life = l
	m.node.Incarnation = l.incarnation
	m.since = now
	id := m.node.ID
	c.suspects = slices.DeleteFunc(c.suspects, func(s string) bool { return s == id })
	if l.status == Suspect {
		c.suspects = append(c.suspects, id)
	}
	if m.gonePast() {
		m.instances, m.at, m.gone, m.seq, m.want = nil, nil, nil, 0, 0
		c.clearFault(id)
	}
	c.keepAddress(now, m)
	c.trackPeer(m)
	if wasGone && !m.gonePast() {
		c.returned(now, m)
	}
}

// mergeSelf refutes what others say about this process.
func (c *Core) mergeSelf(u *Update) {
	own := c.self.life
	if u.Incarnation > own.incarnation {
		c.superseded = max(c.superseded, u.Incarnation)
		c.dirty = true
	}
	if u.Incarnation != own.incarnation || own.status == Left {
		return
	}
	if u.Status == Alive || u.Refutation < own.refutation {
		return
	}
	c.self.life.refutation = u.Refutation + 1
	c.news(c.self, c.self.seq)
}

func (c *Core) expireSuspects(now time.Duration) {
	for _, id := range slices.Clone(c.suspects) {
		m := c.members[id]
		if now-m.since < c.cfg.SuspicionTimeout {
			continue
		}
		l := m.life
		l.status = Dead
		c.setLife(now, m, l)
		c.news(m, m.seq)
	}
}
