package membership

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	digestBuckets = 64
	// maxSummaries bounds the buckets compared after one digest. The search for
	// differing buckets starts at a random bucket, so that every bucket is
	// compared eventually.
	maxSummaries = 2
	// maxConflictNotices bounds the notices sent in each probe interval.
	maxConflictNotices = 2
	maxConflicts       = 4096
)

// syncing is the anti-entropy part of a Core.
type syncing struct {
	bucketHashes       [digestBuckets]uint64
	nextDigest         time.Duration
	incomplete         []string // nodes whose records are incomplete
	conflicts          map[string]bool
	conflictQueue      []string
	nextConflictNotice time.Duration
	deadAddresses      []deadAddress
	nextDeadProbe      time.Duration
}

// deadAddress is an address at which a dead node may return.
type deadAddress struct {
	id, addr string
	diedAt   time.Duration
}

func bucketOf(id string) int { return int(xxhash.Sum64String(id) % digestBuckets) }

// updateDigestHash updates the contribution of m to the digest. Records of dead
// nodes are left out after half of their retention, because nodes forget them
// at different times.
func (c *Core) updateDigestHash(now time.Duration, m *member) {
	var sum uint64
	if !m.isGone() || now-m.statusSince < c.cfg.DeadRetention/2 {
		sum = m.hash()
	}
	c.bucketHashes[bucketOf(m.node.ID)] ^= m.digestHash ^ sum
	m.digestHash = sum
}

func (m *member) hash() uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, m.node.ID...)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(m.liveness.incarnation))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(m.liveness.refutation))
	buf = binary.LittleEndian.AppendUint64(buf, uint64(m.seq))
	flags := byte(0)
	if m.draining {
		flags = 1
	}
	if m.isGone() {
		flags |= byte(m.liveness.status) << 1
	}
	return xxhash.Sum64(append(buf, flags))
}

func (c *Core) tickSync(now time.Duration) []Outgoing {
	out := c.tickConflictNotices(now)
	out = append(out, c.tickDeadAddress(now)...)
	if now < c.nextDigest {
		return out
	}
	first := c.nextDigest == 0
	c.nextDigest = now + c.syncInterval() + c.jitter(c.syncInterval()/4)
	if first {
		return out
	}
	for _, id := range c.randomPeers(1, func(id string) bool { return c.linkFaults[id] }) {
		out = append(out, c.messageTo(c.members[id], &Message{Kind: Digest, Hashes: slices.Clone(c.bucketHashes[:])}))
	}
	return out
}

// syncInterval returns the time between digests. It is short in small fleets,
// where digests are cheap.
func (c *Core) syncInterval() time.Duration {
	return min(c.cfg.SyncInterval, max(time.Second, time.Duration(len(c.peers))*50*time.Millisecond))
}

func (c *Core) onDigest(msg *Message) []Outgoing {
	if len(msg.Hashes) != digestBuckets {
		return nil
	}
	var out []Outgoing
	start := c.rng.IntN(digestBuckets)
	for i := range digestBuckets {
		b := (start + i) % digestBuckets
		if msg.Hashes[b] == c.bucketHashes[b] || len(out) == maxSummaries {
			continue
		}
		out = append(out, c.reply(msg, &Message{Kind: Summary, Bucket: b, Known: c.versions(b)}))
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
			ID: id, Incarnation: m.liveness.incarnation, Refutation: m.liveness.refutation,
			Status: m.liveness.status, Seq: m.seq, Leaving: m.draining,
		})
	}
	return list
}

// onSummary sends the records that are older or missing at the sender, and
// fetches those that are older or missing here.
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
		if size += u.size(); size > maxPageBytes && len(send) > 0 {
			break
		}
		send = append(send, u)
	}
	var out []Outgoing
	if len(fetch) > 0 {
		out = append(out, c.reply(msg, &Message{Kind: Fetch, IDs: fetch}))
	}
	if len(send) > 0 {
		out = append(out, c.reply(msg, &Message{Kind: State, Updates: send}))
	}
	return out
}

// updateFor returns the update for a node that has version v of m. v is nil if
// that node does not have m.
func (m *member) updateFor(now time.Duration, v *Version) Update {
	if v != nil && v.Incarnation == m.liveness.incarnation && v.Status < Dead {
		if u := m.deltaUpdate(now, v.Seq); u.Content == Delta {
			return u
		}
	}
	return m.fullUpdate(now)
}

// newerThan reports whether v contains anything newer than m.
func (v *Version) newerThan(m *member) bool {
	l := liveness{v.Incarnation, v.Refutation, v.Status}
	if l.incarnation != m.liveness.incarnation {
		return l.incarnation > m.liveness.incarnation
	}
	return l.compare(m.liveness) > 0 || (!m.isGone() && v.Seq > m.seq) || (v.Leaving && !m.draining)
}

// newerThan reports whether m contains anything newer than v, which may be nil.
func (m *member) newerThan(v *Version) bool {
	if v == nil {
		return true
	}
	if m.liveness.incarnation != v.Incarnation {
		return m.liveness.incarnation > v.Incarnation
	}
	theirs := liveness{v.Incarnation, v.Refutation, v.Status}
	return m.liveness.compare(theirs) > 0 || (v.Status < Dead && m.seq > v.Seq) || (m.draining && !v.Leaving)
}

