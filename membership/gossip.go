package membership

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// neighbourCount is the number of peers among which each push chooses. Their
	// connections stay open, while a push to any peer of a large fleet would
	// start with a handshake.
	neighbourCount    = 12
	neighbourInterval = time.Minute // between replacements of one neighbour
)

// repeatCost is the number of transmissions that one arrival of known news
// replaces.
const repeatCost = 4

// gossip is the dissemination part of a Core.
type gossip struct {
	rumors  []*rumor // fewest transmissions first, after sorting
	rumorOf map[string]*rumor
	fresh   bool // some rumor was not pushed yet

	neighbours    []string // receivers of pushes
	nextNeighbour time.Duration
}

// rumor is news about a member that is still being sent.
type rumor struct {
	id     string
	base   int64 // content sequence before the news
	sent   int
	pushed bool
}

func (g *gossip) init() { g.rumorOf = make(map[string]*rumor) }

// news starts the dissemination of a change of m.
func (c *Core) news(m *member, base int64) {
	c.touch(m)
	c.refreshSum(c.lastTick, m)
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
	c.fresh = true
}

func (c *Core) dropRumor(id string) {
	if r := c.rumorOf[id]; r != nil {
		delete(c.rumorOf, id)
		c.rumors = slices.DeleteFunc(c.rumors, func(q *rumor) bool { return q == r })
	}
}

// transmissions is how often each update is sent.
func (c *Core) transmissions() int {
	return c.cfg.RetransmitFactor * max(1, bits.Len(uint(len(c.peers)+1)))
}

// heardAgain counts the arrival of known news against its transmissions: the
// sender's other receivers are likely to know it too.
func (c *Core) heardAgain(id string) {
	if r := c.rumorOf[id]; r != nil && r.pushed {
		r.sent += repeatCost
	}
}

// piggyback returns updates for a message to a node: first what is held against
// that node, so that it can refute, then news by rising transmissions.
func (c *Core) piggyback(now time.Duration, to string) []Update {
	var list []Update
	size := 0
	if m := c.members[to]; m != nil && m.life.status != Alive {
		list = append(list, m.update(now))
		size = list[0].size()
	}
	slices.SortStableFunc(c.rumors, func(a, b *rumor) int { return a.sent - b.sent })
	for _, r := range c.rumors {
		if r.id == to {
			continue
		}
		u := c.members[r.id].delta(now, r.base)
		if size+u.size() > c.cfg.PiggybackBytes {
			continue
		}
		size += u.size()
		r.sent++
		list = append(list, u)
	}
	c.retire()
	return list
}

// retire drops rumors that were sent often enough.
func (c *Core) retire() {
	limit := c.transmissions()
	c.rumors = slices.DeleteFunc(c.rumors, func(r *rumor) bool {
		if r.sent < limit {
			return false
		}
		delete(c.rumorOf, r.id)
		return true
	})
}

// push sends fresh news to a few random peers.
func (c *Core) push(now time.Duration) []Outgoing {
	if !c.fresh || len(c.peers) == 0 {
		return nil
	}
	targets := c.pushTargets(now)
	updates := c.takeFresh(now, len(targets))
	var out []Outgoing
	for _, id := range targets {
		out = append(out, c.to(c.members[id], &Message{Kind: Push, Updates: updates}))
	}
	return out
}

// pushTargets returns some of the neighbours. It replaces those that died or
// cannot be reached, and one of the others from time to time.
func (c *Core) pushTargets(now time.Duration) []string {
	c.neighbours = slices.DeleteFunc(c.neighbours, func(id string) bool {
		m := c.members[id]
		return m == nil || m.gonePast() || c.faults[id]
	})
	if now >= c.nextNeighbour && len(c.neighbours) > 0 {
		c.nextNeighbour = now + neighbourInterval
		c.neighbours = slices.Delete(c.neighbours, 0, 1)
	}
	c.neighbours = append(c.neighbours, c.pick(neighbourCount-len(c.neighbours), func(id string) bool {
		return c.faults[id] || slices.Contains(c.neighbours, id)
	})...)
	targets := slices.Clone(c.neighbours)
	c.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(c.cfg.PushFanout, len(targets))]
}

// takeFresh returns updates that were not pushed yet, within the size bound.
func (c *Core) takeFresh(now time.Duration, copies int) []Update {
	c.fresh = false
	var list []Update
	size := 0
	for _, r := range c.rumors {
		if r.pushed {
			continue
		}
		u := c.members[r.id].delta(now, r.base)
		if size+u.size() > c.cfg.PiggybackBytes && len(list) > 0 {
			c.fresh = true
			continue
		}
		size += u.size()
		r.sent += copies
		r.pushed = true
		list = append(list, u)
	}
	c.retire()
	return list
}
