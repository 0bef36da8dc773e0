package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	buckets = 64 // of the digest
	// maxSummaries bounds the buckets compared after one digest. They are
	// chosen from a random start, so that every bucket gets its turn.
	maxSummaries = 2
	// maxNotices bounds the conflicts put to nodes in each probe interval.
	maxNotices   = 2
	maxConflicts = 4096
)

// syncing is the repair part of a Core.
type syncing struct {
	sums       [buckets]uint64
	nextDigest time.Duration
	wanted     []string // nodes whose records are incomplete
	conflicts  map[string]bool
	conflicted []string
	nextNotice time.Duration
	addresses  []deadAddress
	nextDead   time.Duration
}

// deadAddress is where a node that died could return.
type deadAddress struct {
	id, addr string
	died     time.Duration
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % buckets) }

// refreshSum updates the share of m in the digest. Dead records drop out half
// way through their retention, because nodes forget them at different times.
func (c *Core) refreshSum(now time.Duration, m *member) {
	var sum uint64
	if !m.gonePast() || now-m.since < c.cfg.DeadRetention/2 {
		sum = m.hash()
	}
	c.sums[bucketOf(m.node.ID)] ^= m.sum ^ sum
	m.sum = sum
}

func (m *member) hash() uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, m.node.ID...)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(m.life.incarnation))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(m.life.refutation))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(m.seq))
	flags := byte(0)
	if m.leaving {
		flags = 1
	}
	if m.gonePast() {
		flags |= byte(m.life.status) << 1
	}
	return xxhash.Sum64(append(buf, flags))
}

func (c *Core) tickSync(now time.Duration) []Outgoing {
	out := c.tickNotices(now)
	out = append(out, c.tickDeadAddress(now)...)
	if now < c.nextDigest {
		return out
	}
	first := c.nextDigest == 0
	c.nextDigest = now + c.syncInterval() + c.jitter(c.syncInterval()/4)
	if first {
		return out
	}
	for _, id := range c.pick(1, func(id string) bool { return c.faults[id] }) {
		out = append(out, c.to(c.members[id], &Message{Kind: Digest, Hashes: slices.Clone(c.sums[:])}))
	}
	return out
}

// syncInterval is short in small fleets, where digests cost little.
func (c *Core) syncInterval() time.Duration {
	return min(c.cfg.SyncInterval, max(time.Second, time.Duration(len(c.peers))*50*time.Millisecond))
}

func (c *Core) onDigest(msg *Message) []Outgoing {
	if len(msg.Hashes) != buckets {
		return nil
	}
	var out []Outgoing
	start := c.rng.IntN(buckets)
	for i := range buckets {
		b := (start + i) % buckets
		if msg.Hashes[b] == c.sums[b] || len(out) == maxSummaries {
			continue
		}
		out = append(out, c.answer(msg, &Message{Kind: Summary, Bucket: b, Known: c.versions(b)}))
	}
	return out
}

func (c *Core) versions(bucket int) []Version {
	var list []Version
	for _, id := range c.order {
		if bucketOf(id) != bucket {
			continue
		}
		m := c.members[id]
		list = append(list, Version{
			ID: id, Incarnation: m.life.incarnation, Refutation: m.life.refutation,
			Status: m.life.status, Seq: m.seq, Leaving: m.leaving,
		})
	}
	return list
}

// onSummary sends what the sender lacks and fetches what this node lacks.
func (c *Core) onSummary(now time.Duration, msg *Message) []Outgoing {
	theirs := make(map[string]*Version, len(msg.Known))
	var fetch []string
	for i := range msg.Known {
		v := &msg.Known[i]
		theirs[v.ID] = v
		if m := c.members[v.ID]; (m == nil || v.newerThan(m)) && len(fetch) < maxFetch {
			fetch = append(fetch, v.ID)
		}
	}
	var send []Update
	size := 0
	for _, id := range c.order {
		m := c.members[id]
		if bucketOf(id) != msg.Bucket || !m.newerThan(theirs[id]) {
			continue
		}
		u := m.updateFor(now, theirs[id])
		if size += u.size(); size > pageBytes && len(send) > 0 {
			break
		}
		send = append(send, u)
	}
	var out []Outgoing
	if len(fetch) > 0 {
		out = append(out, c.answer(msg, &Message{Kind: Fetch, IDs: fetch}))
	}
	if len(send) > 0 {
		out = append(out, c.answer(msg, &Message{Kind: State, Updates: send}))
	}
	return out
}

// updateFor returns what a node with version v lacks; v is nil if it has none.
func (m *member) updateFor(now time.Duration, v *Version) Update {
	if v != nil && v.Incarnation == m.life.incarnation && v.Status < Dead {
		if u := m.delta(now, v.Seq); u.Content == Delta {
			return u
		}
	}
	return m.full(now)
}

func (v *Version) newerThan(m *member) bool {
	l := life{v.Incarnation, v.Refutation, v.Status}
	if l.incarnation != m.life.incarnation {
		return l.incarnation > m.life.incarnation
	}
	return l.compare(m.life) > 0 || (!m.gonePast() && v.Seq > m.seq) || (v.Leaving && !m.leaving)
}

