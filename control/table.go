package control

import (
	"iter"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// tableShards is the number of shards of a table. With 5,800 entries, a change
// copies about 23 entries.
const tableShards = 256

// table is a persistent map from names to items. A copy of a table shares its
// shards. set and remove replace the shard that they change, so earlier copies
// are not affected.
type table[V any] struct {
	shards [tableShards]*shard[V]
	count  int
}

type shard[V any] struct {
	items       map[string]V
	maxRevision int64 // highest revision ever set in the shard
}

func shardOf(key string) uint64 { return xxhash.Sum64String(key) % tableShards }

func (t *table[V]) get(key string) (V, bool) {
	if s := t.shards[shardOf(key)]; s != nil {
		v, ok := s.items[key]
		return v, ok
	}
	var zero V
	return zero, false
}

func (t *table[V]) set(key string, v V, revision int64) {
	s := t.mutableShard(key)
	if _, ok := s.items[key]; !ok {
		t.count++
	}
	s.items[key] = v
	s.maxRevision = max(s.maxRevision, revision)
}

func (t *table[V]) remove(key string) {
	if _, ok := t.get(key); !ok {
		return
	}
	delete(t.mutableShard(key).items, key)
	t.count--
}

// mutableShard replaces the shard of key by a copy and returns the copy.
func (t *table[V]) mutableShard(key string) *shard[V] {
	i := shardOf(key)
	next := &shard[V]{}
	if old := t.shards[i]; old != nil {
		next.maxRevision = old.maxRevision
		next.items = maps.Clone(old.items)
	} else {
		next.items = make(map[string]V, 1)
	}
	t.shards[i] = next
	return next
}

// all yields every item in unspecified order.
func (t *table[V]) all() iter.Seq[V] { return t.after(-1) }

// after yields all items of the shards that changed after a revision. Some of
// them may be unchanged.
func (t *table[V]) after(revision int64) iter.Seq[V] {
	return func(yield func(V) bool) {
		for _, s := range t.shards {
			if s == nil || s.maxRevision <= revision {
				continue
			}
			for _, v := range s.items {
				if !yield(v) {
					return
				}
			}
		}
	}
}
