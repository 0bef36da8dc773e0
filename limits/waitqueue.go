package limits

import (
	"sync"

	"hyssopbridge/fleet"
)

// oldestFirstPeriod is the number of grants after which the oldest waiter is
// served regardless of its class, so that lower classes do not starve.
const oldestFirstPeriod = 8

// queueShares is the share of the queue that each class, together with the
// classes below it, may fill.
var queueShares = [fleet.NumClasses]float64{
	fleet.Background:  0.25,
	fleet.Download:    0.5,
	fleet.Interactive: 0.8,
	fleet.Order:       1,
}

// queueShare returns the number of queue positions that class, together with the
// classes below it, may use. It is at least 1, so that a short queue serves
// every class.
func queueShare(class fleet.Class, queue int) int {
	return max(1, int(queueShares[class]*float64(queue)))
}

// waiter is a request in a waitQueue.
type waiter struct {
	class      fleet.Class
	seq        uint64
	queued     bool
	prev, next *waiter
	done       chan error // buffered; receives nil when a slot was granted, otherwise the refusal
}

var waiterPool = sync.Pool{New: func() any { return &waiter{done: make(chan error, 1)} }}

// free returns w to the pool. The channel of w must be empty.
func (w *waiter) free() { waiterPool.Put(w) }

// waitQueue holds a FIFO list of waiters per class.
type waitQueue struct {
	head, tail [fleet.NumClasses]*waiter
	counts     [fleet.NumClasses]int
	seq        uint64
	grants     int
}

func (q *waitQueue) push(class fleet.Class) *waiter {
	w := waiterPool.Get().(*waiter)
	q.seq++
	w.class, w.seq, w.queued = class, q.seq, true
	w.prev, w.next = q.tail[class], nil
	if w.prev != nil {
		w.prev.next = w
	} else {
		q.head[class] = w
	}
	q.tail[class] = w
	q.counts[class]++
	return w
}

func (q *waitQueue) remove(w *waiter) {
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		q.head[w.class] = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		q.tail[w.class] = w.prev
	}
	w.prev, w.next, w.queued = nil, nil, false
	q.counts[w.class]--
}

func (q *waitQueue) len() int { return q.lenUpTo(fleet.NumClasses - 1) }

func (q *waitQueue) lenUpTo(class fleet.Class) int {
	n := 0
	for c := fleet.Class(0); c <= class; c++ {
		n += q.counts[c]
	}
	return n
}

// newestBelow returns the newest waiter of the lowest class below class.
func (q *waitQueue) newestBelow(class fleet.Class) *waiter {
	for c := fleet.Class(0); c < class; c++ {
		if q.tail[c] != nil {
			return q.tail[c]
		}
	}
	return nil
}

func (q *waitQueue) oldest() *waiter {
	return q.oldestOf(func(fleet.Class) bool { return true })
}

func (q *waitQueue) oldestOf(mayRun func(fleet.Class) bool) *waiter {
	var best *waiter
	for c, w := range q.head {
		if w != nil && (best == nil || w.seq < best.seq) && mayRun(fleet.Class(c)) {
			best = w
		}
	}
	return best
}

// next returns the waiter to serve next among the classes that may run: the
// first of the highest such class, or on every oldestFirstPeriod-th grant the
// oldest of all.
func (q *waitQueue) next(mayRun func(fleet.Class) bool) *waiter {
	var w *waiter
	if q.grants%oldestFirstPeriod == oldestFirstPeriod-1 {
		w = q.oldestOf(mayRun)
	} else {
		w = q.highest(mayRun)
	}
	if w != nil {
		q.grants++
	}
	return w
}

func (q *waitQueue) highest(mayRun func(fleet.Class) bool) *waiter {
	for c := fleet.NumClasses - 1; c >= 0; c-- {
		if q.head[c] != nil && mayRun(fleet.Class(c)) {
			return q.head[c]
		}
	}
	return nil
}
