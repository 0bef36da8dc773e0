package routing

import "maps"

const mapShards = 256

// shardedMap is a copy-on-write map from names to values, sharded so that a
// change copies few entries.
type shardedMap[V any] struct {
	shards [mapShards]map[string]V
}

func (m *shardedMap[V]) get(name string) (V, bool) {
	v, ok := m.shards[hashPath(name)%mapShards][name]
	return v, ok
}

// set stores a value. m must not be visible to readers yet; the shard is copied
// because an older version of the map may share it.
func (m *shardedMap[V]) set(name string, v V) {
	i := hashPath(name) % mapShards
	shard := maps.Clone(m.shards[i])
	if shard == nil {
		shard = make(map[string]V)
	}
	shard[name] = v
	m.shards[i] = shard
}

// remove deletes a value under the same conditions as set.
func (m *shardedMap[V]) remove(name string) {
	i := hashPath(name) % mapShards
	shard := maps.Clone(m.shards[i])
	delete(shard, name)
	m.shards[i] = shard
}
