package lease

import (
	"slices"
	"strings"
	"time"
)

// Tick advances activation, renews leases and proposes groups. Call it at least
// every 100 ms.
func (c *Core) Tick(now time.Duration, wallMS int64) Output {
	var out Output
	for _, s := range c.participating {
		c.updateActive(now, wallMS, s)
		if p, ok := c.propose(now, s); ok {
			out.Proposals = append(out.Proposals, p)
		}
	}
	if now >= c.nextRequest || c.requestNow {
		c.requestNow = false
		c.nextRequest = now + RenewInterval
		out.Messages = c.buildRequests(now)
	}
	return out
}

// buildRequests returns one message per peer with the requests for all services
// shared with it.
func (c *Core) buildRequests(now time.Duration) []Message {
	byPeer := map[string][]Ask{}
	for _, s := range c.participating {
		if !s.needsRequest(now) {
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

// needsRequest reports whether answers of the other members are needed, as
// confirmations, as acknowledgements or to know which members are reachable.
func (s *service) needsRequest(now time.Duration) bool {
	if s.current.Epoch == 0 {
		return false
	}
	return now < s.inUseUntil || s.activeEpoch < s.current.Epoch || s.changePending
}

// peersOf returns the nodes of the other members of the current group and,
// until its epoch is active, of the base group.
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
