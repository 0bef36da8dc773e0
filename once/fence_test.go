package once

import (
	"testing"

	"hyssopbridge/lease"
	"hyssopbridge/resultcode"
)

// Guards against a second run by a lease holder whose monotonic clock stopped
// during a pause, for example in a suspended virtual machine. Its own lease
// check passes, so only the epoch check at the host nodes refuses the order.
func TestFenceStopsHolderWithStoppedClock(t *testing.T) {
	w := newWorld(7, 5)
	w.lossy = false
	w.steps(100)
	stale := w.nodes[0]
	stale.frozen, stale.paused = true, true
	for range 100 {
		w.falseDead[0] = true
		w.steps(10)
	}
	key := w.keyOf(stale, w.log[0])
	for _, n := range w.nodes[1:] {
		if epoch, _, ok := n.core.ActiveSince(simService); !ok || epoch < 2 {
			t.Fatalf("node %d has not seen a later epoch", n.index)
		}
	}
	first := w.call(1, key, 0)
	w.steps(20)
	if !first.ran {
		t.Fatalf("the order did not run in the new epoch: result code %v", first.code)
	}
	stale.paused = false
	// The order reaches the stale holder in the tick in which it resumes.
	second := &call{id: len(w.calls), key: key, requestID: w.uuid(w.wall())}
	stale.tasks = append([]func(){func() { stale.beginOrder(1, second) }}, stale.tasks...)
	epoch, _, ok := stale.core.Holds(stale.mono(), simService)
	if !ok || epoch != 1 {
		t.Fatalf("lease of the stale holder: epoch %d, held %v; want epoch 1, held", epoch, ok)
	}
	for i := range w.nodes {
		w.cut[[2]int{i, 0}] = i != 0 // it receives nothing, and its host node is another node
	}
	stale.forceHost = 2
	w.steps(30)
	if second.ran || len(w.violations) > 0 {
		t.Errorf("the stale holder ran the order: %v", w.violations)
	}
	if second.code.Ran() == resultcode.RanYes {
		t.Errorf("the stale order got result code %v", second.code)
	}
}

// keyOf returns a new UUIDv7 key whose home in g is n.
func (w *world) keyOf(n *simNode, g lease.Group) Key {
	for {
		key := w.newKey(1, 0)
		if home, _ := lease.HomeIn(g.HomeGroup, key.Scoped()); home == n.member {
			return key
		}
	}
}
