package mesh

import (
	"sync"
	"time"
)

// refusedMemoryMargin is how much longer than until its deadline a refused
// request is remembered. The entry node may send it again until the deadline, by
// a clock of its own, and a caller may send it again under the same ID. By the
// end of the margin the connections on which a late copy of the refusal may
// arrive have carried another request or are too old to be reused.
const refusedMemoryMargin = maxTargetIdle + time.Second

// refusedRequests holds the IDs of the requests that the target of this node
// refused, until refusedMemoryMargin after their deadlines. A request that is sent again keeps its ID, so
// the ID alone does not tell a second refusal from a late copy of the first. The
// connection does, if it carried no request before.
type refusedRequests struct {
	mu  sync.Mutex
	ids map[string]int // number of refusals that are still remembered
}

func newRefusedRequests() *refusedRequests { return &refusedRequests{ids: map[string]int{}} }

// add records a refusal of a request that has the given time left.
func (r *refusedRequests) add(id string, left time.Duration) {
	r.mu.Lock()
	r.ids[id]++
	r.mu.Unlock()
	time.AfterFunc(left+refusedMemoryMargin, func() { r.forget(id) })
}

func (r *refusedRequests) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ids[id]--; r.ids[id] == 0 {
		delete(r.ids, id)
	}
}

// has reports whether the target refused the request before.
func (r *refusedRequests) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id] > 0
}
