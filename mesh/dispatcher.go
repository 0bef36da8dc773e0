package mesh

import (
	"context"
	"net/http"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/config/dynamic"
	"hyssopbridge/placement"
	"hyssopbridge/resultcode"
)

// dispatcher finds a target for each request and retries where that is safe.
type dispatcher struct {
	localAddr    string
	zone         string
	view         *placement.View
	local        *hostNode
	remote       reserver
	latencies    *latencies
	runTimes     runTimes
	hedgeDelays  *hedgeDelays
	budgetQueues *budgetQueues
	log          *eventLog
	metrics      *metrics
	// slotReturns and budgetReturns are when callers come back that were refused
	// for lack of a target with room and for lack of retry budget.
	slotReturns, budgetReturns returnTimes
	acceptance                 acceptance
	searches                   searches

	stopping context.Context // ends when requests may no longer wait for a target; nil for never
	shutdown *shutdown       // nil for never
}

// stopWaiting returns the context that ends when requests may no longer wait.
func (d *dispatcher) stopWaiting() context.Context {
	if d.stopping == nil {
		return context.Background()
	}
	return d.stopping
}

func (d *dispatcher) stopped() bool { return d.stopWaiting().Err() != nil }

// reserver reserves slots at other nodes. The error is a refusal if the host
// node refused the reservation.
type reserver interface {
	reserve(ctx context.Context, addr string, r admission.Request) (reservation, error)
}

// maxMemoryRefusals is how many host nodes may refuse a request for lack of
// memory until it is given up, since its body is sent to each of them.
const maxMemoryRefusals = 3

// call is one request being dispatched to a target.
type call struct {
	d           *dispatcher
	ctx         context.Context
	q           *request
	route       *dynamic.Route
	service     string
	start       time.Time
	tried       []string  // hosts whose target may have run the request
	refusedBy   []string  // hosts whose target refused the request
	outOfBudget []string  // hosts that admit no retry
	stopping    []string  // hosts that stop before the request would end
	delivered   int       // targets that got the request, whether they ran it or not
	fallback    *response // error response of a target, returned if no other target succeeds
	hedge       bool      // another attempt is in flight
	retryRounds int       // rounds in which a retry asks host nodes

	memoryRefusals int  // attempts that were refused for lack of memory
	lostPlace      bool // the host in whose queue the request waited failed or stops, so it looks for another one
	unanswered     bool // a host node did not answer a reservation in time in this round, and may be busy
	noRoom         bool // the hosts with the shortest queues have no room in time

	otherZoneAsks int // host nodes of other zones that were asked for a slot
}

// reservedTarget is a reservation together with the host and target it is for.
type reservedTarget struct {
	reservation
	addr   string
	target string
}

// serve returns the response of a target. The error is a *resultcode.Error.
func (d *dispatcher) serve(ctx context.Context, q *request, route *dynamic.Route, service string, start time.Time) (*response, error) {
	d.budgetQueues.recordRequest(service)
	c := &call{d: d, ctx: ctx, q: q, route: route, service: service, start: start, retryRounds: defaultRetryRounds}
	var last *resultcode.Error
	for {
		t, err := c.reserveTarget()
		if err != nil {
			return c.fail(last, err)
		}
		if !c.mayEnd() {
			t.cancel()
			return c.fail(last, errCannotEnd())
		}
		if err := c.authorize(); err != nil {
			t.cancel()
			return c.fail(last, err)
		}
		resp, err := c.runHedged(t)
		if err == nil && !c.shouldRetry(resp) {
			c.setFallback(nil)
			return resp, nil
		}
		if err == nil {
			c.setFallback(resp)
			last = nil
			continue
		}
		last = asResultError(err)
		if !c.mayRetry(last) {
			return c.fail(last, last)
		}
	}
}

// authorize checks the request's key again before the request is sent to a target
// as long as it has provably not run, since it may have waited for a slot.
func (c *call) authorize() error {
	if len(c.tried) > 0 || c.q.authorize == nil {
		return nil
	}
	if err := c.q.authorize(); err != nil {
		return err
	}
	return nil
}

// fail ends a request for which no further target was found. Proof that the
// latest attempt was not run says nothing about earlier attempts.
func (c *call) fail(last *resultcode.Error, reserveErr error) (*response, error) {
	if c.delivered > 0 && reserveErr != error(last) {
		c.d.log.notRetried(c.q.id, c.service, asResultError(reserveErr), len(c.tried), c.left())
	}
	if c.fallback != nil {
		return c.fallback, nil
	}
	if last == nil || len(c.tried) == 0 {
		return nil, reserveErr
	}
	result := *last
	if result.Ran == resultcode.RanNo {
		result.Ran = resultcode.RanUnknown
	}
	return nil, &result
}

func (c *call) setFallback(resp *response) {
	if c.fallback != nil {
		c.fallback.close()
	}
	c.fallback = resp
}

// shouldRetry reports whether an error response of a target should be retried
// at another target.
func (c *call) shouldRetry(resp *response) bool {
	return resp.status >= http.StatusInternalServerError && c.q.idempotent && c.canRetry()
}

// mayRetry reports whether a failed request may go to another target.
func (c *call) mayRetry(e *resultcode.Error) bool {
	if c.ctx.Err() != nil || c.memoryRefusals >= maxMemoryRefusals {
		return false
	}
	if e.Ran == resultcode.RanNo {
		return c.q.rest == nil && c.left() > minSendTime
	}
	return c.q.idempotent && c.canRetry()
}

func (c *call) canRetry() bool {
	return c.q.rest == nil && len(c.tried) < c.route.Attempts && c.left() > minSendTime && c.mayEnd()
}

// elapsedShare returns the time since the request arrived as a fraction of the
// route's objective.
func (c *call) elapsedShare() float64 {
	return float64(time.Since(c.start)) / float64(c.route.Objective)
}

func (c *call) left() time.Duration { return c.q.deadline.left() }

// send runs the request at a target. It does not modify the call, so several
// attempts may be in flight.
func (c *call) send(ctx context.Context, t reservedTarget) (*response, error) {
	c.d.view.Begin(t.addr)
	defer c.d.view.End(t.addr)
	start := time.Now()
	resp, err := t.run(ctx, c.q)
	c.d.acceptance.record(c.service, err)
	if err == nil && resp.status < http.StatusInternalServerError {
		c.d.latencies.observe(c.route, time.Since(start))
		c.observeRunTime(resp, start)
	}
	return resp, err
}

// recordAttempt records how an attempt ended.
func (c *call) recordAttempt(t reservedTarget, err error) {
	if err == nil {
		c.delivered++
		c.tried = append(c.tried, t.addr)
		c.d.view.PathSucceeded(t.addr)
		return
	}
	resultErr := asResultError(err)
	if resultErr.Ran != resultcode.RanNo {
		c.delivered++
		c.tried = append(c.tried, t.addr)
	}
	switch resultErr.Code {
	case resultcode.ShedByTarget:
		c.delivered++
		c.refusedBy = append(c.refusedBy, t.addr)
		c.d.view.Refused(t.addr)
	case resultcode.MemoryLimit:
		c.memoryRefusals++
		c.d.view.Refused(t.addr)
	case resultcode.NoTarget:
		c.d.view.TargetAbsent(t.addr)
	case resultcode.PeerUnreachable, resultcode.PeerLost:
		c.d.view.PathFailed(t.addr)
	}
	c.d.log.attemptFailed(c.q.id, t, resultErr, len(c.tried), c.left())
}
