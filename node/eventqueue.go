package node

import (
	"container/heap"
	"time"
)

// queuedEvent is an event of some node with its time on this node's clock.
type queuedEvent struct {
	event
	node, zone string
	target     string
	base       uint64
	at         time.Duration
	order      uint64 // of arrival, for equal times
}

// eventQueue orders the events of several nodes by time.
type eventQueue struct {
	heap  eventHeap
	order uint64
}

// add queues an event of the given time. Events beyond the bound are dropped.
func (q *eventQueue) add(at time.Duration, e queuedEvent) {
	if len(q.heap) >= maxWaiting {
		return
	}
	q.order++
	e.at, e.order = at, q.order
	heap.Push(&q.heap, e)
}

// next removes the earliest event if its time is at most now.
func (q *eventQueue) next(now time.Duration) (queuedEvent, bool) {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return queuedEvent{}, false
	}
	return heap.Pop(&q.heap).(queuedEvent), true
}

type eventHeap []queuedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(queuedEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = queuedEvent{}
	*h = old[:len(old)-1]
	return last
}
