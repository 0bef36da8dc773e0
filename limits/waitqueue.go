package limits

import (
	"sync"

	"hyssopbridge/fleet"
)

// oldestEvery is the period, in grants, at which the oldest waiter goes first
// whatever its class, so that lower classes do not starve.
const oldestEvery = 8

// queueShares is the part of the queue that a class and those below it may fill.
var queueShares = [fleet.NumClasses]float64{
	fleet.Background:  0.25,
	fleet.Download:    0.5,
	fleet.Interactive: 0.8,
	fleet.Order:       1,
}

// queueShare returns the places that class and those below it may use; at
// least 1, so that a short queue serves every class.
func queueShare(class fleet.Class, queue int) int {
	return max(1, int(queueShares[class]*float64(queue)))
}

// waiter is a request in a waitQueue.
type waiter struct {
	class      fleet.Class
	seq        uint64
	queued     bool
	prev, next *waiter
	done       chan error // buffered; receives nil with a slot, or a refusal
}

var waiters = sync.Pool{New: func() any { return &waiter{done: make(chan error, 1)} }}

// free returns w to the pool. Its channel must be empty.
func (w *waiter) free() { waiters.Put(w) }

// waitQueue holds a first-in first-out list per class.
type waitQueue struct {
	first, last [fleet.NumClasses]*waiter
	counts      [fleet.NumClasses]int
	seq         uint64
	grants      int
}

func (q *waitQueue) push(class fleet.Class) *waiter {
	w := waiters.Get().(*waiter)
	q.seq++
	w.class, w.seq, w.queued = class, q.seq, true
	w.prev, w.next = q.last[class], nil
	if w.prev != nil {
		w.prev.next = w
	} else {
		q.first[class] = w
	}
	q.last[class] = w
	q.counts[class]++
	return w
}

func (q *waitQueue) remove(w *waiter) {
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		q.first[w.class] = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		q.last[w.class] = w.prev
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
		if q.last[c] != nil {
			return q.last[c]
		}
	}
	return nil
}

func (q *waitQueue) oldest() *waiter {
	return q.oldestOf(func(fleet.Class) bool { return true })
}

func (q *waitQueue) oldestOf(mayRun func(fleet.Class) bool) *waiter {
	var best *waiter
	for c, w := range q.first {
		if w != nil && (best == nil || w.seq < best.seq) && mayRun(fleet.Class(c)) {
			best = w
		}
	}
	return best
}

// next returns the waiter to run next among the classes that may run: the
// first of the highest class, or at every oldestEvery-th grant the oldest.
func (q *waitQueue) next(mayRun func(fleet.Class) bool) *waiter {
	var w *waiter
	if q.grants%oldestEvery == oldestEvery-1 {
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
		if q.first[c] != nil && mayRun(fleet.Class(c)) {
			return q.first[c]
		}
	}
	return nil
}
