package membership

import "time"

const (
	joinSpread    = 500 * time.Millisecond // jitter before the first request
	joinRetry     = time.Second
	maxJoinRetry  = 5 * time.Second
	busySpread    = 250 * time.Millisecond // jitter after a refusal
	returnSpread  = 2 * time.Second        // jitter after the return of a node
	longAbsence   = 10 * time.Second       // least time between transfers for that reason
	busyAddresses = 8                      // other nodes named in a refusal
)

// joining is the state transfer part of a Core.
type joining struct {
	joined   bool
	transfer transfer
	retry    time.Duration
	tokens   float64 // pages that may be served now
	refilled time.Duration
	// lastReturn is when a returning node last started a transfer.
	lastReturn time.Duration
}

// transfer fetches the table page by page from one node.
type transfer struct {
	active bool
	node   string // empty: choose a seed or peer
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
		spread := joinSpread
		if c.joined {
			spread = returnSpread
		}
		*t = transfer{active: true, nextAt: now + c.jitter(spread)}
	}
	if now < t.nextAt {
		return nil
	}
	c.retry = min(maxJoinRetry, max(joinRetry, c.retry*3/2))
	t.nextAt = now + c.retry/2 + c.jitter(c.retry/2)
	node, addr := t.node, t.addr
	// The next attempt goes elsewhere unless a response keeps this source.
	t.node, t.addr = "", ""
	if addr == "" {
		node, addr = c.source()
	}
	if addr == "" {
		c.joined = len(c.cfg.Seeds) == 0
		t.active = !c.joined
		return nil
	}
	return []Outgoing{c.requestState(now, node, addr)}
}

func (c *Core) requestState(now time.Duration, node, addr string) Outgoing {
	own := c.self.delta(now, 0)
	return c.direct(node, addr, &Message{Kind: StateRequest, Cursor: c.transfer.cursor, Updates: []Update{own}})
}

// source chooses where to fetch the table: a peer or a seed at random.
func (c *Core) source() (node, addr string) {
	if ids := c.pick(1, nil); len(ids) > 0 && c.rng.IntN(2) == 0 {
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

// onStateRequest serves a page within the bound, or names other nodes, so that
// many joins at once spread over the fleet.
func (c *Core) onStateRequest(now time.Duration, msg *Message) []Outgoing {
	c.tokens = min(pagesPerSecond, c.tokens+(now-c.refilled).Seconds()*pagesPerSecond)
	c.refilled = now
	if c.tokens < 1 {
		return []Outgoing{c.answer(msg, &Message{Kind: Busy, Updates: c.someHeaders()})}
	}
	c.tokens--
	var list []Update
	size := 0
	cursor, more := "", false
	for _, id := range c.after(msg.Cursor) {
		u := c.members[id].full(now)
		if size += u.size(); size > pageBytes && len(list) > 0 {
			more = true
			break
		}
		list = append(list, u)
		cursor = id
	}
	return []Outgoing{c.answer(msg, &Message{Kind: State, Updates: list, Cursor: cursor, More: more, Number: 1})}
}

func (c *Core) after(cursor string) []string {
	for i, id := range c.order {
		if id > cursor {
			return c.order[i:]
		}
	}
	return nil
}

func (c *Core) someHeaders() []Update {
	var list []Update
	for _, id := range c.pick(busyAddresses, nil) {
		list = append(list, c.members[id].header())
	}
	return list
}

// onState continues or ends a transfer. Number tells its pages from records
// sent for other reasons.
func (c *Core) onState(now time.Duration, msg *Message) []Outgoing {
	t := &c.transfer
	if !t.active || msg.Number == 0 {
		return nil
	}
	c.retry = 0
	if !msg.More {
		c.joined = true
		*t = transfer{}
		return nil
	}
	if msg.Cursor <= t.cursor {
		return nil // repeated page
	}
	t.node, t.addr, t.cursor = msg.From.ID, msg.From.Addr, msg.Cursor
	t.nextAt = now + joinRetry
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
	t.nextAt = now + c.jitter(busySpread)
}

// returned starts a transfer when a node is back after a long absence: a
// partition may have ended, and the node may know many others.
func (c *Core) returned(now time.Duration, m *member) {
	if c.transfer.active || m == c.self || now-c.lastReturn < longAbsence {
		return
	}
	c.lastReturn = now
	c.transfer = transfer{active: true, node: m.node.ID, addr: m.node.ControlAddr, nextAt: now + c.jitter(returnSpread)}
}
