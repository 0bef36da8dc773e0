package limits

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RateConfig holds the settings of a RateLimiter.
type RateConfig struct {
	Node    string // ID of this node
	MaxKeys int    // limit on the active keys that this node uses, and on those that it owns; default DefaultMaxRateKeys
}

// DefaultMaxRateKeys is the default of RateConfig.MaxKeys.
const DefaultMaxRateKeys = 1 << 15

const rateShards = 64

// RateLimiter is one node's part of the fleet-wide rate limit. It decides on
// customer requests, and it responds to the token requests of other nodes for the
// keys that it owns. It does not send messages itself: Due returns those to
// send. Except for SetNodes, its methods are safe for concurrent use.
type RateLimiter struct {
	node   string
	nodes  atomic.Pointer[nodeSet]
	owner  *rateOwner
	shards [rateShards]rateShard
	wake   chan struct{}
	sweeps atomic.Uint32
}

type rateShard struct {
	mu      sync.Mutex
	entries map[RateKey]*rateEntry
	due     []RateKey
	max     int
}

// nodeSet is an immutable version of the set of live nodes.
type nodeSet struct {
	version uint32
	ids     []string
	hashes  []uint64
	self    int32 // index of this node
}

// NewRateLimiter returns a limiter whose only known node is its own.
func NewRateLimiter(cfg RateConfig) *RateLimiter {
	limit := cfg.MaxKeys
	if limit <= 0 {
		limit = DefaultMaxRateKeys
	}
	l := &RateLimiter{node: cfg.Node, owner: newRateOwner(limit), wake: make(chan struct{}, 1)}
	for i := range l.shards {
		l.shards[i].entries = make(map[RateKey]*rateEntry)
		l.shards[i].max = max(1, limit/rateShards)
	}
	l.SetNodes(nil)
	return l
}

// SetNodes replaces the set of live nodes, which always includes this node.
// Calls of SetNodes must not be concurrent with each other.
func (l *RateLimiter) SetNodes(ids []string) {
	next := &nodeSet{ids: slices.Clone(ids)}
	if !slices.Contains(ids, l.node) {
		next.ids = append(next.ids, l.node)
	}
	if old := l.nodes.Load(); old != nil {
		next.version = old.version + 1
	}
	for i, id := range next.ids {
		next.hashes = append(next.hashes, xxhash.Sum64String(id))
		if id == l.node {
			next.self = int32(i)
		}
	}
	l.nodes.Store(next)
}

// ownerOf returns the index of the node that owns key, by rendezvous hashing.
func (n *nodeSet) ownerOf(key RateKey) int32 {
	best, at := uint64(0), 0
	for i, h := range n.hashes {
		if s := mix(h ^ uint64(key)); s >= best {
			best, at = s, i
		}
	}
	return int32(at)
}

