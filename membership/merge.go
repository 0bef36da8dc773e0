package membership

import (
	"slices"
	"time"

	"hyssopbridge/fleet"
)

// fetchRetry is the time after which a record that did not arrive is requested
// again from another peer.
const fetchRetry = 500 * time.Millisecond

// mergeAll merges the updates of a message and returns the nodes whose records
// must be fetched from its sender.
func (c *Core) mergeAll(now time.Duration, msg *Message) []string {
	var missing []string
	for i := range msg.Updates {
		u := &msg.Updates[i]
		c.merge(now, u, msg.Kind == State)
		m := c.members[u.ID]
		if m == nil || m == c.self || m.latestSeq <= m.seq || now < m.nextFetch || len(missing) == maxFetch {
			continue
		}
		m.nextFetch = now + fetchRetry
		missing = append(missing, u.ID)
		if !slices.Contains(c.incomplete, u.ID) {
			c.incomplete = append(c.incomplete, u.ID)
		}
	}
	return missing
}

// merge merges one update. transfer is set for updates of a state transfer,
// whose statuses may be old; see mergeLiveness.
func (c *Core) merge(now time.Duration, u *Update, transfer bool) {
	if u.ID == c.self.node.ID {
		c.mergeSelf(u)
		return
	}
	m := c.members[u.ID]
	l := liveness{u.Incarnation, u.Refutation, u.Status}
	if m == nil {
		m = c.addFromUpdate(now, u, l)
		if m == nil {
			return
		}
	}
	if l.incarnation < m.liveness.incarnation {
		return
	}
	base, before, draining := m.seq, m.liveness, m.draining
	if l.incarnation > m.liveness.incarnation {
		c.replaceRecord(now, m, u, l)
		base = 0
	} else {
		c.mergeLiveness(now, m, l, transfer)
	}
	m.draining = m.draining || u.Leaving
	content := false
	if !m.isGone() {
		m.latestSeq = max(m.latestSeq, u.Seq)
		content = c.applyContent(m, u)
	}
	switch {
	case content || m.liveness != before || m.draining != draining:
		c.disseminate(m, base)
	case m.liveness == l && m.seq == u.Seq && m.draining == u.Leaving:
		c.countDuplicate(u.ID)
	}
}

// addFromUpdate adds a node that is not in the table. Records of dead nodes
// past their retention are ignored; otherwise nodes would exchange them
// forever.
func (c *Core) addFromUpdate(now time.Duration, u *Update, l liveness) *member {
	if u.ID == "" || (l.status >= Dead && u.AgeMS >= c.cfg.DeadRetention.Milliseconds()) {
		return nil
	}
	m := &member{node: c.nodeOf(u), liveness: liveness{incarnation: l.incarnation, refutation: -1}}
	c.members[u.ID] = m
	i, _ := slices.BinarySearch(c.order, u.ID)
	c.order = slices.Insert(c.order, i, u.ID)
	c.setLiveness(now, m, l)
	if l.status >= Dead {
		m.statusSince = now - time.Duration(u.AgeMS)*time.Millisecond
	}
	c.disseminate(m, 0)
	return m
}

func (c *Core) nodeOf(u *Update) fleet.Node {
	return fleet.Node{
		ID: u.ID, Incarnation: u.Incarnation, PeerAddr: u.PeerAddr, ControlAddr: u.ControlAddr,
		Zone: c.intern(u.Zone), Region: c.intern(u.Region),
	}
}

// replaceRecord replaces the record of a node by that of a later process with
// the same ID.
func (c *Core) replaceRecord(now time.Duration, m *member, u *Update, l liveness) {
	m.node = c.nodeOf(u)
	m.seq, m.latestSeq, m.draining, m.nextFetch, m.probeFailed = 0, 0, false, 0, false
	m.instances, m.changeSeqs, m.removals, m.deltaFloor = nil, nil, nil, 0
	c.clearLinkFault(m.node.ID)
	c.setLiveness(now, m, l)
}

// mergeLiveness merges a liveness of the same incarnation. A report that a node
// is dead, while it is alive here, becomes a suspicion, which the node can
// refute. A report from a state transfer only queues a notice to the node: the
// sender may have been partitioned and consider many live nodes dead.
func (c *Core) mergeLiveness(now time.Duration, m *member, l liveness, transfer bool) {
	if transfer && l.refutation == m.liveness.refutation && (l.status == Dead) != (m.liveness.status == Dead) {
		c.addConflict(m)
		if l.status == Dead {
			return
		}
	}
	if l.compare(m.liveness) <= 0 {
		return
	}
	if l.status == Dead && !m.isGone() {
		l.status = Suspect
		if l.compare(m.liveness) <= 0 {
			return
		}
	}
	refuted := m.liveness.status == Suspect && l.status == Alive
	c.setLiveness(now, m, l)
	if refuted && m.probeFailed {
		c.setLinkFault(m.node.ID)
	}
}

// setLiveness changes the liveness of m and updates the lists that depend on
// it.
func (c *Core) setLiveness(now time.Duration, m *member, l liveness) {
	wasGone := m.isGone()
	m.liveness = l
	m.node.Incarnation = l.incarnation
	m.statusSince = now
	id := m.node.ID
	c.suspects = slices.DeleteFunc(c.suspects, func(s string) bool { return s == id })
	if l.status == Suspect {
		c.suspects = append(c.suspects, id)
	}
	if m.isGone() {
		m.instances, m.changeSeqs, m.removals, m.seq, m.latestSeq = nil, nil, nil, 0, 0
		c.clearLinkFault(id)
	}
	c.updateDeadAddresses(now, m)
	c.trackPeer(m)
	if wasGone && !m.isGone() {
		c.onReturn(now, m)
	}
}

// mergeSelf refutes reports that this process is suspect, dead or left, and
// detects a later process with the ID of this node.
func (c *Core) mergeSelf(u *Update) {
	own := c.self.liveness
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
	c.self.liveness.refutation = u.Refutation + 1
	c.disseminate(c.self, c.self.seq)
}

func (c *Core) expireSuspects(now time.Duration) {
	for _, id := range slices.Clone(c.suspects) {
		m := c.members[id]
		if now-m.statusSince < c.cfg.SuspicionTimeout {
			continue
		}
		l := m.liveness
		l.status = Dead
		c.setLiveness(now, m, l)
		c.disseminate(m, m.seq)
	}
}