// records returns full updates of known nodes up to maxPageBytes, but at least
// one.
func (c *Core) records(now time.Duration, ids []string) []Update {
	var list []Update
	size := 0
	for _, id := range ids {
		m := c.members[id]
		if m == nil {
			continue
		}
		u := m.fullUpdate(now)
		if size += u.size(); size > maxPageBytes && len(list) > 0 {
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
	return []Outgoing{c.reply(msg, &Message{Kind: State, Updates: list})}
}

// tickFetch requests incomplete records again.
func (c *Core) tickFetch(now time.Duration) []Outgoing {
	var ids []string
	c.incomplete = slices.DeleteFunc(c.incomplete, func(id string) bool {
		m := c.members[id]
		if m == nil || m.isGone() || m.latestSeq <= m.seq {
			return true
		}
		if now >= m.nextFetch && len(ids) < maxFetch {
			m.nextFetch = now + fetchRetry
			ids = append(ids, id)
		}
		return false
	})
	if len(ids) == 0 {
		return nil
	}
	var out []Outgoing
	for _, id := range c.randomPeers(1, nil) {
		out = append(out, c.messageTo(c.members[id], &Message{Kind: Fetch, IDs: ids}))
	}
	return out
}

// addConflict queues a notice to a node that some nodes consider dead and
// others alive.
func (c *Core) addConflict(m *member) {
	if id := m.node.ID; !c.conflicts[id] && len(c.conflicts) < maxConflicts {
		c.conflicts[id] = true
		c.conflictQueue = append(c.conflictQueue, id)
	}
}

// tickConflictNotices tells some of the queued nodes, in random order, that
// others consider them dead, so that they refute it.
func (c *Core) tickConflictNotices(now time.Duration) []Outgoing {
	if now < c.nextConflictNotice || len(c.conflictQueue) == 0 {
		return nil
	}
	c.nextConflictNotice = now + c.cfg.ProbeInterval/2 + c.jitter(c.cfg.ProbeInterval)
	var out []Outgoing
	for range min(maxConflictNotices, len(c.conflictQueue)) {
		i := c.rng.IntN(len(c.conflictQueue))
		id := c.conflictQueue[i]
		c.conflictQueue = slices.Delete(c.conflictQueue, i, i+1)
		delete(c.conflicts, id)
		if m := c.members[id]; m != nil && m.liveness.status != Left {
			out = append(out, c.conflictNotice(now, m))
		}
	}
	return out
}

// conflictNotice returns a probe that carries the record of its target as
// suspect, or as dead if it is dead here.
func (c *Core) conflictNotice(now time.Duration, m *member) Outgoing {
	u := m.update(now)
	u.Status = max(u.Status, Suspect)
	c.lastNumber++
	return c.messageTo(m, &Message{Kind: Ping, Number: c.lastNumber, Updates: []Update{u}})
}

// updateDeadAddresses stores the address of m while it is dead.
func (c *Core) updateDeadAddresses(now time.Duration, m *member) {
	id := m.node.ID
	if i := slices.IndexFunc(c.deadAddresses, func(a deadAddress) bool { return a.id == id }); i >= 0 {
		c.deadAddresses = slices.Delete(c.deadAddresses, i, i+1)
	}
	if m.liveness.status != Dead {
		return
	}
	if len(c.deadAddresses) == maxDeadAddresses {
		c.deadAddresses = slices.Delete(c.deadAddresses, 0, 1)
	}
	c.deadAddresses = append(c.deadAddresses, deadAddress{id, m.node.ControlAddr, now})
}

func (c *Core) expireDeadAddresses(now time.Duration) {
	c.deadAddresses = slices.DeleteFunc(c.deadAddresses, func(a deadAddress) bool {
		return now-a.diedAt > c.cfg.AddressRetention
	})
}

// tickDeadAddress probes the address of one dead node, or a seed address at
// which no live node is known. Seeds are included because parts of the fleet
// that started separately have never known each other's nodes.
func (c *Core) tickDeadAddress(now time.Duration) []Outgoing {
	if now < c.nextDeadProbe {
		return nil
	}
	first := c.nextDeadProbe == 0
	c.nextDeadProbe = now + c.cfg.DeadProbeInterval/2 + c.jitter(c.cfg.DeadProbeInterval)
	seeds := c.seedsWithoutLiveNode()
	if first || len(c.deadAddresses)+len(seeds) == 0 {
		return nil
	}
	i := c.rng.IntN(len(c.deadAddresses) + len(seeds))
	a := deadAddress{}
	if i < len(c.deadAddresses) {
		a = c.deadAddresses[i]
	} else {
		a.addr = seeds[i-len(c.deadAddresses)]
	}
	c.lastNumber++
	return []Outgoing{c.outgoing(a.id, a.addr, &Message{
		Kind: Ping, Number: c.lastNumber, Updates: c.piggyback(now, a.id),
	})}
}

// seedsWithoutLiveNode returns the seed addresses at which no live node is
// known.
func (c *Core) seedsWithoutLiveNode() []string {
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
