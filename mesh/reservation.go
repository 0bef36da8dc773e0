package mesh

import (
	"context"
	"errors"
	"slices"
	"time"

	"hyssopbridge/admission"
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
	// repeatRounds is how often a request that was at a target asks host nodes
	// for another one: for a target with a recent success, then for any.
	repeatRounds = 2
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
	// callHoldPart is the part of its whole time for which a call of a target
	// waits, if that is longer: without an answer the run that made it is lost.
	callHoldPart = 0.5
	// probably is the chance from which a request is taken for a call of a target.
	probably = 0.5
	// untestedAfter is the part of a route's objective after which work that must
	// not repeat goes to a target that has not answered yet. By then idempotent
	// work has tested most targets.
	untestedAfter = 0.2
	// forceAfter is the part of a route's objective after which a request is
	// sent to a gray target rather than not at all.
	forceAfter = 0.2
)

// place reserves a slot. The error proves that no target got the request since
// the last attempt. A request that was at a target for long still gets c.rounds rounds.
func (c *call) place() (placed, error) {
	for round := 0; ; round++ {
		s, why, ok := c.ask(round)
		if ok {
			return s, nil
		}
		if err := c.ctx.Err(); err != nil {
			return placed{}, c.ended()
		}
		if c.left() <= minRunTime || (c.hasWaited() && (c.arrivals == 0 || round+1 >= c.rounds)) {
			if s, ok := c.lastResort(); ok {
				return s, nil
			}
			return placed{}, notTaken("no target took the request in time", why)
		}
		if why == admission.NoBudget && round+1 >= c.rounds {
			return placed{}, notTaken("no further target", why)
		}
		if (c.fallback != nil || c.hedge) && round >= c.rounds {
			return placed{}, notTaken("no second target", why)
		}
		if round > 1 {
			c.pause()
		}
	}
}

func notTaken(what string, why admission.Reason) *resultcode.Error {
	if why == admission.NoBudget {
		return notRun(resultcode.RetryBudgetSpent, "%s: %s", what, why)
	}
	return notRun(resultcode.QueueFull, "%s: %s", what, why)
}

// hasWaited reports whether the request has waited for a target as long as it may.
func (c *call) hasWaited() bool {
	waited := time.Since(c.start)
	limit := time.Duration(holdPart * float64(c.route.Objective))
	if c.q.callOfRun > probably {
		limit = max(limit, time.Duration(callHoldPart*float64(waited+c.left())))
	}
	return waited > limit
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
	why := admission.TargetBusy
	if len(c.spent) > 0 {
		why = admission.NoBudget
	}
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
		if !cand.LastResort || cand.OtherZone {
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
	return c.p.view.Rank(placement.Request{
		Service: c.service, Idempotent: c.q.idempotent, NoRetry: c.mustBeCareful(),
		Download: c.route.Download, Tried: append(slices.Clone(c.tried), c.spent...),
	})
}

// candidates returns the host nodes to ask in a round.
func (c *call) candidates(round int) []placement.Candidate {
	all := c.order()
	if len(all) > 0 && all[0].LastResort {
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
		if !cand.RecentlyRefused && !cand.LastResort {
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
		case cand.LastResort:
		case !cand.RecentlyRefused:
			free = append(free, cand)
		case len(queue) == 0 || (queue[0].OtherZone && !cand.OtherZone):
			queue = []placement.Candidate{cand}
		}
	}
	return append(free, queue...)
}

func (c *call) reservation(cand placement.Candidate, round int) admission.Request {
	r := admission.Request{
		Target: cand.Target, Service: c.service, Zone: c.p.zone, Priority: c.route.Priority,
		Idempotent: c.q.idempotent, NoRetry: c.mustBeCareful(), MaxRisk: c.maxRisk(round), LastResort: cand.LastResort,
		Retry: c.arrivals > 0, CalledByRetry: c.q.callOfRepeat,
		AllowUntested: c.held() > untestedAfter, OverdueAfter: c.p.times.overdue(c.route),
	}
	if round > 1 && cand.RecentlyRefused {
		r.MaxWait = min(queueWait, c.left()/2)
	}
	return r
}

// maxRisk returns the chance of failure that the request accepts in a round.
func (c *call) maxRisk(round int) float64 {
	limits := orderRisks
	if c.q.idempotent {
		limits = repeatRisks
	}
	return limits[min(round, len(limits)-1)]
}

// orderRisks are the chances of failure, by round, that work which must not
// repeat accepts. repeatRisks are those of a repeat, which has a failure behind it.
var (
	orderRisks  = []float64{0.08, 0.2, 0.35}
	repeatRisks = []float64{0.3, 0.5}
)

// mustBeCareful reports whether the request could not be sent again if it met a
// gray target, so it must not serve as a trial.
func (c *call) mustBeCareful() bool {
	return c.arrivals > 0 || c.route.Attempts < 2 || !c.p.view.AdmitsRetries(c.service)
}

// mayForce reports whether the request has looked for a good target long enough.
func (c *call) mayForce() bool {
	return c.held() > forceAfter && c.fallback == nil
}

func (c *call) reserve(cand placement.Candidate, req admission.Request) (placed, admission.Reason, bool) {
	if cand.Addr == c.p.self {
		t, why := c.p.host.reserve(c.ctx, req)
		if t == nil {
			c.refused(cand.Addr, why)
			return placed{}, why, false
		}
		return placed{&localSlot{c.p.host, t, req}, cand.Addr, cand.Target}, admission.None, true
	}
	s, err := c.p.remote.reserve(c.ctx, cand.Addr, req)
	var refused refusal
	switch {
	case err == nil:
		c.p.view.PathSucceeded(cand.Addr)
		return placed{s, cand.Addr, cand.Target}, admission.None, true
	case errors.As(err, &refused):
		c.p.view.PathSucceeded(cand.Addr)
		c.refused(cand.Addr, refused.why)
		return placed{}, refused.why, false
	case c.ctx.Err() != nil:
		return placed{}, admission.CallerLeft, false
	}
	c.p.view.PathFailed(cand.Addr)
	c.p.log.pathFailed(c.q.id, cand.Addr, err)
	return placed{}, admission.NoTarget, false
}

// refused records a refusal. One for want of budget says nothing about requests
// that are no repeats.
func (c *call) refused(addr string, why admission.Reason) {
	if why == admission.NoBudget {
		c.spent = append(c.spent, addr)
		return
	}
	c.p.view.Refused(addr)
}
