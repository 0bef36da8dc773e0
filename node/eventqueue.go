package node

import (
	"container/heap"
	"time"
)

// queuedEvent is an event of a node with its time on this node's clock.
type queuedEvent struct {
	event
	node, zone string
	target     string
	base       uint64
	at         time.Duration
	seq        uint64 // order of arrival, for events of equal time
}

// eventQueue orders the events of several nodes by time.
type eventQueue struct {
	heap eventHeap
	seq  uint64
}

// add queues an event of the given time. If the queue is full, the event is
// dropped.
func (q *eventQueue) add(at time.Duration, e queuedEvent) {
	if len(q.heap) >= maxQueuedEvents {
		return
	}
	q.seq++
	e.at, e.seq = at, q.seq
	heap.Push(&q.heap, e)
}

// next removes and returns the earliest event if its time is at most now.
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
	return h[i].seq < h[j].seq
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
