package mesh

import (
	"hash/maphash"
	"sync"
	"time"
)

// refusedMemoryMargin is how much longer than until its deadline a refused
// request is remembered. The entry node may send it again until the deadline, by
// a clock of its own, and a caller may send it again under the same ID. By the
// end of the margin the connections on which a late copy of the refusal may
// arrive have carried another request or are too old to be reused.
const refusedMemoryMargin = maxTargetIdle + time.Second

// refusedRequests holds the requests that the target of this node refused, until
// refusedMemoryMargin after their deadlines. A request that is sent again keeps
// its ID, so the ID alone does not tell a second refusal from a late copy of the
// first. So an order is not sent again to the target, and a read is sent over a
// connection that carried no request before.
//
// Callers choose the IDs, so only their hashes are kept. If two collide, the other
// request is treated as if it had been refused.
type refusedRequests struct {
	seed maphash.Seed

	mu     sync.Mutex
	hashes map[uint64]int // number of refusals that are still remembered
}

// refusalKey is the ID under which the refusal of a request by one target is
// remembered, since another target may follow at its address.
func refusalKey(target, id string) string { return target + "\x00" + id }

func newRefusedRequests() *refusedRequests {
	return &refusedRequests{seed: maphash.MakeSeed(), hashes: map[uint64]int{}}
}

// add records a refusal of a request that has the given time left.
func (r *refusedRequests) add(id string, left time.Duration) {
	h := maphash.String(r.seed, id)
	r.mu.Lock()
	r.hashes[h]++
	r.mu.Unlock()
	time.AfterFunc(left+refusedMemoryMargin, func() { r.forget(h) })
}

func (r *refusedRequests) forget(hash uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hashes[hash]--; r.hashes[hash] == 0 {
		delete(r.hashes, hash)
	}
}

// has reports whether the target refused the request before.
func (r *refusedRequests) has(id string) bool {
	h := maphash.String(r.seed, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hashes[h] > 0
}
