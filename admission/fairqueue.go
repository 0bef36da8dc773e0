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
	// lowShare is the part of what it is owed by weight below which a customer goes
	// with those of the highest priority. No customer may be served less than a
	// quarter as often as all; lowShare is twice that, since customers ask for
	// different multiples of their weight.
	lowShare = 0.5
	// overShare is the part of what it is owed above which a customer's requests are
	// refused at once while demand stays above capacity. With 1 lines are too
	// short for their customers' chance shares, and 3 to 5 percentage points fewer
	// are served.
	overShare = 1.2
	// evictionCost is the part of a start that counts as the request's own when it
	// asks for another customer's place. With 0 every place goes to whoever is behind
	// by any fraction of a start: small customers, whose share at one host is less
	// than a whole start, get more than their weight, the largest less.
	evictionCost = 0.5
	// RoutePriorities is the number of priorities of routes within one of
	// customers: Request.Priority is that of the customer times RoutePriorities,
	// plus that of the route, which is less.
	RoutePriorities = 16
)

// weight returns the request's share of a service that has too little room, in
// relation to those of other customers.
func (r Request) weight() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// usages holds how many requests of each customer a target has started lately.
// Starts decay over usageHorizon. The size is bounded by the number of requests
// that the target starts in a few horizons.
type usages struct {
	byCustomer map[string]usage
	requests   float64       // of all customers, in the unit of usage.requests
	weight     float64       // of all customers in byCustomer
	since      time.Duration // when a start counted 1; later ones count more, instead of decaying earlier ones
}

type usage struct {
	requests float64
	weight   float64
}

// scale returns what a start counts now.
func (u *usages) scale(now time.Duration) float64 {
	return math.Exp(float64(now-u.since) / float64(usageHorizon))
}

// recordStart counts a request that starts. Those without a customer are not
// counted, as none of them gives way to another.
func (u *usages) recordStart(req Request, now time.Duration) {
	if req.Customer == "" {
		return
	}
	if u.byCustomer == nil {
		u.byCustomer = map[string]usage{}
	}
	if now-u.since >= usageHorizon {
		u.forget(now)
	}
	old, start := u.byCustomer[req.Customer], u.scale(now)
	u.byCustomer[req.Customer] = usage{old.requests + start, req.weight()}
	u.requests += start
	u.weight += req.weight() - old.weight
}

// forget drops customers without recent starts, and counts anew from now.
func (u *usages) forget(now time.Duration) {
	scale := u.scale(now)
	u.since, u.requests, u.weight = now, 0, 0
	for name, x := range u.byCustomer {
		x.requests /= scale
		if x.requests < minUsage {
			delete(u.byCustomer, name)
			continue
		}
		u.byCustomer[name] = x
		u.requests += x.requests
		u.weight += x.weight
	}
}

// of returns the number of requests of the customer that were started lately.
func (u *usages) of(customer string, now time.Duration) float64 {
	return u.byCustomer[customer].requests / u.scale(now)
}

// share returns how much the customer of a request has of what it is owed by
// weight, if some of its requests are in line: 1 is as much as all customers have
// on average. It is 1 without a customer, or if none got anything lately.
func (u *usages) share(req Request, waiting int, now time.Duration) float64 {
	if req.Customer == "" || u.requests == 0 {
		return 1
	}
	perWeight := u.requests / u.scale(now) / u.weight
	return (u.of(req.Customer, now) + float64(waiting)) / (perWeight * req.weight())
}

// share returns how much the request's customer has of what it is owed by weight.
func (q *queue) share(req Request, now time.Duration) float64 {
	if req.Customer == "" {
		return 1
	}
	waiting := 0
	for _, x := range q.waiters {
		if x.req.Customer == req.Customer {
			waiting++
		}
	}
	return q.usages.share(req, waiting, now)
}

// priority returns the priority of a request whose customer has the given part of
// what it is owed. The customer's priority decides as long as the customer has
// neither far less nor more than that; otherwise the request goes with the first
// or the last customers in line. The priority of routes decides among those.
func (q *queue) priority(req Request, share float64) int {
	if share >= lowShare && share <= 1 {
		return req.Priority
	}
	customer := req.Priority / RoutePriorities
	for _, x := range q.waiters {
		if other := x.req.Priority / RoutePriorities; share < lowShare {
			customer = min(customer, other)
		} else {
			customer = max(customer, other)
		}
	}
	return customer*RoutePriorities + req.Priority%RoutePriorities
}

// mayBeLate reports whether a request that cannot meet its objective is admitted
// at the cost of others, since its customer has less than it is owed. While no
// request can be promised a start in time there is no line, and slots would go to
// the customer that asks most often.
func (q *queue) mayBeLate(share float64) bool {
	return share < lowShare || share < 1 && len(q.waiters) == 0
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
// the request itself, including evictionCost.
//
// Requests without a customer, such as calls of targets, keep up to half of the
// line: they are no single customer's, and a run whose call is refused is lost.
func (q *queue) mostOverShare(w *waiter, until int, now time.Duration) int {
	type share struct {
		waiting float64
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
		if x.priority >= w.priority && i < until {
			s.last = i
		}
	}
	own := shares[w.req.Customer]
	if own == nil {
		own = &share{weight: w.req.weight(), last: -1}
		shares[w.req.Customer] = own
	}
	if w.req.Customer == "" && own.waiting+1 > float64(len(q.waiters))/2 {
		return -1
	}
	most, last := (q.usages.of(w.req.Customer, now)+own.waiting+evictionCost)/own.weight, -1
	if w.req.Customer == "" {
		most = 0
	}
	for name, s := range shares {
		if name == w.req.Customer || s.last < 0 || name == "" && s.waiting <= float64(len(q.waiters))/2 {
			continue
		}
		before := (q.usages.of(name, now) + s.waiting - 1) / s.weight
		if before > most || last >= 0 && before == most && s.last > last {
			most, last = before, s.last
		}
	}
	return last
}
