package mesh

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/config/dynamic"
	"hyssopbridge/placement"
	"hyssopbridge/resultcode"
)

const (
	// asksPerRound bounds the host nodes that a request asks before it looks
	// at their status anew.
	asksPerRound = 4
	// lastResortAsks bounds the gray targets that a request asks before it is
	// refused.
	lastResortAsks = 2
	// queueWait is the longest wait for a slot at one host node before the
	// request looks for another.
	queueWait = 200 * time.Millisecond
	// roundPause separates rounds in which every host node refused.
	roundPause = 20 * time.Millisecond
	// minRunTime is the least time that must be left for a request to be sent.
	minRunTime = 60 * time.Millisecond
	// holdPart is the part of a route's objective for which a request waits for
	// a target. Under overload, a longer wait only makes more answers late.
	holdPart = 0.3
	// untestedAfter is the part of a route's objective after which work that must
	// not repeat goes to a target that has not answered yet. By then idempotent
	// work has tested most targets.
	untestedAfter = 0.2
	// forceAfter is the part of a route's objective after which a request is
	// sent to a gray target rather than not at all.
	forceAfter = 0.2
)

// placer finds a target for each request and repeats what may be repeated.
type placer struct {
	self    string
	zone    string
	view    *placement.View
	host    *host
	remote  *remote
	budgets *budgets
	times   *runTimes
	log     *journal
	metrics *metrics
}

// call is one request on its way to a target.
type call struct {
	p        *placer
	ctx      context.Context
	q        *request
	route    *dynamic.Route
	service  string
	start    time.Time
	tried    []string // hosts whose target ran the request
	arrivals int      // targets that got the request, whether they ran it or not
	fallback *answer  // failure of a target that is passed on if no other target does better
}

// placed is a reserved slot.
type placed struct {
	slot
	addr   string
	target string
}

// serve returns the answer of a target. The error is a *resultcode.Error.
func (p *placer) serve(ctx context.Context, q *request, route *dynamic.Route, service string, start time.Time) (*answer, error) {
	c := &call{p: p, ctx: ctx, q: q, route: route, service: service, start: start}
	p.budgets.request(service)
	if q.idempotent {
		p.metrics.count("DEBUG.idem")
		if !p.budgets.hasRoom(service, c.expectedCalls()) {
			p.metrics.count("DEBUG.careful")
			p.log.log.Info("DEBUG careful")
		}
	}
	var last *resultcode.Error
	for {
		s, err := c.place()
		if err != nil {
			return c.giveUp(last, err)
		}
		if c.arrivals > 0 && !p.budgets.allow(service, c.expectedCalls()) {
			s.cancel()
			return c.giveUp(last, notRun(resultcode.RetryBudgetSpent, "retry budget of service %s is spent", service))
		}
		a, err := c.run(s)
		if err == nil && !c.wantsAnother(a) {
			c.keepFallback(nil)
			return a, nil
		}
		if err == nil {
			c.keepFallback(a)
			last = nil
			continue
		}
		last = asResult(err)
		if !c.mayRepeat(last) {
			return c.giveUp(last, last)
		}
	}
}

// giveUp ends a request for which no further target was found. Proof that the
// newest attempt was not run says nothing about earlier ones.
func (c *call) giveUp(last *resultcode.Error, placing error) (*answer, error) {
	if c.arrivals > 0 && placing != error(last) {
		c.p.log.notSentAgain(c.q.id, c.service, asResult(placing), len(c.tried), c.left())
	}
	if c.fallback != nil {
		return c.fallback, nil
	}
	if last == nil || len(c.tried) == 0 {
		return nil, placing
	}
	res := *last
	if res.Ran == resultcode.RanNo {
		res.Ran = resultcode.RanUnknown
	}
	return nil, &res
}

func (c *call) keepFallback(a *answer) {
	if c.fallback != nil {
		c.fallback.close()
	}
	c.fallback = a
}

