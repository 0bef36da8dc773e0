package mesh

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"hyssopbridge/limits"
)

// budgetQueues orders the requests of an entry node that wait for the retry
// budget of a service, because a target shed them or failed and the hosts admit
// no retry at present. Only the first one asks hosts; a request for which no
// budget will come in time is refused at once.
type budgetQueues struct {
	now    func() time.Duration
	policy func() RetryPolicy
	nodes  func() int // number of nodes that share the budgets
	seed   uint64     // a different one on each node

	mu        sync.Mutex
	stopped   bool
	byService map[string]*budgetQueue
}

type budgetQueue struct {
	window *limits.RetryBudget // requests and retries of this node
	// usedByOthers is how many retries the window permitted when hosts last
	// admitted none: other nodes have made them.
	usedByOthers float64
	waiters      []*budgetWaiter // in the order in which they keep their places
	first        *budgetWaiter   // the one that may ask hosts
}

// budgetWaiter is a request that waits for retry budget.
type budgetWaiter struct {
	queue    *budgetQueue
	nested   bool          // a call of a run, which is lost without a response
	priority int           // 0 is the most urgent
	inTime   time.Duration // a retry that starts later probably ends after the objective
	until    time.Duration // a retry that starts later probably ends after the deadline
	turn     chan struct{} // closed while the request is the first
	dropped  chan struct{} // closed when budget will no longer come in time
	// passedUntil is until when other requests go first.
	passedUntil time.Duration
}

// budgetWindow is the window of the retry budgets, and budgetStep the length of
// the parts in which it moves.
const (
	budgetWindow = 10 * time.Second
	budgetStep   = time.Second
)

const (
	// budgetPollShare is the pause between the questions of the first waiting
	// request as a fraction of the mean time until this node gets budget, and
	// maxBudgetPoll its upper limit.
	budgetPollShare = 0.25
	maxBudgetPoll   = 250 * time.Millisecond
)

func newBudgetQueues(now func() time.Duration, policy func() RetryPolicy, nodes func() int, seed uint64) *budgetQueues {
	return &budgetQueues{now: now, policy: policy, nodes: nodes, seed: seed, byService: map[string]*budgetQueue{}}
}

// recordRequest counts a request of this node for the service.
func (b *budgetQueues) recordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue(service).window.RecordRequest(b.now())
}

// recordRetry counts a retry of this node.
func (b *budgetQueues) recordRetry(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.queue(service)
	q.window.Spend(b.now(), 1)
	q.usedByOthers = max(0, q.usedByOthers-1)
}

// recordNone records that hosts admit no retry at present.
func (b *budgetQueues) recordNone(w *budgetWaiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configure(w.queue)
	w.queue.usedByOthers = max(0, w.queue.window.Remaining(b.now()))
}

// waiting reports whether requests wait for budget of the service.
func (b *budgetQueues) waiting(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue(service).waiters) > 0
}

// enter adds a request to the queue. It returns the number of requests that
// keep their places before it. ok is false if no budget is expected in time. Less
// urgent requests for which that is no longer so are dropped.
func (b *budgetQueues) enter(service string, w *budgetWaiter) (ahead int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q, now := b.queue(service), b.now()
	w.queue, w.turn, w.dropped = q, make(chan struct{}), make(chan struct{})
	ahead, _ = slices.BinarySearchFunc(q.waiters, w, func(x, w *budgetWaiter) int {
		if w.keepsPlaceBefore(x) {
			return 1
		}
		return -1
	})
	q.waiters = slices.Insert(q.waiters, ahead, w)
	b.configure(q)
	if b.stopped {
		dropAll(q.waiters)
		q.waiters = nil
	} else {
		q.dropThoseWithoutBudget(now)
	}
	q.chooseFirst(now)
	return ahead, slices.Contains(q.waiters, w)
}

