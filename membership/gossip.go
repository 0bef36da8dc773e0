package membership

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// neighbourCount is the number of peers from which each push chooses its
	// receivers. Connections to them stay open; pushing to arbitrary peers of a
	// large fleet would need a handshake for most pushes.
	neighbourCount    = 12
	neighbourInterval = time.Minute // between replacements of one neighbour
)

// duplicateCost is the number of transmissions that receiving an already known
// update replaces.
const duplicateCost = 4

// gossip is the dissemination part of a Core.
type gossip struct {
	rumors      []*rumor // fewest transmissions first after sorting
	rumorOf     map[string]*rumor
	hasUnpushed bool // a rumor has not been pushed yet

	neighbours    []string // receivers of pushes
	nextNeighbour time.Duration
}

// rumor is an update about a member that is still being sent.
type rumor struct {
	id     string
	base   int64 // content sequence before the update
	sent   int
	pushed bool
}

func (g *gossip) init() { g.rumorOf = make(map[string]*rumor) }

// disseminate starts the dissemination of a change of m.
func (c *Core) disseminate(m *member, base int64) {
	c.markChanged(m)
	c.updateDigestHash(c.lastTick, m)
	id := m.node.ID
	r := c.rumorOf[id]
	if r == nil {
		r = &rumor{id: id, base: base}
		c.rumorOf[id] = r
		c.rumors = append(c.rumors, r)
	}
	r.base = min(r.base, base)
	r.sent = 0
	r.pushed = false
	c.hasUnpushed = true
}

func (c *Core) dropRumor(id string) {
	if r := c.rumorOf[id]; r != nil {
		delete(c.rumorOf, id)
		c.rumors = slices.DeleteFunc(c.rumors, func(q *rumor) bool { return q == r })
	}
}

// transmissions returns how often each update is sent.
func (c *Core) transmissions() int {
	return c.cfg.RetransmitFactor * max(1, bits.Len(uint(len(c.peers)+1)))
}

// countDuplicate counts an already known update against its transmissions: the
// sender's other receivers probably know it too.
func (c *Core) countDuplicate(id string) {
	if r := c.rumorOf[id]; r != nil && r.pushed {
		r.sent += duplicateCost
	}
}

// piggyback returns the updates to add to a message to a node: first the record
// of that node if it is not alive here, so that the node can refute it, then
// the rumors with the fewest transmissions.
func (c *Core) piggyback(now time.Duration, to string) []Update {
	var list []Update
	size := 0
	if m := c.members[to]; m != nil && m.liveness.status != Alive {
		list = append(list, m.update(now))
		size = list[0].size()
	}
	slices.SortStableFunc(c.rumors, func(a, b *rumor) int { return a.sent - b.sent })
	for _, r := range c.rumors {
		if r.id == to {
			continue
		}
		u := c.members[r.id].deltaUpdate(now, r.base)
		if size+u.size() > c.cfg.PiggybackBytes {
			continue
		}
		size += u.size()
		r.sent++
		list = append(list, u)
	}
	c.dropSentRumors()
	return list
}

// dropSentRumors drops the rumors that were sent often enough.
func (c *Core) dropSentRumors() {
	limit := c.transmissions()
	c.rumors = slices.DeleteFunc(c.rumors, func(r *rumor) bool {
		if r.sent < limit {
			return false
		}
		delete(c.rumorOf, r.id)
		return true
	})
}

// push sends updates that were not pushed yet to a few random neighbours.
func (c *Core) push(now time.Duration) []Outgoing {
	if !c.hasUnpushed || len(c.peers) == 0 {
		return nil
	}
	targets := c.pushTargets(now)
	updates := c.takeUnpushed(now, len(targets))
	var out []Outgoing
	for _, id := range targets {
		out = append(out, c.messageTo(c.members[id], &Message{Kind: Push, Updates: updates}))
	}
	return out
}

// pushTargets returns a random selection of the neighbours. It replaces
// neighbours that are dead or unreachable, and one other per neighbourInterval.
func (c *Core) pushTargets(now time.Duration) []string {
	c.neighbours = slices.DeleteFunc(c.neighbours, func(id string) bool {
		m := c.members[id]
		return m == nil || m.isGone() || c.linkFaults[id]
	})
	if now >= c.nextNeighbour && len(c.neighbours) > 0 {
		c.nextNeighbour = now + neighbourInterval
		c.neighbours = slices.Delete(c.neighbours, 0, 1)
	}
	c.neighbours = append(c.neighbours, c.randomPeers(neighbourCount-len(c.neighbours), func(id string) bool {
		return c.linkFaults[id] || slices.Contains(c.neighbours, id)
	})...)
	targets := slices.Clone(c.neighbours)
	c.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(c.cfg.PushFanout, len(targets))]
}

// takeUnpushed returns updates that were not pushed yet, up to PiggybackBytes.
func (c *Core) takeUnpushed(now time.Duration, copies int) []Update {
	c.hasUnpushed = false
	var list []Update
	size := 0
	for _, r := range c.rumors {
		if r.pushed {
			continue
		}
		u := c.members[r.id].deltaUpdate(now, r.base)
		if size+u.size() > c.cfg.PiggybackBytes && len(list) > 0 {
			c.hasUnpushed = true
			continue
		}
		size += u.size()
		r.sent += copies
		r.pushed = true
		list = append(list, u)
	}
	c.dropSentRumors()
	return list
}
