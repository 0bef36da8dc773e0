package routing

import (
	"slices"
	"strings"
)

const (
	maxPrefixDepth = 32 // slashes of a prefix; bounds the probes of one lookup
	indexShards    = 4096
)

// pathKey identifies the routes that share host, path and kind.
type pathKey struct {
	host   string
	path   string
	prefix bool
}

// node holds the routes of one pathKey, the routes with methods first.
type node struct {
	key    pathKey
	routes []*Route
}

// entry keeps the hash beside the pointer, so that a probe that misses reads
// the shard only.
type entry struct {
	hash uint64
	node *node
}

// index maps path keys to routes. It is immutable apart from edit.
type index struct {
	shards [indexShards][]entry
}

const (
	hashOffset = 14695981039346656037
	hashPrime  = 1099511628211
	prefixMark = 0x9e3779b97f4a7c15 // separates prefixes from exact paths
)

func hashByte(h uint64, c byte) uint64 { return (h ^ uint64(c)) * hashPrime }

func hashPath(path string) uint64 {
	h := uint64(hashOffset)
	for i := 0; i < len(path); i++ {
		h = hashByte(h, path[i])
	}
	return h
}

func hashHost(host string) uint64 {
	if host == "" {
		return 0
	}
	h := uint64(hashOffset)
	for i := 0; i < len(host); i++ {
		h = hashByte(h, lower(host[i]))
	}
	return h * prefixMark
}

func lower(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

func equalHost(stored, host string) bool {
	if len(stored) != len(host) {
		return false
	}
	for i := 0; i < len(stored); i++ {
		if stored[i] != lower(host[i]) {
			return false
		}
	}
	return true
}

func combine(host, path uint64, prefix bool) uint64 {
	h := host ^ path
	if prefix {
		h += prefixMark
	}
	h ^= h >> 32
	h *= prefixMark
	return h ^ h>>29
}

func (k pathKey) hash() uint64 {
	return combine(hashHost(k.host), hashPath(k.path), k.prefix)
}

func (x *index) find(hash uint64, host, path string, prefix bool) *node {
	shard := x.shards[hash%indexShards]
	for i := range shard {
		if shard[i].hash != hash {
			continue
		}
		n := shard[i].node
		if n.key.prefix == prefix && n.key.path == path && equalHost(n.key.host, host) {
			return n
		}
	}
	return nil
}

// match returns the route of n for the method.
func (n *node) match(method string) *Route {
	for _, r := range n.routes {
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}

// edit is a copy of an index under change. Shards are copied on first write.
type edit struct {
	index *index
	owned map[uint64]bool
}

func (x *index) edit() *edit {
	next := *x
	return &edit{index: &next, owned: make(map[uint64]bool)}
}

func (e *edit) shard(hash uint64) []entry {
	i := hash % indexShards
	if !e.owned[i] {
		e.owned[i] = true
		e.index.shards[i] = slices.Clone(e.index.shards[i])
	}
	return e.index.shards[i]
}

func routeKey(r *Route) pathKey { return pathKey{r.Host, r.Path, r.Prefix} }

// add inserts r and returns the routes with the same host, path and a common method.
func (e *edit) add(r *Route) []*Route {
	key := routeKey(r)
	hash := key.hash()
	shard := e.shard(hash)
	i := slices.IndexFunc(shard, func(e entry) bool { return e.node.key == key })
	if i < 0 {
		e.index.shards[hash%indexShards] = append(shard, entry{hash, &node{key, []*Route{r}}})
		return nil
	}
	old := shard[i].node.routes
	routes := append(slices.Clone(old), r)
	slices.SortFunc(routes, compareRoutes)
	shard[i].node = &node{key, routes}
	return overlapping(old, r)
}

func (e *edit) remove(r *Route) {
	key := routeKey(r)
	hash := key.hash()
	shard := e.shard(hash)
	i := slices.IndexFunc(shard, func(e entry) bool { return e.node.key == key })
	if i < 0 {
		return
	}
	routes := slices.DeleteFunc(slices.Clone(shard[i].node.routes), func(o *Route) bool { return o == r })
	if len(routes) == 0 {
		e.index.shards[hash%indexShards] = slices.Delete(shard, i, i+1)
		return
	}
	shard[i].node = &node{key, routes}
}

// compareRoutes orders routes of one path: those with methods first, then by
// mandate, service and name, so that the winner of a conflict does not depend
// on the order of changes.
func compareRoutes(a, b *Route) int {
	if (len(a.Methods) == 0) != (len(b.Methods) == 0) {
		if len(a.Methods) > 0 {
			return -1
		}
		return 1
	}
	if c := strings.Compare(a.Service.Mandate, b.Service.Mandate); c != 0 {
		return c
	}
	return strings.Compare(a.ID, b.ID)
}

func overlapping(routes []*Route, r *Route) []*Route {
	var out []*Route
	for _, o := range routes {
		if len(o.Methods) == 0 && len(r.Methods) == 0 {
			out = append(out, o)
			continue
		}
		if slices.ContainsFunc(o.Methods, func(m string) bool { return slices.Contains(r.Methods, m) }) {
			out = append(out, o)
		}
	}
	return out
}
