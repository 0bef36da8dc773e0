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
	MaxKeys int    // active keys kept, as user and as owner each; default 32768
}

// DefaultMaxRateKeys is the default of RateConfig.MaxKeys.
const DefaultMaxRateKeys = 1 << 15

const rateShards = 64

// RateLimiter is one node's part of the fleet-wide rate limit: it decides on
// requests, and it answers the asks of other nodes for the keys it owns. It
// sends nothing itself: Due gives the messages to send. Its methods are safe
// for concurrent use.
type RateLimiter struct {
	node   string
	nodes  atomic.Pointer[rateNodes]
	owner  *rateOwner
	shards [rateShards]rateShard
	wake   chan struct{}
	swept  atomic.Uint32
}

type rateShard struct {
	mu      sync.Mutex
	entries map[RateKey]*rateEntry
	due     []RateKey
	max     int
}

// rateNodes is a version of the set of live nodes.
type rateNodes struct {
	version uint32
	ids     []string
	hashes  []uint64
	self    int32 // index of this node
}

// NewRateLimiter returns a limiter that knows only its own node.
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

// SetNodes replaces the live nodes. This node is always one of them. It is not
// safe to call it from several goroutines at once.
func (l *RateLimiter) SetNodes(ids []string) {
	next := &rateNodes{ids: slices.Clone(ids)}
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

// ownerOf returns the index of the rendezvous winner for a key.
func (n *rateNodes) ownerOf(key RateKey) int32 {
	best, at := uint64(0), 0
	for i, h := range n.hashes {
		if s := mix(h ^ uint64(key)); s >= best {
			best, at = s, i
		}
	}
	return int32(at)
}

// Allow decides on one request of a key. It never waits.
func (l *RateLimiter) Allow(now time.Duration, key RateKey, r Rate) bool {
	nodes := l.nodes.Load()
	s := &l.shards[key%rateShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(now, key)
	e.rate = r
	nodes.assign(e, key)
	if e.owner == nodes.self {
		return l.allowOwned(now, key, e)
	}
	ok, ask := e.take(now, len(nodes.ids))
	if ask {
		s.markDue(key, e)
		l.notify()
	}
	return ok
}

// allowOwned asks the own buckets directly.
func (l *RateLimiter) allowOwned(now time.Duration, key RateKey, e *rateEntry) bool {
	e.used = now
	e.demand.add(now, 1)
	e.expire(now)
	if e.tokens < 1 && now >= e.retryAt {
		a := e.ask(now, key)
		a.Want = max(1, a.Want)
		e.apply(now, l.owner.grant(now, &a))
	}
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}

// assign finds the owner of e anew when the set of nodes has changed.
func (n *rateNodes) assign(e *rateEntry, key RateKey) {
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
	e = &rateEntry{used: now, version: noVersion}
	s.entries[key] = e
	return e
}

const noVersion = ^uint32(0) // version of an entry without an owner

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

// Wake receives a value when Due has something to send.
func (l *RateLimiter) Wake() <-chan struct{} { return l.wake }

// Due returns the messages to send now, at most MaxRateBatch requests in each.
// Sending them with a short delay, such as 5 ms, joins more asks in a message.
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
			nodes.assign(e, key)
			if e.owner == nodes.self {
				a := e.ask(now, key)
				e.apply(now, l.owner.grant(now, &a))
				continue
			}
			out = addAsk(out, at, nodes, e.owner, e.ask(now, key))
		}
		s.due = s.due[:0]
		s.mu.Unlock()
	}
	return out
}

func addAsk(out []RateBatch, at map[int32]int, nodes *rateNodes, owner int32, a RateRequest) []RateBatch {
	i, ok := at[owner]
	if !ok || len(out[i].Requests) == MaxRateBatch {
		i = len(out)
		at[owner] = i
		out = append(out, RateBatch{Owner: nodes.ids[owner]})
	}
	out[i].Requests = append(out[i].Requests, a)
	return out
}

// HandleRequests handles a RateBatch at the owner.
func (l *RateLimiter) HandleRequests(now time.Duration, asks []RateRequest) []RateGrant {
	out := make([]RateGrant, 0, len(asks))
	for i := range asks[:min(len(asks), MaxRateBatch)] {
		out = append(out, l.owner.grant(now, &asks[i]))
	}
	return out
}

// HandleGrants handles the answer to a RateBatch. A batch that failed needs no
// call; its asks are sent again.
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

// Sweep returns unused allowances, reports spent tokens and drops idle state. It handles a part of
// the state in each call and is meant to be called every 20 ms.
func (l *RateLimiter) Sweep(now time.Duration) {
	i := l.swept.Add(1) % rateShards
	if i == 0 {
		l.owner.sweep(now)
	}
	s := &l.shards[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, e := range s.entries {
		e.expire(now)
		report := e.wantsReport(now)
		switch {
		case now-e.used > idleAfter && (e.pending || !report):
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

// Keys returns the number of keys kept as a user and as an owner.
func (l *RateLimiter) Keys() (used, owned int) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		used += len(s.entries)
		s.mu.Unlock()
	}
	return used, l.owner.len()
}
