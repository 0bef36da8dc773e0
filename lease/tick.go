package lease

import (
	"slices"
	"strings"
	"time"
)

// Tick advances activation, renews leases and proposes groups. It is called
// at least every 100 ms.
func (c *Core) Tick(now time.Duration, wallMS int64) Output {
	var out Output
	for _, s := range c.mine {
		c.updateActive(now, wallMS, s)
		if p, ok := c.propose(now, s); ok {
			out.Proposals = append(out.Proposals, p)
		}
	}
	if now >= c.nextAsk || c.urgent {
		c.urgent = false
		c.nextAsk = now + RenewInterval
		out.Messages = c.asks(now)
	}
	return out
}

// asks builds one message per peer with all services shared with it.
func (c *Core) asks(now time.Duration) []Message {
	byPeer := map[string][]Ask{}
	for _, s := range c.mine {
		if !s.wantsAsk(now) {
			continue
		}
		ask := Ask{Service: s.name, Epoch: s.current.Epoch}
		for _, node := range c.peersOf(s) {
			byPeer[node] = append(byPeer[node], ask)
		}
	}
	messages := make([]Message, 0, len(byPeer))
	for node, asks := range byPeer {
		messages = append(messages, Message{From: c.self, To: node, Asks: asks, AskedAt: now})
	}
	slices.SortFunc(messages, func(a, b Message) int { return strings.Compare(a.To, b.To) })
	return messages
}

// wantsAsk reports whether confirmations, acknowledgements or the reachability
// of members are needed.
func (s *service) wantsAsk(now time.Duration) bool {
	if s.current.Epoch == 0 {
		return false
	}
	return now < s.usedUntil || s.activeEpoch < s.current.Epoch || s.changeWanted
}

// peersOf returns the other members of the current group and, until the epoch
// is active, of its base group.
func (c *Core) peersOf(s *service) []string {
	var nodes []string
	add := func(node string) {
		if node != c.self.Node && !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	for _, m := range s.current.Members {
		add(m.Node)
	}
	if s.activeEpoch < s.current.Epoch {
		for _, m := range s.base.Members {
			add(m.Node)
		}
	}
	return nodes
}
