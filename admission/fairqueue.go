package admission

import "time"

// maxEvictions bounds the waiters that leave the line for one request. It is more
// than one because the line is longer than promised when the target has become
// slower.
const maxEvictions = 32

// weight returns the request's share of a service that has too little room, in
// relation to those of other customers.
func (r Request) weight() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// makeRoom finds a place for a request that can meet its objective but finds the
// line full. Places go to customers by weight: as long as another customer holds
// more of them for its weight than this one would, the last of its waiters leaves
// the line. It returns the place, or -1 if the request does not get one; then no
// waiter leaves.
//
// The shares are counted from the waiters, so the state does not grow with the
// number of customers.
func (q *queue) makeRoom(w *waiter, now time.Duration, p pace) int {
	if w.goodUntil <= now {
		return -1
	}
	line, evicted := q.waiters, []*waiter(nil)
	q.waiters = append([]*waiter(nil), line...)
	w.late = false
	for len(evicted) < maxEvictions {
		until := len(q.waiters)
		if at := q.place(w); q.wait(at, w.req.Priority, p) > w.due()-now {
			until = at // its own start is too late, so a place before it has to become free
		}
		i := q.mostOverShare(w, until)
		if i < 0 {
			break
		}
		evicted = append(evicted, q.take(i))
		if at := q.place(w); q.fits(w, at, now, p) {
			q.evicted = append(q.evicted, evicted...)
			return at
		}
	}
	q.waiters = line
	return -1
}

// mostOverShare returns the index of the last waiter of the customer that holds
// the most places for its weight. Only waiters of the request's priority or a lower
// one and before index until leave the line. It returns -1 if no such customer
// holds more than the request's own would.
func (q *queue) mostOverShare(w *waiter, until int) int {
	type share struct {
		places float64 // per weight
		last   int
	}
	shares := map[string]*share{}
	for i, x := range q.waiters {
		s := shares[x.req.Customer]
		if s == nil {
			s = &share{last: -1}
			shares[x.req.Customer] = s
		}
		s.places += 1 / x.req.weight()
		if x.req.Priority >= w.req.Priority && i < until {
			s.last = i
		}
	}
	own := 1 / w.req.weight()
	if s := shares[w.req.Customer]; s != nil {
		own += s.places
	}
	most, last := own, -1
	for name, s := range shares {
		if name != w.req.Customer && s.last >= 0 && (s.places > most || last >= 0 && s.places == most && s.last > last) {
			most, last = s.places, s.last
		}
	}
	return last
}
