package admission

import (
	"math"
	"slices"
	"time"
)

// maxWaiters bounds the requests that wait at one host, each of which holds a
// connection and two goroutines.
const maxWaiters = 1024

// waiter is a request in line for a slot.
type waiter struct {
	req       Request
	priority  int           // in line; see queue.priority
	goodUntil time.Duration // latest start with which it probably meets its objective
	until     time.Duration // latest start that is of any use
	late      bool          // its place is by until, since it cannot meet its objective
	arrived   time.Duration
	stated    time.Duration // expected wait when it was admitted
	passedAt  time.Duration // when it was first passed over because of the target's risk; 0 for never
	done      chan decision // capacity 1
}

func newWaiter(req Request, now time.Duration) *waiter {
	return &waiter{req: req, priority: req.Priority, arrived: now, goodUntil: now + min(req.GoodWait, req.MaxWait), until: now + req.MaxWait, done: make(chan decision, 1)}
}

// due returns the latest start that the queue has promised the request.
func (w *waiter) due() time.Duration {
	if w.late {
		return w.until
	}
	return w.goodUntil
}

// queue is the line of requests that wait for a slot of one target: by priority,
// then by the latest start that each was promised. That is by its objective, or
// by its deadline if it can no longer meet its objective, so late requests get
// their slot after those in time unless their deadline comes close. A request is
// admitted only if it is expected to start in time and no promise to one of the
// same priority is broken by it. Without that, the order by deadlines would make
// every request late under overload.
//
// A request that lost its place in another queue, since the host there failed,
// is admitted without regard to those behind it: it is no new demand.
type queue struct {
	waiters []*waiter
	meter   loadMeter
	usages  usages    // requests that each customer got started lately
	evicted []*waiter // left the line for requests of other customers and have to be refused
	bias    float64   // mean ratio of actual to estimated waits, at least 1
}

const (
	// biasWeight is the weight of one wait in queue.bias.
	biasWeight = 0.05
	// maxBias bounds queue.bias, so that few waits in a failure do not close the
	// queue.
	maxBias = 2
)

func newQueue() queue { return queue{meter: newLoadMeter(), bias: 1} }

// pace is how fast a target takes requests from its queue.
type pace struct {
	perPlace time.Duration // mean time between two starts
	spare    float64       // fraction of the capacity that is usually free
}

// add admits the request to the line, if it can start in time: by its objective,
// or else by its deadline where room for it is foreseen. It reports whether it
// did.
func (q *queue) add(w *waiter, now time.Duration, p pace) bool {
	if w.req.MaxWait <= 0 || len(q.waiters) >= maxWaiters {
		return false
	}
	q.demoteLate(now)
	share := q.share(w.req, now)
	w.priority = q.priority(w.req, share)
	if share > overShare && !w.req.LostPlace && !q.foreseesRoom(w, p) {
		return false // it would have to give way later
	}
	w.late = w.goodUntil <= now
	at := q.place(w)
	if !w.late && !q.fits(w, at, now, p) {
		w.late = true
		at = q.place(w)
	}
	if w.late && !(q.fits(w, at, now, p) && (w.req.LostPlace || q.foreseesRoom(w, p))) {
		if at = q.makeRoom(w, now, p); at < 0 {
			w.late = true
			if at = q.place(w); !q.mayBeLate(share) || !q.fits(w, at, now, p) {
				return false
			}
		}
	}
	q.insert(w, at)
	w.stated = q.wait(at, p)
	return true
}

func (q *queue) insert(w *waiter, at int) { q.waiters = slices.Insert(q.waiters, at, w) }

// place returns the index at which the request stands in line, behind those with
// the same due time.
func (q *queue) place(w *waiter) int {
	at := len(q.waiters)
	for at > 0 && w.before(q.waiters[at-1]) {
		at--
	}
	return at
}

// before reports whether the request goes before another one that came earlier.
func (w *waiter) before(x *waiter) bool {
	if w.priority != x.priority {
		return w.priority < x.priority
	}
	return w.due() < x.due()
}

// wait estimates the wait of a request at an index of the line. More urgent
// requests that arrive meanwhile are not foreseen; what they usually add is part
// of bias.
func (q *queue) wait(at int, p pace) time.Duration {
	return time.Duration(q.bias * float64(p.perPlace) * float64(at+1))
}

