package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"hyssopbridge/fleet"
)

// pauseGap is the time without a tick after which the process is taken to have
// been paused, and its timers to prove nothing about others.
const pauseGap = time.Second

// housekeepingInterval is the time between removals of expired records.
const housekeepingInterval = 10 * time.Second

// Core is the membership state machine of one node. It is not safe for
// concurrent use. Times are counted from an arbitrary origin and never go back.
type Core struct {
	cfg      Config
	rng      *rand.Rand
	self     *member
	members  map[string]*member // by node ID, with self
	order    []string           // node IDs, sorted
	peers    []string           // IDs of other members that are not dead, sorted
	interned map[string]string
	lastTick time.Duration

	probing
	gossip
	syncing
	joining
	publishing

	nextHousekeeping time.Duration
	superseded       int64
}

// New returns a core that knows only itself. Equal seeds and inputs give equal
// outputs.
func New(cfg Config, seed uint64) *Core {
	c := &Core{
		cfg:      cfg.withDefaults(),
		rng:      rand.New(rand.NewPCG(seed, 0x6d656d62)),
		members:  make(map[string]*member),
		interned: make(map[string]string),
	}
	c.probing.init()
	c.gossip.init()
	c.publishing.init()
	c.conflicts = make(map[string]bool)
	c.self = &member{node: cfg.Self, life: life{incarnation: cfg.Self.Incarnation}, seq: 1, want: 1}
	c.add(c.self)
	c.news(c.self, 0)
	return c
}

// SetSelf sets the instances of this node and whether it is leaving. Changes
// are sent by the next Tick. Instances above MaxInstances are not announced.
func (c *Core) SetSelf(instances []fleet.Instance, leaving bool) {
	if len(instances) > MaxInstances {
		instances = instances[:MaxInstances]
	}
	m := c.self
	changes := selfChanges(m, instances)
	if len(changes) == 0 && leaving == m.leaving {
		return
	}
	base := m.seq
	m.leaving = m.leaving || leaving
	c.replaceInstances(m, changes)
	m.seq++
	m.want = m.seq
	c.news(m, base)
}

func selfChanges(m *member, instances []fleet.Instance) []InstanceUpdate {
	old := make(map[string]*fleet.Instance, len(m.instances))
	for i := range m.instances {
		old[m.instances[i].ID] = &m.instances[i]
	}
	var changes []InstanceUpdate
	for i := range instances {
		before := old[instances[i].ID]
		delete(old, instances[i].ID)
		if before == nil || *before != instances[i] {
			changes = append(changes, instanceUpdate(&instances[i], m.seq+1))
		}
	}
	for i := range m.instances {
		if gone := &m.instances[i]; old[gone.ID] != nil {
			changes = append(changes, InstanceUpdate{ID: gone.ID, State: removed, Seq: gone.Seq + 1, At: m.seq + 1})
		}
	}
	return changes
}

// Leave announces that this node has left, and returns the last messages. The
// core must not be used afterwards.
func (c *Core) Leave(now time.Duration) []Outgoing {
	c.self.leaving = true
	c.setLife(now, c.self, life{c.self.life.incarnation, c.self.life.refutation, Left})
	c.news(c.self, c.self.seq)
	var out []Outgoing
	for _, id := range c.pick(2*c.cfg.PushFanout, nil) {
		out = append(out, c.to(c.members[id], &Message{Kind: Push, Updates: []Update{c.self.update(now)}}))
	}
	return out
}

// Receive handles a message from a node and returns messages to send. A sender
// that was replaced by a later process is only told so.
func (c *Core) Receive(now time.Duration, from string, msg *Message) []Outgoing {
	if from == c.self.node.ID || from != msg.From.ID {
		return nil
	}
	if m := c.members[from]; m != nil && m.life.incarnation > msg.From.Incarnation {
		return []Outgoing{c.answer(msg, &Message{Kind: Push, Updates: []Update{m.update(now)}})}
	}
	refutation := c.self.life.refutation
	missing := c.mergeAll(now, msg)
	out := c.handle(now, msg)
	if refutation != c.self.life.refutation && msg.Kind != Ping {
		out = append(out, c.answer(msg, &Message{Kind: Push, Updates: []Update{c.self.update(now)}}))
	}
	if m := c.members[from]; m == nil || m.life.incarnation < msg.From.Incarnation {
		missing = append(missing, from)
	}
	if len(missing) > 0 {
		out = append(out, c.direct(msg.From.ID, msg.From.Addr, &Message{Kind: Fetch, IDs: missing}))
	}
	return out
}

