package membership

import "time"

const (
	joinJitter        = 500 * time.Millisecond // jitter before the first request
	joinRetryDelay    = time.Second
	maxJoinRetryDelay = 5 * time.Second
	busyJitter        = 250 * time.Millisecond // jitter after a busy response
	returnJitter      = 2 * time.Second        // jitter after a node returns
	minReturnInterval = 10 * time.Second       // minimum time between transfers that a returning node starts
	busyAddresses     = 8                      // nodes named in a busy response
)

// joining is the state transfer part of a Core.
type joining struct {
	joined     bool
	transfer   transfer
	retryDelay time.Duration
	pageTokens float64 // token bucket of pages to serve
	lastRefill time.Duration
	// lastReturn is when the return of a node last started a transfer.
	lastReturn time.Duration
}

// transfer is the state of fetching the table page by page from one node.
type transfer struct {
	active bool
	node   string // if empty, a seed or peer is chosen
	addr   string
	cursor string
	nextAt time.Duration
}

// tickJoin requests the next page of a transfer, and starts one while the node
// has not joined or has lost all peers.
func (c *Core) tickJoin(now time.Duration) []Outgoing {
	t := &c.transfer
	if !t.active {
		if c.joined && len(c.peers) > 0 {
			return nil
		}
		spread := joinJitter
		if c.joined {
			spread = returnJitter
		}
		*t = transfer{active: true, nextAt: now + c.jitter(spread)}
	}
	if now < t.nextAt {
		return nil
	}
	c.retryDelay = min(maxJoinRetryDelay, max(joinRetryDelay, c.retryDelay*3/2))
	t.nextAt = now + c.retryDelay/2 + c.jitter(c.retryDelay/2)
	node, addr := t.node, t.addr
	// The next attempt uses another source unless this one responds.
	t.node, t.addr = "", ""
	if addr == "" {
		node, addr = c.chooseSource()
	}
	if addr == "" {
		c.joined = len(c.cfg.Seeds) == 0
		t.active = !c.joined
		return nil
	}
	return []Outgoing{c.requestState(now, node, addr)}
}

func (c *Core) requestState(now time.Duration, node, addr string) Outgoing {
	own := c.self.deltaUpdate(now, 0)
	return c.outgoing(node, addr, &Message{Kind: StateRequest, Cursor: c.transfer.cursor, Updates: []Update{own}})
}

// chooseSource returns a random peer or seed from which to fetch the table.
func (c *Core) chooseSource() (node, addr string) {
	if ids := c.randomPeers(1, nil); len(ids) > 0 && c.rng.IntN(2) == 0 {
		return ids[0], c.members[ids[0]].node.ControlAddr
	}
	var seeds []string
	for _, s := range c.cfg.Seeds {
		if s != c.self.node.ControlAddr {
			seeds = append(seeds, s)
		}
	}
	if len(seeds) == 0 {
		return "", ""
	}
	return "", seeds[c.rng.IntN(len(seeds))]
}

// onStateRequest serves a page of the table. Above the rate limit it names
// other nodes instead, which spreads simultaneous joins over the fleet.
func (c *Core) onStateRequest(now time.Duration, msg *Message) []Outgoing {
	c.pageTokens = min(maxPagesPerSecond, c.pageTokens+(now-c.lastRefill).Seconds()*maxPagesPerSecond)
	c.lastRefill = now
	if c.pageTokens < 1 {
		return []Outgoing{c.reply(msg, &Message{Kind: Busy, Updates: c.randomHeaders()})}
	}
	c.pageTokens--
	var list []Update
	size := 0
	cursor, more := "", false
	for _, id := range c.idsAfter(msg.Cursor) {
		u := c.members[id].fullUpdate(now)
		if size += u.size(); size > maxPageBytes && len(list) > 0 {
			more = true
			break
		}
		list = append(list, u)
		cursor = id
	}
	return []Outgoing{c.reply(msg, &Message{Kind: State, Updates: list, Cursor: cursor, More: more, Number: 1})}
}

func (c *Core) idsAfter(cursor string) []string {
	for i, id := range c.order {
		if id > cursor {
			return c.order[i:]
		}
	}
	return nil
}

func (c *Core) randomHeaders() []Update {
	var list []Update
	for _, id := range c.randomPeers(busyAddresses, nil) {
		list = append(list, c.members[id].header())
	}
	return list
}

// onState continues or ends a transfer. A nonzero Number distinguishes the
// pages of a transfer from records sent for other reasons.
func (c *Core) onState(now time.Duration, msg *Message) []Outgoing {
	t := &c.transfer
	if !t.active || msg.Number == 0 {
		return nil
	}
	c.retryDelay = 0
	if !msg.More {
		c.joined = true
		*t = transfer{}
		return nil
	}
	if msg.Cursor <= t.cursor {
		return nil // repeated page
	}
	t.node, t.addr, t.cursor = msg.From.ID, msg.From.Addr, msg.Cursor
	t.nextAt = now + joinRetryDelay
	return []Outgoing{c.requestState(now, t.node, t.addr)}
}

func (c *Core) onBusy(now time.Duration, msg *Message) {
	t := &c.transfer
	if !t.active || len(msg.Updates) == 0 {
		return
	}
	u := &msg.Updates[c.rng.IntN(len(msg.Updates))]
	if u.ID == c.self.node.ID {
		return
	}
	t.node, t.addr = u.ID, u.ControlAddr
	t.nextAt = now + c.jitter(busyJitter)
}

// onReturn starts a transfer when a dead node is alive again: a partition may
// have ended, and the node may know many others.
func (c *Core) onReturn(now time.Duration, m *member) {
	if c.transfer.active || m == c.self || now-c.lastReturn < minReturnInterval {
		return
	}
	c.lastReturn = now
	c.transfer = transfer{active: true, node: m.node.ID, addr: m.node.ControlAddr, nextAt: now + c.jitter(returnJitter)}
}
