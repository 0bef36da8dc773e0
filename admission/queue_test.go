package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func waiting(q *queue, now time.Duration, priority int, good, most time.Duration) *waiter {
	w := newWaiter(Request{Priority: priority, GoodWait: good, MaxWait: most}, now)
	if !q.add(w, now, pace{perPlace: 100 * ms, spare: 0.5}) {
		return nil
	}
	return w
}

// Guards against a line in which late requests delay those that can be in time,
// and less urgent requests more urgent ones.
func TestQueueOrder(t *testing.T) {
	q := newQueue()
	late := waiting(&q, 0, 2, 0, 10*time.Second)
	second := waiting(&q, 0, 2, 2*time.Second, 10*time.Second)
	first := waiting(&q, 0, 2, time.Second, 10*time.Second)
	urgent := waiting(&q, 0, 1, 3*time.Second, 10*time.Second)
	if want := []*waiter{urgent, first, second, late}; !slices.Equal(q.waiters, want) {
		t.Errorf("%d in line in an unexpected order", len(q.waiters))
	}
	q.demoteLate(1500 * ms)
	if want := []*waiter{urgent, second, late, first}; !slices.Equal(q.waiters, want) {
		t.Error("a request that missed its objective stays before one that can meet it")
	}
}

// Guards against a line that grows beyond what can be served in time, over any
// sequence of requests: none is admitted that cannot start in time, or that makes
// another one of its priority miss the start it was promised.
func TestQueueKeepsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, p := newQueue(), time.Duration(0), pace{perPlace: 100 * ms, spare: 0.5}
		for range rapid.IntRange(1, 80).Draw(t, "requests") {
			if rapid.IntRange(0, 3).Draw(t, "start") == 0 && len(q.waiters) > 0 {
				now += p.perPlace
				q.demoteLate(now)
				q.take(0)
				continue
			}
			most := time.Duration(rapid.IntRange(0, 6000).Draw(t, "most")) * ms
			good := time.Duration(rapid.IntRange(0, 3000).Draw(t, "good")) * ms
			w := newWaiter(Request{GoodWait: good, MaxWait: most}, now)
			kept := map[*waiter]bool{}
			for i, x := range q.waiters {
				kept[x] = q.wait(i, p) <= x.due()-now
			}
			if !q.add(w, now, p) {
				continue
			}
			for i, x := range q.waiters {
				if wait := q.wait(i, p); (x == w || kept[x]) && wait > x.due()-now {
					t.Fatalf("a request with %v left is expected to wait %v", x.due()-now, wait)
				}
			}
		}
	})
}

// Guards against late requests that are admitted although demand takes the whole
// capacity, and against refusing them when some of it is usually free.
func TestLateRequestsNeedSpareCapacity(t *testing.T) {
	for _, c := range []struct {
		spare float64
		want  bool
	}{{0.5, true}, {0, false}} {
		q := newQueue()
		w := newWaiter(Request{MaxWait: 10 * time.Second}, 0)
		if got := q.add(w, 0, pace{perPlace: 100 * ms, spare: c.spare}); got != c.want {
			t.Errorf("with %.1f of the capacity usually free: admitted %v", c.spare, got)
		}
	}
}

// Guards against requests that lose their place because their host failed, and
// are then refused since new requests have filled the other queues.
func TestLostPlaceIsAdmitted(t *testing.T) {
	q, p := newQueue(), pace{perPlace: 100 * ms}
	for waiting(&q, 0, 0, time.Second, time.Second) != nil {
	}
	moved := Request{GoodWait: 500 * ms, MaxWait: 5 * time.Second}
	if q.add(newWaiter(moved, 0), 0, p) {
		t.Fatal("a new request was admitted to a full line")
	}
	moved.LostPlace = true
	if !q.add(newWaiter(moved, 0), 0, p) {
		t.Error("a request that lost its place was refused")
	}
}

// Guards against estimates that stay too low where waits are longer than the
// mean run time suggests.
func TestEstimateLearnsFromWaits(t *testing.T) {
	q, p := newQueue(), pace{perPlace: 100 * ms}
	for range 200 {
		w := waiting(&q, 0, 0, time.Second, time.Second)
		q.observeWait(w, time.Duration(1.5*float64(w.stated)/q.bias))
		q.take(0)
	}
	if wait := q.wait(0, p); wait < 130*ms || wait > 170*ms {
		t.Errorf("expected wait %v after waits of 150 ms", wait)
	}
}

// Guards against slots that stay idle while a request waits to which the risk
// was too high at the moment when a slot became free.
func TestPassedOverWaiterGetsSlot(t *testing.T) {
	g, c := testGate(1)
	mustReserve(t, g, idempotent()).Release(Success)
	running := mustReserve(t, g, nonIdempotent())
	got := make(chan Reason)
	go func() {
		r := nonIdempotent()
		r.MaxWait, r.GoodWait = time.Minute, time.Minute
		_, reason := g.Reserve(t.Context(), r)
		got <- reason
	}()
	for g.Status().Waiting == 0 {
		time.Sleep(ms)
	}
	running.Release(ServerError) // raises the risk beyond what the waiter accepts
	if g.Status().Waiting != 1 {
		t.Fatal("the waiter left the line at the first failure")
	}
	g.mu.Lock()
	for range 20 {
		g.detector.Observe(Success, "z", c.get(), c.get())
	}
	g.mu.Unlock()
	select {
	case reason := <-got:
		if reason != None {
			t.Errorf("refused: %s", reason)
		}
	case <-time.After(10 * time.Second):
		t.Error("the waiter got no slot after the risk had fallen")
	}
}

// Guards against late requests that are refused because the load of the second in
// which the first line forms is taken for the usual one, and against a first
// observation that replaces what is assumed.
func TestUsualLoadIsNotThatOfTheLastSecond(t *testing.T) {
	m := newLoadMeter()
	at := time.Hour
	m.observe(at, 0)
	if m.inUse != initialInUse {
		t.Errorf("%.2f in use after the first observation", m.inUse)
	}
	for range 50 {
		at += 100 * time.Millisecond
		m.observe(at, 0.4)
	}
	m.observe(at+time.Second, 1)
	m.observeWait(22 * time.Second)
	if m.inUse > 0.55 {
		t.Errorf("%.2f in use, after 5 s with 0.4 and 1 s with 1", m.inUse)
	}
}
