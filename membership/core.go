package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"hyssopbridge/fleet"
)

// pauseThreshold is the time without a tick after which this process is assumed
// to have been paused. Its expired timers then do not mean that others failed.
const pauseThreshold = time.Second

// housekeepingInterval is the time between removals of expired records.
const housekeepingInterval = 10 * time.Second

// Core is the membership state machine of one node. It is not safe for
// concurrent use. All times are monotonic and count from an arbitrary origin.
type Core struct {
	cfg      Config
	rng      *rand.Rand
	self     *member
	members  map[string]*member // by node ID, including this node
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
	c.self = &member{node: cfg.Self, liveness: liveness{incarnation: cfg.Self.Incarnation}, seq: 1, latestSeq: 1}
	c.add(c.self)
	c.disseminate(c.self, 0)
	return c
}

// SetSelf sets the instances of this node and whether it is draining. The next
// Tick sends the changes. Instances beyond MaxInstances are not announced.
func (c *Core) SetSelf(instances []fleet.Instance, draining bool) {
	if len(instances) > MaxInstances {
		instances = instances[:MaxInstances]
	}
	m := c.self
	changes := selfChanges(m, instances)
	if len(changes) == 0 && draining == m.draining {
		return
	}
	base := m.seq
	m.draining = m.draining || draining
	c.replaceInstances(m, changes)
	m.seq++
	m.latestSeq = m.seq
	c.disseminate(m, base)
}

// selfChanges returns the changes from the instances of m to the given ones.
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

// Leave marks this node as left and returns the messages that announce it. The
// core must not be used afterwards.
func (c *Core) Leave(now time.Duration) []Outgoing {
	c.self.draining = true
	c.setLiveness(now, c.self, liveness{c.self.liveness.incarnation, c.self.liveness.refutation, Left})
	c.disseminate(c.self, c.self.seq)
	var out []Outgoing
	for _, id := range c.randomPeers(2*c.cfg.PushFanout, nil) {
		out = append(out, c.messageTo(c.members[id], &Message{Kind: Push, Updates: []Update{c.self.update(now)}}))
	}
	return out
}

// Receive handles a message from a node and returns the messages to send. A
// sender whose process was replaced by a later one only receives the record of
// that later process.
func (c *Core) Receive(now time.Duration, from string, msg *Message) []Outgoing {
	if from == c.self.node.ID || from != msg.From.ID {
		return nil
	}
	if m := c.members[from]; m != nil && m.liveness.incarnation > msg.From.Incarnation {
		return []Outgoing{c.reply(msg, &Message{Kind: Push, Updates: []Update{m.update(now)}})}
	}
	refutation := c.self.liveness.refutation
	missing := c.mergeAll(now, msg)
	out := c.handle(now, msg)
	if refutation != c.self.liveness.refutation && msg.Kind != Ping {
		out = append(out, c.reply(msg, &Message{Kind: Push, Updates: []Update{c.self.update(now)}}))
	}
	if m := c.members[from]; m == nil || m.liveness.incarnation < msg.From.Incarnation {
		missing = append(missing, from)
	}
	if len(missing) > 0 {
		out = append(out, c.outgoing(msg.From.ID, msg.From.Addr, &Message{Kind: Fetch, IDs: missing}))
	}
	return out
}

func (c *Core) handle(now time.Duration, msg *Message) []Outgoing {
	switch msg.Kind {
	case Ping:
		return []Outgoing{c.reply(msg, &Message{
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

// Tick advances the timers. Call it about every 50 ms.
func (c *Core) Tick(now time.Duration) []Outgoing {
	if now-c.lastTick > pauseThreshold && c.lastTick > 0 {
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

// resume drops the probes in progress and restarts the suspicion timers after a
// pause of this process.
func (c *Core) resume(now time.Duration) {
	c.probes = nil
	for _, id := range c.suspects {
		c.members[id].statusSince = now
	}
}

func (c *Core) housekeeping(now time.Duration) {
	if now < c.nextHousekeeping {
		return
	}
	c.nextHousekeeping = now + housekeepingInterval
	for _, id := range slices.Clone(c.order) {
		m := c.members[id]
		if m.isGone() && m != c.self && now-m.statusSince >= c.cfg.DeadRetention {
			c.remove(m)
		} else {
			c.updateDigestHash(now, m)
		}
	}
	c.expireDeadAddresses(now)
}

func (c *Core) add(m *member) {
	id := m.node.ID
	c.members[id] = m
	i, _ := slices.BinarySearch(c.order, id)
	c.order = slices.Insert(c.order, i, id)
	c.trackPeer(m)
	c.markChanged(m)
}

func (c *Core) remove(m *member) {
	id := m.node.ID
	c.bucketHashes[bucketOf(id)] ^= m.digestHash
	delete(c.members, id)
	if i, ok := slices.BinarySearch(c.order, id); ok {
		c.order = slices.Delete(c.order, i, i+1)
	}
	c.dropRumor(id)
	c.markChanged(m)
}

// trackPeer adds m to the list of peers or removes it, according to its status.
func (c *Core) trackPeer(m *member) {
	if m == c.self {
		return
	}
	i, present := slices.BinarySearch(c.peers, m.node.ID)
	switch {
	case present && m.isGone():
		c.peers = slices.Delete(c.peers, i, i+1)
	case !present && !m.isGone():
		c.peers = slices.Insert(c.peers, i, m.node.ID)
	}
}

// randomPeers returns up to n random peers for which skip is false.
func (c *Core) randomPeers(n int, skip func(id string) bool) []string {
	var chosen []string
	for tries := 0; tries < 4*n && len(chosen) < min(n, len(c.peers)); tries++ {
		id := c.peers[c.rng.IntN(len(c.peers))]
		if !slices.Contains(chosen, id) && (skip == nil || !skip(id)) {
			chosen = append(chosen, id)
		}
	}
	return chosen
}

// outgoing addresses msg and sets its sender.
func (c *Core) outgoing(node, addr string, msg *Message) Outgoing {
	msg.From = Sender{ID: c.self.node.ID, Incarnation: c.self.liveness.incarnation, Addr: c.self.node.ControlAddr}
	return Outgoing{Node: node, Addr: addr, Msg: msg}
}

func (c *Core) messageTo(m *member, msg *Message) Outgoing {
	return c.outgoing(m.node.ID, m.node.ControlAddr, msg)
}

// reply returns msg as the reply to req.
func (c *Core) reply(req, msg *Message) Outgoing {
	o := c.outgoing(req.From.ID, req.From.Addr, msg)
	o.Reply = true
	return o
}

func (c *Core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d) + 1))
}

// intern returns a shared copy of a string that many instances repeat.
func (c *Core) intern(s string) string {
	if have, ok := c.interned[s]; ok {
		return have
	}
	c.interned[s] = s
	return s
}
