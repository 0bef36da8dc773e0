package mesh

import (
	"slices"
	"testing"
	"time"
)

// Guards against requests that wait for retry budget although none will come
// before their deadline, against less urgent ones that keep the places of more
// urgent ones, against late requests that use the budget of those that can still
// be in time, and against a queue that nobody leads after the first has left.
func TestBudgetQueue(t *testing.T) {
	now := time.Minute
	// This node has six retries in a window of 10 s.
	q := newBudgetQueues(func() time.Duration { return now }, func() RetryPolicy { return RetryPolicy{Slack: 4 * 6 / budgetShare} }, func() int { return 4 }, 1)
	for range 6 {
		q.recordRetry("s")
	}
	now += 7 * time.Second // they leave the window in 4 s
	enter := func(nested bool, priority int, inTime, left time.Duration) *budgetWaiter {
		w := &budgetWaiter{nested: nested, priority: priority, inTime: now + inTime, until: now + left}
		if _, ok := q.enter("s", w); !ok {
			return nil
		}
		return w
	}
	isFirst := func(w *budgetWaiter) bool {
		select {
		case <-q.turn(w):
			return true
		default:
			return false
		}
	}
	if enter(false, 0, time.Second, 3*time.Second) != nil {
		t.Error("a request waits although no budget will come in time")
	}
	read := enter(false, 2, time.Second, 8*time.Second)
	for range 3 {
		enter(false, 1, -time.Second, 6*time.Second)
	}
	if !isFirst(read) {
		t.Error("a request that is late is first")
	}
	order := enter(false, 1, time.Second, 6*time.Second)
	if isFirst(read) || !isFirst(order) {
		t.Error("a less urgent request is first")
	}
	call := enter(true, 2, time.Second, 5*time.Second)
	if isFirst(order) || !isFirst(call) {
		t.Error("a call of a run is not first")
	}
	for range 6 {
		enter(true, 2, time.Second, 5*time.Second)
	}
	if n := len(q.byService["s"].waiters); n != 6 && n != 7 {
		t.Errorf("%d requests wait for six retries", n)
	}
	select {
	case <-read.dropped:
	default:
		t.Error("a request still waits after more urgent ones have taken its place")
	}
	for q.waiting("s") {
		at := slices.IndexFunc(q.byService["s"].waiters, isFirst)
		if at < 0 {
			t.Fatal("no request took the place of the first one")
		}
		q.leave(q.byService["s"].waiters[at])
	}
	// Hosts admit none although this node has made few: others have made them.
	now += time.Minute
	w := enter(false, 0, time.Second, 8*time.Second)
	q.recordNone(w)
	if enter(false, 0, time.Second, 8*time.Second) != nil {
		t.Error("a request waits although other nodes use the budget")
	}
}

// Guards against a request that is refused for more urgent ones with later
// deadlines, for which there is budget in time after it, and against one that
// keeps its place although more urgent ones then have none.
func TestBudgetQueueKeepsNearDeadlines(t *testing.T) {
	now := time.Minute
	// This node has six retries in a window of 10 s.
	q := newBudgetQueues(func() time.Duration { return now }, func() RetryPolicy { return RetryPolicy{Slack: 4 * 6 / budgetShare} }, func() int { return 4 }, 1)
	for range 6 {
		q.recordRetry("s")
	}
	now += 7 * time.Second // they leave the window in 4 s
	enter := func(priority int, left time.Duration) *budgetWaiter {
		w := &budgetWaiter{priority: priority, inTime: now - time.Second, until: now + left}
		q.enter("s", w)
		return w
	}
	ended := func(c chan struct{}) bool {
		select {
		case <-c:
			return true
		default:
			return false
		}
	}
	for range 6 {
		enter(1, 25*time.Second)
	}
	read := enter(2, 8*time.Second)
	if ended(read.dropped) {
		t.Error("a request is refused although more urgent ones have budget after it")
	}
	if !ended(read.turn) {
		t.Error("a late request with a later deadline is first")
	}
	for range 8 {
		enter(1, 8*time.Second)
	}
	if !ended(read.dropped) {
		t.Error("a request keeps its place although more urgent ones have no budget in time")
	}
}

// Guards against requests that wait for retry budget until their node has closed
// their connections without a response.
func TestBudgetQueueStops(t *testing.T) {
	now := func() time.Duration { return time.Minute }
	q := newBudgetQueues(now, func() RetryPolicy { return RetryPolicy{Slack: 40} }, func() int { return 4 }, 1)
	w := &budgetWaiter{until: time.Hour}
	if _, ok := q.enter("s", w); !ok {
		t.Fatal("the request may not wait")
	}
	q.stop()
	select {
	case <-w.dropped:
	default:
		t.Error("a request waits although its node stops")
	}
	q.leave(w)
	if _, ok := q.enter("s", &budgetWaiter{until: time.Hour}); ok {
		t.Error("a request begins to wait although its node stops")
	}
}