func (m *member) newerThan(v *Version) bool {
	if v == nil {
		return true
	}
	if m.life.incarnation != v.Incarnation {
		return m.life.incarnation > v.Incarnation
	}
	theirs := life{v.Incarnation, v.Refutation, v.Status}
	return m.life.compare(theirs) > 0 || (v.Status < Dead && m.seq > v.Seq) || (m.leaving && !v.Leaving)
}

// records returns full updates within the page bound, always at least one.
func (c *Core) records(now time.Duration, ids []string) []Update {
	var list []Update
	size := 0
	for _, id := range ids {
		m := c.members[id]
		if m == nil {
			continue
		}
		u := m.full(now)
		if size += u.size(); size > pageBytes && len(list) > 0 {
			break
		}
		list = append(list, u)
	}
	return list
}

func (c *Core) onFetch(now time.Duration, msg *Message) []Outgoing {
	list := c.records(now, msg.IDs[:min(len(msg.IDs), maxFetch)])
	if len(list) == 0 {
		return nil
	}
	return []Outgoing{c.answer(msg, &Message{Kind: State, Updates: list})}
}

// tickFetch requests incomplete records again.
func (c *Core) tickFetch(now time.Duration) []Outgoing {
	var ids []string
	c.wanted = slices.DeleteFunc(c.wanted, func(id string) bool {
		m := c.members[id]
		if m == nil || m.gonePast() || m.want <= m.seq {
			return true
		}
		if now >= m.fetchAt && len(ids) < maxFetch {
			m.fetchAt = now + fetchRetry
			ids = append(ids, id)
		}
		return false
	})
	if len(ids) == 0 {
		return nil
	}
	var out []Outgoing
	for _, id := range c.pick(1, nil) {
		out = append(out, c.to(c.members[id], &Message{Kind: Fetch, IDs: ids}))
	}
	return out
}

// addConflict notes a node that some hold to be dead and others alive.
func (c *Core) addConflict(m *member) {
	if id := m.node.ID; !c.conflicts[id] && len(c.conflicts) < maxConflicts {
		c.conflicts[id] = true
		c.conflicted = append(c.conflicted, id)
	}
}

// tickNotices tells some of the nodes in conflict that they are held to be
// dead, in random order, so that they refute it.
func (c *Core) tickNotices(now time.Duration) []Outgoing {
	if now < c.nextNotice || len(c.conflicted) == 0 {
		return nil
	}
	c.nextNotice = now + c.cfg.ProbeInterval/2 + c.jitter(c.cfg.ProbeInterval)
	var out []Outgoing
	for range min(maxNotices, len(c.conflicted)) {
		i := c.rng.IntN(len(c.conflicted))
		id := c.conflicted[i]
		c.conflicted = slices.Delete(c.conflicted, i, i+1)
		delete(c.conflicts, id)
		if m := c.members[id]; m != nil && m.life.status != Left {
			out = append(out, c.notice(now, m))
		}
	}
	return out
}

func (c *Core) notice(now time.Duration, m *member) Outgoing {
	u := m.update(now)
	u.Status = max(u.Status, Suspect)
	c.number++
	return c.to(m, &Message{Kind: Ping, Number: c.number, Updates: []Update{u}})
}

// keepAddress keeps the address of m while it is dead.
func (c *Core) keepAddress(now time.Duration, m *member) {
	id := m.node.ID
	if i := slices.IndexFunc(c.addresses, func(a deadAddress) bool { return a.id == id }); i >= 0 {
		c.addresses = slices.Delete(c.addresses, i, i+1)
	}
	if m.life.status != Dead {
		return
	}
	if len(c.addresses) == maxAddresses {
		c.addresses = slices.Delete(c.addresses, 0, 1)
	}
	c.addresses = append(c.addresses, deadAddress{id, m.node.ControlAddr, now})
}

func (c *Core) expireAddresses(now time.Duration) {
	c.addresses = slices.DeleteFunc(c.addresses, func(a deadAddress) bool {
		return now-a.died > c.cfg.AddressRetention
	})
}

// tickDeadAddress tries the address of one dead node, or a seed address where
// no live node is known: parts of the fleet that started apart have no dead
// nodes in common.
func (c *Core) tickDeadAddress(now time.Duration) []Outgoing {
	if now < c.nextDead {
		return nil
	}
	first := c.nextDead == 0
	c.nextDead = now + c.cfg.DeadProbeInterval/2 + c.jitter(c.cfg.DeadProbeInterval)
	seeds := c.silentSeeds()
	if first || len(c.addresses)+len(seeds) == 0 {
		return nil
	}
	i := c.rng.IntN(len(c.addresses) + len(seeds))
	a := deadAddress{}
	if i < len(c.addresses) {
		a = c.addresses[i]
	} else {
		a.addr = seeds[i-len(c.addresses)]
	}
	c.number++
	return []Outgoing{c.direct(a.id, a.addr, &Message{
		Kind: Ping, Number: c.number, Updates: c.piggyback(now, a.id),
	})}
}

// silentSeeds returns the seed addresses of no known live node.
func (c *Core) silentSeeds() []string {
	var list []string
	for _, s := range c.cfg.Seeds {
		known := s == c.self.node.ControlAddr || slices.ContainsFunc(c.peers, func(id string) bool {
			return c.members[id].node.ControlAddr == s
		})
		if !known {
			list = append(list, s)
		}
	}
	return list
}
