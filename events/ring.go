package events

// ring is a ring buffer of the newest events. Its capacity must not be zero.
type ring struct {
	items       []Event
	next        int
	overwritten int64
}

func newRing(capacity int) ring { return ring{items: make([]Event, 0, capacity)} }

func (r *ring) add(e Event) {
	if len(r.items) < cap(r.items) {
		r.items = append(r.items, e)
		return
	}
	r.items[r.next] = e
	r.next = (r.next + 1) % len(r.items)
	r.overwritten++
}

// newestFirst calls f with the events, newest first, until f returns false.
func (r *ring) newestFirst(f func(*Event) bool) {
	n := len(r.items)
	for i := range n {
		if !f(&r.items[(r.next+n-1-i)%n]) {
			return
		}
	}
}
