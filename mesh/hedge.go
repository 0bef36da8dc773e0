package mesh

import (
	"context"
	"slices"
	"time"
)

// attempt is one sending of a request to a target and its outcome.
type attempt struct {
	number int
	target reservedTarget
	sent   bool // false if no target granted a reservation
	resp   *response
	err    error
}

// runHedged runs the request at a reserved target. If the request is idempotent
// and its response is overdue, it is also sent to a second target. The first
// good response wins and the other attempts are canceled, which closes their
// connections and so ends their runs at the targets.
func (c *call) runHedged(first reservedTarget) (*response, error) {
	if !c.q.idempotent || c.q.rest != nil {
		resp, err := c.send(c.ctx, first)
		c.recordAttempt(first, err)
		return resp, err
	}
	h := newHedger(c)
	h.addrs = append(h.addrs, first.addr)
	h.start(func(ctx context.Context) attempt {
		resp, err := c.send(ctx, first)
		return attempt{target: first, sent: true, resp: resp, err: err}
	})
	timer := time.NewTimer(h.hedgeDelay())
	defer timer.Stop()
	for {
		select {
		case a := <-h.results:
			if resp, err, done := h.handleEnd(a); done {
				return resp, err
			}
		case <-timer.C:
			h.hedge()
			timer.Reset(h.hedgeDelay())
		}
	}
}

// hedger holds the attempts of a call that are in flight.
type hedger struct {
	c           *call
	started     time.Time
	results     chan attempt
	cancels     []context.CancelFunc // indexed by attempt number
	inFlight    int
	hedging     bool     // a hedge is waiting for a reservation or running
	addrs       []string // hosts of the attempts that were started with a reservation
	lastFailure attempt  // latest attempt that ended without a good response
}

// hedgeShare is the fraction of the overdue time after which a second attempt
// is made. One in ten good responses takes longer.
const hedgeShare = 0.7

// A second attempt takes only a free slot until hedgeQueueFactor times the
// overdue time has passed. From then on it may queue for a slot, in up to
// hedgeQueueRounds rounds.
const (
	hedgeQueueFactor = 2
	hedgeQueueRounds = 4
)

func newHedger(c *call) *hedger {
	return &hedger{c: c, started: time.Now(), results: make(chan attempt)}
}

// hedgeDelay returns how long to wait for a response before another target is
// tried. Half of the remaining time is left for that attempt.
func (h *hedger) hedgeDelay() time.Duration {
	delay := time.Duration(hedgeShare * h.c.d.hedgeDelays.factor(h.c.service) * float64(h.c.d.latencies.overdue(h.c.route)))
	return max(minSendTime, min(delay, h.c.left()/2))
}

// start runs f as an attempt with its own context.
func (h *hedger) start(f func(ctx context.Context) attempt) {
	ctx, cancel := context.WithCancel(h.c.ctx)
	number := len(h.cancels)
	h.cancels = append(h.cancels, cancel)
	h.inFlight++
	go func() {
		a := f(ctx)
		a.number = number
		h.results <- a
	}()
}

// hedge looks for another target with a free slot and sends the request there
// if the retry budget allows it.
func (h *hedger) hedge() {
	c := h.c
	if h.hedging || len(c.tried)+h.inFlight >= c.route.Attempts || c.left() <= minSendTime || !c.mayEnd() {
		return
	}
	hedgeCall := *c
	hedgeCall.hedge = true
	if time.Since(h.started) >= hedgeQueueFactor*c.d.latencies.overdue(c.route) {
		hedgeCall.retryRounds = hedgeQueueRounds
	}
	hedgeCall.delivered += h.inFlight
	hedgeCall.tried = append(slices.Clone(c.tried), h.addrs...)
	hedgeCall.outOfBudget, hedgeCall.stopping = slices.Clone(c.outOfBudget), slices.Clone(c.stopping)
	h.hedging = true
	elapsed := time.Since(h.started)
	h.start(func(ctx context.Context) attempt {
		hedgeCall.ctx = ctx
		return hedgeCall.runHedge(elapsed)
	})
}

// runHedge runs the request at a further target.
func (c *call) runHedge(elapsed time.Duration) attempt {
	t, err := c.reserveTarget()
	if err != nil {
		return attempt{err: err}
	}
	if !c.mayEnd() {
		t.cancel()
		return attempt{err: errCannotEnd()}
	}
	c.d.log.hedged(c.q.id, t.addr, t.target, elapsed, c.left())
	resp, err := c.send(c.ctx, t)
	return attempt{target: t, sent: true, resp: resp, err: err}
}

// handleEnd records the end of an attempt. done is set if the call has ended:
// with a good response, or because no other attempt is in flight.
func (h *hedger) handleEnd(a attempt) (resp *response, err error, done bool) {
	h.inFlight--
	h.hedging = h.hedging && a.number == 0
	if a.sent {
		h.c.recordAttempt(a.target, a.err)
	}
	if a.sent && a.err == nil && !h.c.shouldRetry(a.resp) {
		if len(h.cancels) > 1 {
			h.c.d.hedgeDelays.record(h.c.service, a.number > 0)
		}
		h.lastFailure.close()
		h.cancelOthers(a.number)
		return a.resp, nil, true
	}
	if a.sent || !h.lastFailure.sent {
		h.lastFailure.close()
		h.lastFailure = a
	}
	return h.lastFailure.resp, h.lastFailure.err, h.inFlight == 0
}

// cancelOthers cancels the other attempts and discards their results. The
// context of the winner lasts as long as the call, since its response may be
// streamed.
func (h *hedger) cancelOthers(winner int) {
	for i, cancel := range h.cancels {
		if i != winner {
			cancel()
		}
	}
	if h.inFlight == 0 {
		return
	}
	go func(remaining int) {
		for range remaining {
			a := <-h.results
			a.close()
		}
	}(h.inFlight)
}

// close discards the response of an attempt.
func (a *attempt) close() {
	if a.resp != nil {
		a.resp.close()
	}
}