// dropThoseWithoutBudget keeps the requests for which there is probably budget in
// time, the most urgent first. A request has budget if all that keep their
// places and end no later than any given time have it until then, when they ask
// in the order of their deadlines. So one with a near deadline does not lose its
// place to more urgent ones that can use the budget of a later window.
func (q *budgetQueue) dropThoseWithoutBudget(now time.Duration) {
	byDeadline := make([]deadlineBudget, 0, len(q.waiters))
	var kept, dropped []*budgetWaiter
	for _, w := range q.waiters {
		at, _ := slices.BinarySearchFunc(byDeadline, w.until, func(d deadlineBudget, until time.Duration) int { return cmp.Compare(d.until, until) })
		byDeadline = slices.Insert(byDeadline, at, deadlineBudget{w.until, q.retriesUntil(w.until, now)})
		if w.until > now && haveBudget(byDeadline, at) {
			kept = append(kept, w)
			continue
		}
		byDeadline = slices.Delete(byDeadline, at, at+1)
		dropped = append(dropped, w)
	}
	q.waiters = kept
	dropAll(dropped)
}

// deadlineBudget is the latest start of a retry and the number of retries that
// the node can probably make until then.
type deadlineBudget struct {
	until   time.Duration
	retries float64
}

// haveBudget reports whether each of the requests from an index on, in the order
// of their deadlines, has budget after those before it.
func haveBudget(byDeadline []deadlineBudget, from int) bool {
	for i := from; i < len(byDeadline); i++ {
		if float64(i+1) > byDeadline[i].retries {
			return false
		}
	}
	return true
}

func dropAll(waiters []*budgetWaiter) {
	for _, w := range waiters {
		close(w.dropped)
	}
}

// stop drops all requests, since their connections are about to be closed, and
// those that come later.
func (b *budgetQueues) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for _, q := range b.byService {
		dropAll(q.waiters)
		q.waiters = nil
	}
}

// leave removes a request from the queue.
func (b *budgetQueues) leave(w *budgetWaiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(w.queue.waiters, w); i >= 0 {
		w.queue.waiters = slices.Delete(w.queue.waiters, i, i+1)
		w.queue.chooseFirst(b.now())
	}
}

// pass lets other requests go first for a time, since the hosts that admit
// retries do not take this one.
func (b *budgetQueues) pass(w *budgetWaiter, pause time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	w.passedUntil = now + pause
	w.queue.chooseFirst(now)
}

// turn returns a channel that is closed when the request is the first.
func (b *budgetQueues) turn(w *budgetWaiter) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.queue.chooseFirst(b.now())
	return w.turn
}

// poll returns how long the first request waits between its questions.
func (b *budgetQueues) poll(w *budgetWaiter) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configure(w.queue)
	allowance := w.queue.window.Allowance(b.now())
	if allowance <= 0 {
		return maxBudgetPoll
	}
	return min(max(seconds(budgetPollShare*budgetWindow.Seconds()/allowance), roundPause), maxBudgetPoll)
}

// keepsPlaceBefore reports whether the request keeps its place in the queue
// rather than another one, if there is not enough budget for both.
func (w *budgetWaiter) keepsPlaceBefore(x *budgetWaiter) bool {
	if w.nested != x.nested {
		return w.nested
	}
	return w.priority < x.priority
}

// before reports whether the request asks for budget before another one. Requests
// that can still be in time go first, the newest of them before others: when
// budget is short, the opposite order sends each when it is nearly too late.
// Those that are late follow in the order of their deadlines, whatever their
// priority: only those for which there is budget in this order keep their places.
func (w *budgetWaiter) before(x *budgetWaiter, now time.Duration) bool {
	inTime := now < w.inTime
	switch {
	case (now < w.passedUntil) != (now < x.passedUntil):
		return now < x.passedUntil
	case w.nested != x.nested:
		return w.nested
	case inTime != (now < x.inTime):
		return inTime
	case !inTime:
		return w.until < x.until
	case w.priority != x.priority:
		return w.priority < x.priority
	}
	return w.inTime > x.inTime
}

// chooseFirst gives the turn to the most urgent request.
func (q *budgetQueue) chooseFirst(now time.Duration) {
	var first *budgetWaiter
	for _, w := range q.waiters {
		if first == nil || w.before(first, now) {
			first = w
		}
	}
	if first == q.first {
		return
	}
	if q.first != nil {
		q.first.turn = make(chan struct{})
	}
	if q.first = first; first != nil {
		close(first.turn)
	}
}

// retriesUntil returns the number of retries that this node can probably make
// until a time: what the window will permit then, and the whole allowance again
// for each further window.
func (q *budgetQueue) retriesUntil(until, now time.Duration) float64 {
	windows := max(0, (until-now).Seconds()/budgetWindow.Seconds()-1)
	return q.window.RemainingAt(now, until) + windows*q.window.Allowance(now) - q.usedByOthers
}