// wantsAnother reports whether a failure that a target answered should be
// tried at another target.
func (c *call) wantsAnother(a *answer) bool {
	return a.status >= http.StatusInternalServerError && c.q.idempotent && c.canSendAgain()
}

// mayRepeat reports whether a failed request may go to another target.
func (c *call) mayRepeat(e *resultcode.Error) bool {
	if c.ctx.Err() != nil {
		return false
	}
	if e.Ran == resultcode.RanNo {
		return c.q.rest == nil && c.left() > minRunTime
	}
	return c.q.idempotent && c.canSendAgain()
}

func (c *call) canSendAgain() bool {
	return c.q.rest == nil && len(c.tried) < c.route.Attempts && c.left() > minRunTime
}

// expectedCalls returns how many requests another run of this one makes.
func (c *call) expectedCalls() float64 {
	if !c.q.idempotent {
		return 0 // the first run of work that must not repeat
	}
	return c.p.view.Calls(c.service) * c.p.times.mean(c.route.Name).Seconds()
}

// held returns how long the request has been here, in parts of the objective.
func (c *call) held() float64 {
	return float64(time.Since(c.start)) / float64(c.route.Objective)
}

func (c *call) left() time.Duration { return time.Until(c.q.deadline) }

func (c *call) run(s placed) (*answer, error) {
	c.p.view.Begin(s.addr)
	start := time.Now()
	a, err := s.run(c.ctx, c.q)
	c.p.view.End(s.addr)
	if err == nil {
		c.p.times.observe(c.route.Name, time.Since(start))
		c.arrivals++
		c.tried = append(c.tried, s.addr)
		c.p.view.PathWorked(s.addr)
		return a, nil
	}
	res := asResult(err)
	if res.Ran != resultcode.RanNo {
		c.arrivals++
		c.tried = append(c.tried, s.addr)
	}
	switch res.Code {
	case resultcode.ShedByTarget:
		c.arrivals++
		c.p.view.Refused(s.addr)
	case resultcode.NoTarget:
		c.p.view.Refused(s.addr)
	case resultcode.PeerUnreachable, resultcode.PeerLost:
		c.p.view.PathFailed(s.addr)
	}
	c.p.log.attemptFailed(c.q.id, s.addr, s.target, res, len(c.tried), c.left())
	return nil, res
}

// place reserves a slot. The error proves that no target got the request since
// the last attempt.
func (c *call) place() (placed, error) {
	for round := 0; ; round++ {
		s, why, ok := c.ask(round)
		if ok {
			return s, nil
		}
		if err := c.ctx.Err(); err != nil {
			return placed{}, c.ended()
		}
		if c.left() <= minRunTime || c.held() > holdPart {
			if s, ok := c.lastResort(); ok {
				return s, nil
			}
			return placed{}, notRun(resultcode.QueueFull, "no target took the request in time: %s", why)
		}
		if c.fallback != nil && round >= 2 {
			return placed{}, notRun(resultcode.QueueFull, "no second target: %s", why)
		}
		if round > 1 {
			c.pause()
		}
	}
}

func (c *call) ended() error {
	if errors.Is(context.Cause(c.ctx), context.DeadlineExceeded) {
		return notRun(resultcode.DeadlineTooShort, "deadline passed before a target took the request")
	}
	return notRun(resultcode.CallerGone, "caller left before a target took the request")
}