func (c *Core) handle(now time.Duration, msg *Message) []Outgoing {
	switch msg.Kind {
	case Ping:
		return []Outgoing{c.answer(msg, &Message{
			Kind: Ack, Number: msg.Number, Updates: c.piggyback(now, msg.From.ID),
		})}
	case Ack:
		return c.onAck(now, msg)
	case PingRequest:
		return c.onPingRequest(now, msg)
	case IndirectAck:
		c.onIndirectAck(now, msg)
	case StateRequest:
		return c.onStateRequest(now, msg)
	case State:
		return c.onState(now, msg)
	case Busy:
		c.onBusy(now, msg)
	case Fetch:
		return c.onFetch(now, msg)
	case Digest:
		return c.onDigest(msg)
	case Summary:
		return c.onSummary(now, msg)
	}
	return nil
}

// Tick advances the timers; it is to be called about every 50 ms.
func (c *Core) Tick(now time.Duration) []Outgoing {
	if now-c.lastTick > pauseGap && c.lastTick > 0 {
		c.resume(now)
	}
	c.lastTick = now
	c.expireSuspects(now)
	var out []Outgoing
	out = append(out, c.tickProbes(now)...)
	out = append(out, c.tickJoin(now)...)
	out = append(out, c.tickSync(now)...)
	out = append(out, c.tickFetch(now)...)
	out = append(out, c.push(now)...)
	c.housekeeping(now)
	return out
}

// resume restarts the timers after a pause of this process.
func (c *Core) resume(now time.Duration) {
	c.probes = nil
	for _, id := range c.suspects {
		c.members[id].since = now
	}
}

func (c *Core) housekeeping(now time.Duration) {
	if now < c.nextHousekeeping {
		return
	}
	c.nextHousekeeping = now + housekeepingInterval
	for _, id := range slices.Clone(c.order) {
		m := c.members[id]
		if m.gonePast() && m != c.self && now-m.since >= c.cfg.DeadRetention {
			c.remove(m)
		} else {
			c.refreshSum(now, m)
		}
	}
	c.expireAddresses(now)
}

func (c *Core) add(m *member) {
	id := m.node.ID
	c.members[id] = m
	i, _ := slices.BinarySearch(c.order, id)
	c.order = slices.Insert(c.order, i, id)
	c.trackPeer(m)
	c.touch(m)
}

func (c *Core) remove(m *member) {
	id := m.node.ID
	c.sums[bucketOf(id)] ^= m.sum
	delete(c.members, id)
	if i, ok := slices.BinarySearch(c.order, id); ok {
		c.order = slices.Delete(c.order, i, i+1)
	}
	c.dropRumor(id)
	c.touch(m)
}

// trackPeer keeps the list of peers in line with the life of m.
func (c *Core) trackPeer(m *member) {
	if m == c.self {
		return
	}
	i, present := slices.BinarySearch(c.peers, m.node.ID)
	switch {
	case present && m.gonePast():
		c.peers = slices.Delete(c.peers, i, i+1)
	case !present && !m.gonePast():
		c.peers = slices.Insert(c.peers, i, m.node.ID)
	}
}

// pick returns up to n random peers for which skip is false.
func (c *Core) pick(n int, skip func(id string) bool) []string {
	var chosen []string
	for tries := 0; tries < 4*n && len(chosen) < min(n, len(c.peers)); tries++ {
		id := c.peers[c.rng.IntN(len(c.peers))]
		if !slices.Contains(chosen, id) && (skip == nil || !skip(id)) {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

func (c *Core) direct(node, addr string, msg *Message) Outgoing {
	msg.From = Sender{ID: c.self.node.ID, Incarnation: c.self.life.incarnation, Addr: c.self.node.ControlAddr}
	return Outgoing{Node: node, Addr: addr, Msg: msg}
}

func (c *Core) to(m *member, msg *Message) Outgoing {
	return c.direct(m.node.ID, m.node.ControlAddr, msg)
}

func (c *Core) answer(req, msg *Message) Outgoing {
	o := c.direct(req.From.ID, req.From.Addr, msg)
	o.Reply = true
	return o
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// intern returns one copy of a string that many instances share.
func (c *Core) intern(s string) string {
	if have, ok := c.interned[s]; ok {
		return have
	}
	c.interned[s] = s
	return s
}
