package admission

import (
	"math"
	"time"
)

const (
	// maxEvictions bounds the waiters that leave the line for one request. It is
	// more than one because the line is longer than promised when the target has
	// become slower.
	maxEvictions = 32
	// usageHorizon is the time over which the requests that a customer got started
	// count for its share. A line holds a few seconds of work at most, in which a
	// small customer is owed less than one place, so shares by the line alone would
	// never leave it any.
	usageHorizon = 10 * time.Second
	// minUsage is the usage at which a customer is forgotten.
	minUsage = 0.05
)

// weight returns the request's share of a service that has too little room, in
// relation to those of other customers.
func (r Request) weight() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// usages holds how many requests of each customer a target has started lately. Its
// size is bounded by the number of requests that it starts in a few horizons.
type usages struct {
	byCustomer map[string]usage
	sweptAt    time.Duration
}

// usage is a number of requests, which decays over usageHorizon.
type usage struct {
	requests float64
	at       time.Duration
}

func (u usage) decayed(now time.Duration) float64 {
	return u.requests * math.Exp(-float64(now-u.at)/float64(usageHorizon))
}

// recordStart counts a request that starts. Those without a customer are not
// counted, as none of them gives way to another.
func (u *usages) recordStart(customer string, now time.Duration) {
	if customer == "" {
		return
	}
	if u.byCustomer == nil {
		u.byCustomer = map[string]usage{}
	}
	u.byCustomer[customer] = usage{u.of(customer, now) + 1, now}
	if now-u.sweptAt < usageHorizon {
		return
	}
	u.sweptAt = now
	for name, x := range u.byCustomer {
		if x.decayed(now) < minUsage {
			delete(u.byCustomer, name)
		}
	}
}

// of returns the number of requests of the customer that were started lately.
func (u *usages) of(customer string, now time.Duration) float64 {
	return u.byCustomer[customer].decayed(now)
}

// makeRoom finds a place for a request that can meet its objective but finds the
// line full. Places go to customers by weight: as long as the last waiter of
// another customer has more requests before it for its weight than this one, it
// leaves the line. It returns the place, or -1 if the request does not get one;
// then no waiter leaves.
func (q *queue) makeRoom(w *waiter, now time.Duration, p pace) int {
	if w.goodUntil <= now {
		return -1
	}
	line, evicted := q.waiters, []*waiter(nil)
	q.waiters = append([]*waiter(nil), line...)
	w.late = false
	for len(evicted) < maxEvictions {
		until := len(q.waiters)
		if at := q.place(w); q.wait(at, p) > w.due()-now {
			until = at // its own start is too late, so a place before it has to become free
		}
		i := q.mostOverShare(w, until, now)
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

// mostOverShare returns the index of the last waiter of the customer whose last
// waiter has the most requests before it, started lately or in line, for the
// customer's weight. Only waiters of the request's priority or a lower one and
// before index until leave the line. It returns -1 if none has more before it than
// the request itself.
func (q *queue) mostOverShare(w *waiter, until int, now time.Duration) int {
	type share struct {
		waiting int
		weight  float64
		last    int // index of the last waiter that may leave the line; -1 for none
	}
	shares := map[string]*share{}
	for i, x := range q.waiters {
		s := shares[x.req.Customer]
		if s == nil {
			s = &share{weight: x.req.weight(), last: -1}
			shares[x.req.Customer] = s
		}
		s.waiting++
		if x.req.Priority >= w.req.Priority && i < until {
			s.last = i
		}
	}
	own := q.usages.of(w.req.Customer, now)
	if s := shares[w.req.Customer]; s != nil {
		own += float64(s.waiting)
	}
	most, last := own/w.req.weight(), -1
	for name, s := range shares {
		if name == w.req.Customer || s.last < 0 {
			continue
		}
		before := (q.usages.of(name, now) + float64(s.waiting-1)) / s.weight
		if before > most || last >= 0 && before == most && s.last > last {
			most, last = before, s.last
		}
	}
	return last
}