func (c *call) pause() {
	timer := time.NewTimer(roundPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// ask goes through the host nodes once. The first round asks for targets with a
// recent success, the second for any that is not gray, and later ones wait for
// a slot at one host.
func (c *call) ask(round int) (placed, admission.Reason, bool) {
	why := admission.IsBusy
	asks := 0
	for _, cand := range c.candidates(round) {
		if asks == asksPerRound || c.ctx.Err() != nil {
			break
		}
		asks++
		var s placed
		var ok bool
		if s, why, ok = c.reserve(cand, c.reservation(cand, round)); ok {
			return s, admission.None, true
		}
	}
	return placed{}, why, false
}

// lastResort asks gray targets before a request is refused for want of room.
// A request that may be repeated loses nothing there, its success may be what
// the target lacks to return, and its first arrival needs no retry budget.
func (c *call) lastResort() (placed, bool) {
	if c.arrivals > 0 || c.left() <= minRunTime {
		return placed{}, false
	}
	asks := 0
	for _, cand := range c.order() {
		if !cand.Last || cand.Far {
			continue
		}
		if asks == lastResortAsks || c.ctx.Err() != nil {
			break
		}
		asks++
		if s, _, ok := c.reserve(cand, c.reservation(cand, 0)); ok {
			return s, true
		}
	}
	return placed{}, false
}

// order returns all host nodes of the service, best first.
func (c *call) order() []placement.Candidate {
	return c.p.view.Order(placement.Work{
		Service: c.service, Idempotent: c.q.idempotent, Careful: c.mustBeCareful(),
		Download: c.route.Download, Tried: c.tried,
	})
}

// candidates returns the host nodes to ask in a round.
func (c *call) candidates(round int) []placement.Candidate {
	all := c.order()
	if len(all) > 0 && all[0].Last {
		// Gray targets are the last resort where no other is left.
		if !c.mayForce() {
			return nil
		}
		return all[:1]
	}
	if round > 1 {
		return toQueueAt(all)
	}
	out := all[:0]
	for _, cand := range all {
		if !cand.Held && !cand.Last {
			out = append(out, cand)
		}
	}
	return out
}

// toQueueAt returns the host at which to wait for a slot, preferably in the own
// availability zone, and any other host that did not refuse a moment ago.
func toQueueAt(all []placement.Candidate) []placement.Candidate {
	var free, queue []placement.Candidate
	for _, cand := range all {
		switch {
		case cand.Last:
		case !cand.Held:
			free = append(free, cand)
		case len(queue) == 0 || (queue[0].Far && !cand.Far):
			queue = []placement.Candidate{cand}
		}
	}
	return append(free, queue...)
}

func (c *call) reservation(cand placement.Candidate, round int) admission.Request {
	r := admission.Request{
		Target: cand.Target, Service: c.service, Zone: c.p.zone, Priority: c.route.Priority,
		Idempotent: c.q.idempotent, Careful: c.mustBeCareful(), Unproven: round > 0, Forced: cand.Last,
		Untested: c.held() > untestedAfter,
	}
	if round > 1 && cand.Held {
		r.MaxWait = min(queueWait, c.left()/2)
	}
	return r
}

// mustBeCareful reports whether the request could not be sent again if it met a
// gray target, so it must not serve as a trial.
func (c *call) mustBeCareful() bool {
	return c.arrivals > 0 || c.route.Attempts < 2 || !c.p.budgets.hasRoom(c.service, c.expectedCalls())
}

// mayForce reports whether the request has looked for a good target long enough.
func (c *call) mayForce() bool {
	return c.held() > forceAfter && c.fallback == nil
}

func (c *call) reserve(cand placement.Candidate, req admission.Request) (placed, admission.Reason, bool) {
	if cand.Addr == c.p.self {
		t, why := c.p.host.reserve(c.ctx, req)
		if t == nil {
			c.p.view.Refused(cand.Addr)
			return placed{}, why, false
		}
		return placed{&localSlot{c.p.host, t, req}, cand.Addr, cand.Target}, admission.None, true
	}
	s, err := c.p.remote.reserve(c.ctx, cand.Addr, req)
	var refused refusal
	switch {
	case err == nil:
		c.p.view.PathWorked(cand.Addr)
		return placed{s, cand.Addr, cand.Target}, admission.None, true
	case errors.As(err, &refused):
		c.p.view.PathWorked(cand.Addr)
		c.p.view.Refused(cand.Addr)
		return placed{}, refused.why, false
	case c.ctx.Err() != nil:
		return placed{}, admission.CallerLeft, false
	}
	c.p.view.PathFailed(cand.Addr)
	c.p.log.pathFailed(c.q.id, cand.Addr, err)
	return placed{}, admission.NoTarget, false
}
