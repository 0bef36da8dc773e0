package routing

import "maps"

const nameShards = 256

// names is a copy-on-write map from names to values, sharded so that a change
// copies few entries.
type names[V any] struct {
	shards [nameShards]map[string]V
}

func (n *names[V]) get(name string) (V, bool) {
	v, ok := n.shards[hashPath(name)%nameShards][name]
	return v, ok
}

// set stores v in n, which must not be visible to readers yet. The shard is
// copied, since it may be shared with an older version.
func (n *names[V]) set(name string, v V) {
	i := hashPath(name) % nameShards
	shard := maps.Clone(n.shards[i])
	if shard == nil {
		shard = make(map[string]V)
	}
	shard[name] = v
	n.shards[i] = shard
}

func (n *names[V]) remove(name string) {
	i := hashPath(name) % nameShards
	shard := maps.Clone(n.shards[i])
	delete(shard, name)
	n.shards[i] = shard
}
