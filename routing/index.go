package routing

import (
	"slices"
	"strings"
)

const (
	maxPrefixDepth = 32 // slashes in a prefix; bounds the index lookups per request
	indexShards    = 4096
)

// pathKey identifies the routes that share host, path and match type (exact or
// prefix).
type pathKey struct {
	host   string
	path   string
	prefix bool
}

// routeSet holds the routes of one pathKey, those with listed methods first.
type routeSet struct {
	key    pathKey
	routes []*Route
}

// entry stores the hash next to the pointer, so that a mismatch is found without
// dereferencing the set.
type entry struct {
	hash uint64
	set  *routeSet
}

// index maps path keys to routes. It is immutable; changes go through an
// indexEditor, which works on a copy.
type index struct {
	shards [indexShards][]entry
}

// FNV-1a parameters and the constant that mixes host, path and match type.
const (
	hashOffset = 14695981039346656037
	hashPrime  = 1099511628211
	hashMix    = 0x9e3779b97f4a7c15
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
	return h * hashMix
}

func lower(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// equalHost compares a stored host, which is in lower case, with host ignoring
// ASCII case.
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

func combineHash(host, path uint64, prefix bool) uint64 {
	h := host ^ path
	if prefix {
		h += hashMix
	}
	h ^= h >> 32
	h *= hashMix
	return h ^ h>>29
}

func (k pathKey) hash() uint64 {
	return combineHash(hashHost(k.host), hashPath(k.path), k.prefix)
}

func (x *index) find(hash uint64, host, path string, prefix bool) *routeSet {
	shard := x.shards[hash%indexShards]
	for i := range shard {
		if shard[i].hash != hash {
			continue
		}
		set := shard[i].set
		if set.key.prefix == prefix && set.key.path == path && equalHost(set.key.host, host) {
			return set
		}
	}
	return nil
}

// match returns the route for the method, or nil.
func (s *routeSet) match(method string) *Route {
	for _, r := range s.routes {
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			return r
		}
	}
	return nil
}

// indexEditor modifies a copy of an index. Shards are copied on first write.
type indexEditor struct {
	index  *index
	copied map[uint64]bool
}

func (x *index) editor() *indexEditor {
	next := *x
	return &indexEditor{index: &next, copied: make(map[uint64]bool)}
}

func (e *indexEditor) writableShard(hash uint64) []entry {
	i := hash % indexShards
	if !e.copied[i] {
		e.copied[i] = true
		e.index.shards[i] = slices.Clone(e.index.shards[i])
	}
	return e.index.shards[i]
}

func routeKey(r *Route) pathKey { return pathKey{r.Host, r.Path, r.Prefix} }

// add inserts r and returns the existing routes with the same host and path and
// at least one method in common.
func (e *indexEditor) add(r *Route) []*Route {
	key := routeKey(r)
	hash := key.hash()
	shard := e.writableShard(hash)
	i := slices.IndexFunc(shard, func(e entry) bool { return e.set.key == key })
	if i < 0 {
		e.index.shards[hash%indexShards] = append(shard, entry{hash, &routeSet{key, []*Route{r}}})
		return nil
	}
	old := shard[i].set.routes
	routes := append(slices.Clone(old), r)
	slices.SortFunc(routes, compareRoutes)
	shard[i].set = &routeSet{key, routes}
	return overlapping(old, r)
}

func (e *indexEditor) remove(r *Route) {
	key := routeKey(r)
	hash := key.hash()
	shard := e.writableShard(hash)
	i := slices.IndexFunc(shard, func(e entry) bool { return e.set.key == key })
	if i < 0 {
		return
	}
	routes := slices.DeleteFunc(slices.Clone(shard[i].set.routes), func(o *Route) bool { return o == r })
	if len(routes) == 0 {
		e.index.shards[hash%indexShards] = slices.Delete(shard, i, i+1)
		return
	}
	shard[i].set = &routeSet{key, routes}
}

// compareRoutes orders the routes of one path: those with listed methods first,
// then by mandate and route ID. A conflict therefore has the same winner
// whatever the order of changes.
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

// overlapping returns the routes that match a method that r matches too. Listed
// methods do not overlap with a route for any method, since they take precedence.
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