// Allow reports whether a customer request for key is within the rate r. It does
// not wait for the owner.
func (l *RateLimiter) Allow(now time.Duration, key RateKey, r Rate) bool {
	nodes := l.nodes.Load()
	s := &l.shards[key%rateShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(now, key)
	e.rate = r
	nodes.assignOwner(e, key)
	if e.owner == nodes.self {
		return l.allowOwned(now, key, e)
	}
	ok, send := e.allow(now, len(nodes.ids))
	if send {
		s.markDue(key, e)
		l.notify()
	}
	return ok
}

// allowOwned decides on a request for a key that this node owns.
func (l *RateLimiter) allowOwned(now time.Duration, key RateKey, e *rateEntry) bool {
	e.lastUsed = now
	e.demand.add(now, 1)
	e.expire(now)
	if e.tokens < 1 && now >= e.retryAt {
		req := e.newRequest(now, key)
		req.Want = max(1, req.Want)
		e.apply(now, l.owner.grant(now, &req))
	}
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}

// assignOwner updates the owner of e if the set of nodes has changed.
func (n *nodeSet) assignOwner(e *rateEntry, key RateKey) {
	if e.version == n.version {
		return
	}
	owner := n.ownerOf(key)
	e.owner, e.version = owner, n.version
}

func (s *rateShard) entry(now time.Duration, key RateKey) *rateEntry {
	e := s.entries[key]
	if e != nil {
		return e
	}
	if len(s.entries) >= s.max {
		s.evictOne()
	}
	e = &rateEntry{lastUsed: now, version: noVersion}
	s.entries[key] = e
	return e
}

const noVersion = ^uint32(0) // version of an entry that has no owner yet

// evictOne drops an arbitrary entry.
func (s *rateShard) evictOne() {
	for key := range s.entries {
		delete(s.entries, key)
		return
	}
}

func (l *RateLimiter) notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Wake returns a channel that receives a value when Due has messages to send.
func (l *RateLimiter) Wake() <-chan struct{} { return l.wake }

// Due returns the messages to send now, with at most MaxRateBatch requests in
// each. Calling it a short time after Wake, such as 5 ms, puts more requests
// into one message.
func (l *RateLimiter) Due(now time.Duration) []RateBatch {
	nodes := l.nodes.Load()
	var out []RateBatch
	at := make(map[int32]int)
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for _, key := range s.due {
			e := s.entries[key]
			if e == nil || !e.due {
				continue
			}
			nodes.assignOwner(e, key)
			if e.owner == nodes.self {
				req := e.newRequest(now, key)
				e.apply(now, l.owner.grant(now, &req))
				continue
			}
			out = addRequest(out, at, nodes, e.owner, e.newRequest(now, key))
		}
		s.due = s.due[:0]
		s.mu.Unlock()
	}
	return out
}

func addRequest(out []RateBatch, at map[int32]int, nodes *nodeSet, owner int32, req RateRequest) []RateBatch {
	i, ok := at[owner]
	if !ok || len(out[i].Requests) == MaxRateBatch {
		i = len(out)
		at[owner] = i
		out = append(out, RateBatch{Owner: nodes.ids[owner]})
	}
	out[i].Requests = append(out[i].Requests, req)
	return out
}

// HandleRequests returns the owner's grants for the requests of a RateBatch.
// Requests beyond MaxRateBatch are ignored.
func (l *RateLimiter) HandleRequests(now time.Duration, requests []RateRequest) []RateGrant {
	out := make([]RateGrant, 0, len(requests))
	for i := range requests[:min(len(requests), MaxRateBatch)] {
		out = append(out, l.owner.grant(now, &requests[i]))
	}
	return out
}

// HandleGrants handles the response to a RateBatch. It need not be called for a
// batch that failed, since requests without a response are resent.
func (l *RateLimiter) HandleGrants(now time.Duration, grants []RateGrant) {
	for _, g := range grants {
		s := &l.shards[g.Key%rateShards]
		s.mu.Lock()
		if e := s.entries[g.Key]; e != nil {
			e.apply(now, g)
		}
		s.mu.Unlock()
	}
}

// Sweep returns unused tokens to the owners, reports spent tokens and drops idle
// state. Each call handles one shard of the state; it should be called every
// 20 ms.
func (l *RateLimiter) Sweep(now time.Duration) {
	i := l.sweeps.Add(1) % rateShards
	if i == 0 {
		l.owner.sweep(now)
	}
	s := &l.shards[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.entries {
		e.expire(now)
		report := e.needsReport(now)
		switch {
		case now-e.lastUsed > idleTimeout && (e.pending || !report):
			delete(s.entries, key)
		case report:
			s.markDue(key, e)
			l.notify()
		}
	}
}

func (s *rateShard) markDue(key RateKey, e *rateEntry) {
	e.due = true
	s.due = append(s.due, key)
}

// Keys returns the number of active keys that this node uses and of those that
// it owns.
func (l *RateLimiter) Keys() (used, owned int) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		used += len(s.entries)
		s.mu.Unlock()
	}
	return used, l.owner.len()
}