// fits reports whether the request would start in time at the index, and no
// promise to those behind it that holds now would be broken.
func (q *queue) fits(w *waiter, at int, now time.Duration, p pace) bool {
	if q.wait(at, p) > w.due()-now {
		return false
	}
	if w.req.LostPlace {
		return true
	}
	for i := at; i < len(q.waiters) && q.waiters[i].priority == w.priority; i++ {
		left := q.waiters[i].due() - now
		if q.wait(i, p) <= left && q.wait(i+1, p) > left {
			return false
		}
	}
	return true
}

// foreseesRoom reports whether the capacity that is usually free until the
// deadline of a new late request covers it and all that wait. While demand stays
// above capacity, a late request only gets a slot at the cost of another one.
func (q *queue) foreseesRoom(w *waiter, p pace) bool {
	backlog := q.bias * float64(p.perPlace) * float64(len(q.waiters)+1)
	return backlog <= p.spare*float64(w.req.MaxWait)
}

// demoteLate gives those that can no longer meet their objective a place by their
// deadline.
func (q *queue) demoteLate(now time.Duration) {
	for i := 0; i < len(q.waiters); i++ {
		w := q.waiters[i]
		if w.late || w.goodUntil > now {
			continue
		}
		q.take(i)
		w.late = true
		q.insert(w, q.place(w))
		i--
	}
}

// take removes and returns the request at an index.
func (q *queue) take(i int) *waiter {
	w := q.waiters[i]
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return w
}

// observeWait learns from the wait of a request that gets a slot.
func (q *queue) observeWait(w *waiter, now time.Duration) {
	if w.stated > 0 {
		actual := q.bias * float64(now-w.arrived) / float64(w.stated)
		q.bias = min(maxBias, max(1, q.bias+biasWeight*(min(actual, maxBias)-q.bias)))
	}
}

// remove takes the request out of the line. It reports whether it was there.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.take(i)
	return true
}

// onTime returns the number of waiting requests that can still meet their
// objective.
func (q *queue) onTime(now time.Duration) int {
	n := 0
	for _, w := range q.waiters {
		if !w.late && w.goodUntil > now {
			n++
		}
	}
	return n
}

// loadMeter learns how much of a target's capacity is in use, over about
// horizonFactor times as long as requests may wait.
type loadMeter struct {
	started bool
	at      time.Duration // latest observation
	horizon time.Duration // of the longest recent Request.MaxWait; firstHorizon until a request has waited
	inUse   float64       // mean fraction of slots in use
}

const (
	// initialInUse is the fraction of slots that is assumed in use at first.
	initialInUse = 0.5
	// firstHorizon is the time over which the mean is taken until a request has
	// waited. A mean over the last second would take the load of that second, in
	// which the line forms, for the usual one as long as the line lasts.
	firstHorizon = 10 * time.Second
	// horizonFactor is the multiple of the longest wait over which the mean is
	// taken. With 1, a burst of 7 s with a deadline of 22 s raised the load that is
	// taken for the usual one from 0.43 to 0.58, and its last requests were refused.
	horizonFactor = 2
	// horizonDecay is the factor on the learned horizon for each request that may
	// wait.
	horizonDecay = 0.99
	// minHorizon bounds the learned horizon from below, so that a few short
	// requests do not make the mean follow every one of them.
	minHorizon = time.Second
)

func newLoadMeter() loadMeter { return loadMeter{inUse: initialInUse, horizon: firstHorizon} }

// observe counts the time since the last call, in which a fraction of the slots
// was in use.
func (m *loadMeter) observe(now time.Duration, inUse float64) {
	if !m.started {
		m.started, m.at = true, now
	}
	kept := math.Exp(-float64(now-m.at) / float64(m.horizon))
	m.inUse = kept*m.inUse + (1-kept)*min(1, inUse)
	m.at = now
}

func (m *loadMeter) observeWait(maxWait time.Duration) {
	m.horizon = max(minHorizon, horizonFactor*maxWait, time.Duration(horizonDecay*float64(m.horizon)))
}