// timeToBudget returns after what time this node probably has retry budget for one
// more request than those that wait for it, at most the length of a window.
func (b *budgetQueues) timeToBudget(service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	q, now := b.queue(service), b.now()
	b.configure(q)
	wait := time.Duration(0)
	for wait < budgetWindow && q.retriesUntil(now+wait, now) < float64(len(q.waiters)+1) {
		wait += budgetStep
	}
	return wait
}

// configure sets the part of the allowance that this node probably gets for late
// requests: by its requests, and equal parts of the slack.
func (b *budgetQueues) configure(q *budgetQueue) {
	p := b.policy()
	q.window.Configure(budgetShare*p.Ratio, budgetShare*p.Slack/float64(max(1, b.nodes())))
}

func (b *budgetQueues) queue(service string) *budgetQueue {
	q := b.byService[service]
	if q == nil {
		q = &budgetQueue{window: limits.NewRetryBudget(b.seed + uint64(len(b.byService)))}
		b.byService[service] = q
	}
	return q
}

const (
	metricBudgetWaits = "mesh_budget_waits_total."

	budgetWaitSent    = "sent"    // the request got a slot
	budgetWaitRefused = "refused" // no budget was expected in time
	budgetWaitDropped = "dropped" // more urgent requests came, or the node stops
	budgetWaitExpired = "expired" // its time was over, or the caller left
)

// mayAwaitBudget reports whether the request may wait for retry budget: it is no
// hedge, and its next attempt is a retry.
func (c *call) mayAwaitBudget() bool {
	return c.delivered > 0 && !c.hedge && c.left() > minSendTime
}

// awaitBudget waits until a host admits the retry of the request.
func (c *call) awaitBudget() (reservedTarget, bool) {
	queues := c.d.budgetQueues
	now, runTime := queues.now(), c.d.latencies.expected(c.route)
	w := &budgetWaiter{
		nested: c.q.fromRunProb > likelyNested, priority: c.q.priority(c.route),
		inTime: now + c.route.Objective - time.Since(c.start) - runTime,
		until:  now + c.left() - max(minSendTime, runTime),
	}
	ahead, ok := queues.enter(c.service, w)
	t, end := reservedTarget{}, budgetWaitRefused
	if ok {
		t, end = c.awaitTurn(w)
		queues.leave(w)
	}
	c.d.metrics.count(metricBudgetWaits + end)
	c.d.log.waitedForBudget(c.q.id, c.service, end, queues.now()-now, ahead, c.left())
	return t, end == budgetWaitSent
}

// awaitTurn asks hosts whenever the request is the first. It returns how the
// wait ended.
func (c *call) awaitTurn(w *budgetWaiter) (t reservedTarget, end string) {
	queues := c.d.budgetQueues
	limited, cancelLimit := c.d.shutdown.limit(c.ctx, c.runEstimate())
	defer cancelLimit()
	ctx, cancel := context.WithTimeout(limited, w.until-queues.now())
	defer cancel()
	for {
		select {
		case <-queues.turn(w):
		case <-w.dropped:
			return t, budgetWaitDropped
		case <-ctx.Done():
			return t, budgetWaitExpired
		}
		t, asked, ok := c.reserveWithBudget()
		if ok {
			return t, budgetWaitSent
		}
		pause := queues.poll(w)
		switch {
		case len(c.outOfBudget) > 0 || !c.d.view.AdmitsRetries(c.service):
			queues.recordNone(w)
		case asked == 0:
			queues.pass(w, pause)
		}
		sleep(ctx, pause)
	}
}

// reserveWithBudget asks hosts that state that they admit retries, also in other
// zones: the budget of a zone that gets more than its part is spent first. asked
// is the number of hosts that were asked.
func (c *call) reserveWithBudget() (t reservedTarget, asked int, ok bool) {
	c.outOfBudget = nil
	for _, cand := range c.rankedHosts(1) {
		if cand.LastResort || !cand.AdmitsRetry || cand.RecentlyRefused {
			continue
		}
		if asked == maxHostsPerRound || c.ctx.Err() != nil {
			break
		}
		asked++
		if t, _, ok := c.reserve(cand, c.reservationRequest(cand, 1)); ok {
			return t, asked, true
		}
	}
	return reservedTarget{}, asked, false
}
