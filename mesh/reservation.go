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
	// maxHostsPerRound bounds the host nodes that a request asks before it
	// looks at their status again.
	maxHostsPerRound = 4
	// maxLastResortHosts bounds the ejected targets that a request tries before
	// it is refused.
	maxLastResortHosts = 2
	// defaultRetryRounds is the number of rounds in which a retry asks host
	// nodes: first for a target with a recent success, then for any.
	defaultRetryRounds = 2
	// maxOtherZoneAsks bounds the host nodes of other zones that a request asks
	// while its own zone serves the service.
	maxOtherZoneAsks = 10
	// minQueueWait is the shortest wait in the queue of a host node. A request
	// that has waited long enough before a retry still gets this chance.
	minQueueWait = 100 * time.Millisecond
	// roundPause is the pause between rounds in which every host node refused.
	roundPause = 20 * time.Millisecond
	// minSendTime is the least time that must be left for a request to be sent.
	minSendTime = 60 * time.Millisecond
	// A request waits for a target as long as runsLeftAfterWait mean run times
	// are left until its objective, so that most responses are in time, but
	// within minWaitShare and maxWaitShare of the objective.
	runsLeftAfterWait = 2
	minWaitShare      = 0.3
	maxWaitShare      = 0.6
	// nestedMaxWaitShare is the fraction of its total time for which a nested
	// call of a target waits, if that is longer: without a response the run
	// that made the call is lost.
	nestedMaxWaitShare = 0.5
	// likelyNested is the probability above which a request is treated as a
	// nested call of a target.
	likelyNested = 0.5
	// untestedAfterShare is the fraction of a route's objective after which a
	// non-idempotent request may go to a target that has not yet responded to
	// any request. By then idempotent requests have tested most targets.
	untestedAfterShare = 0.2
	// ejectedAfterShare is the fraction of a route's objective after which a
	// request may be sent to an ejected target rather than be refused.
	ejectedAfterShare = 0.2
)

// reserveTarget reserves a slot. The error proves that no target got the
// request since the last attempt. A request whose attempt took long still gets
// c.retryRounds rounds.
func (c *call) reserveTarget() (reservedTarget, error) {
	if c.mayAwaitBudget() && !c.isUrgentRetry() && c.d.budgetQueues.waiting(c.service) {
		return c.awaitedTarget()
	}
	for round := 0; ; round++ {
		t, reason, ok := c.tryRound(round)
		if ok {
			return t, nil
		}
		if err := c.ctx.Err(); err != nil {
			return reservedTarget{}, c.endedError()
		}
		if reason == admission.NoBudget && round+1 >= c.retryRounds && c.mayAwaitBudget() {
			return c.awaitedTarget()
		}
		if c.left() <= minSendTime || (c.hasWaited() && (c.delivered == 0 || round+1 >= c.retryRounds)) {
			if t, ok := c.reserveEjected(); ok {
				return t, nil
			}
			return reservedTarget{}, noTargetError("no target took the request in time", reason)
		}
		if reason == admission.NoBudget && round+1 >= c.retryRounds {
			return reservedTarget{}, noTargetError("no further target", reason)
		}
		if (c.fallback != nil || c.hedge) && round >= c.retryRounds {
			return reservedTarget{}, noTargetError("no second target", reason)
		}
		if round > 1 {
			c.pause()
		}
	}
}

// awaitedTarget reserves a slot for a retry when there is budget for it.
func (c *call) awaitedTarget() (reservedTarget, error) {
	if t, ok := c.awaitBudget(); ok {
		return t, nil
	}
	if c.ctx.Err() != nil {
		return reservedTarget{}, c.endedError()
	}
	return reservedTarget{}, noTargetError("no retry budget in time", admission.NoBudget)
}

func noTargetError(what string, reason admission.Reason) *resultcode.Error {
	if reason == admission.NoBudget {
		return notRun(resultcode.RetryBudgetSpent, "%s: %s", what, reason)
	}
	return notRun(resultcode.QueueFull, "%s: %s", what, reason)
}

// hasWaited reports whether the request has waited for a target as long as it
// may.
func (c *call) hasWaited() bool { return c.waitLeft() < 0 }

// waitLeft returns for how long the request may still wait for a target.
func (c *call) waitLeft() time.Duration {
	waited := time.Since(c.start)
	limit := targetWait(c.route.Objective, c.d.latencies.expected(c.route))
	if c.q.fromRunProb > likelyNested {
		limit = max(limit, time.Duration(nestedMaxWaitShare*float64(waited+c.left())))
	}
	return limit - waited
}

// targetWait returns for how long a request waits for a target if it is to end
// within its objective and runs for runTime on average.
func targetWait(objective, runTime time.Duration) time.Duration {
	least := time.Duration(minWaitShare * float64(objective))
	most := time.Duration(maxWaitShare * float64(objective))
	return min(max(objective-runsLeftAfterWait*runTime, least), most)
}

// isUrgentRetry reports whether the next attempt is a retry of a request that
// provably has not run and can still be in time.
func (c *call) isUrgentRetry() bool {
	return c.delivered > 0 && len(c.tried) == 0 && time.Since(c.start)+c.d.latencies.expected(c.route) < c.route.Objective
}

func (c *call) endedError() error {
	if errors.Is(context.Cause(c.ctx), context.DeadlineExceeded) {
		return notRun(resultcode.DeadlineTooShort, "deadline passed before a target accepted the request")
	}
	return notRun(resultcode.CallerGone, "caller disconnected before a target accepted the request")
}

func (c *call) pause() {
	timer := time.NewTimer(roundPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.ctx.Done():
	}
}

// tryRound asks the host nodes once. The first round asks for targets with a
// recent success, the second for any that is not ejected, and later rounds wait
// for a slot at one host.
func (c *call) tryRound(round int) (reservedTarget, admission.Reason, bool) {
	reason := admission.TargetBusy
	if len(c.outOfBudget) > 0 {
		reason = admission.NoBudget
	}
	asked := 0
	for _, cand := range c.candidates(round) {
		if asked == maxHostsPerRound || c.ctx.Err() != nil {
			break
		}
		if cand.OtherZone && !c.mayAskOtherZone() {
			continue
		}
		asked++
		var t reservedTarget
		var ok bool
		if t, reason, ok = c.reserve(cand, c.reservationRequest(cand, round)); ok {
			return t, admission.None, true
		}
	}
	return reservedTarget{}, reason, false
}

// mayAskOtherZone reports whether the request may ask one more host of another
// zone, and counts it. A request that few of them accept waits in its own zone:
// asking all of them again and again costs more traffic between zones than the
// requests themselves.
func (c *call) mayAskOtherZone() bool {
	if c.otherZoneAsks >= maxOtherZoneAsks && c.d.view.ServedInZone(c.service) {
		return false
	}
	c.otherZoneAsks++
	return true
}

// reserveEjected tries ejected targets before a request is refused for lack of
// capacity. An idempotent request would be refused otherwise, its success may
// end the ejection, and its first attempt needs no retry budget.
func (c *call) reserveEjected() (reservedTarget, bool) {
	if c.delivered > 0 || c.left() <= minSendTime {
		return reservedTarget{}, false
	}
	asked := 0
	for _, cand := range c.rankedHosts(0) {
		if !cand.LastResort || cand.OtherZone {
			continue
		}
		if asked == maxLastResortHosts || c.ctx.Err() != nil {
			break
		}
		asked++
		if t, _, ok := c.reserve(cand, c.reservationRequest(cand, 0)); ok {
			return t, true
		}
	}
	return reservedTarget{}, false
}

// rankedHosts returns all host nodes of the service, best first for a round.
func (c *call) rankedHosts(round int) []placement.Candidate {
	return c.d.view.Rank(placement.Request{
		Service: c.service, Idempotent: c.q.idempotent, NoRetry: c.lacksRetry(), Retry: c.delivered > 0, Urgent: c.isUrgentRetry(), MaxRisk: c.maxRisk(round),
		Download: c.route.Download, Tried: append(slices.Clone(c.tried), c.outOfBudget...),
	})
}

// candidates returns the host nodes to ask in a round.
func (c *call) candidates(round int) []placement.Candidate {
	all := c.rankedHosts(round)
	if len(all) > 0 && all[0].LastResort {
		// Ejected targets are the last resort when no other target is left.
		if !c.mayUseEjected() {
			return nil
		}
		return all[:1]
	}
	if round > 1 {
		return queueCandidates(all)
	}
	out := all[:0]
	for _, cand := range all {
		if !cand.RecentlyRefused && !cand.LastResort {
			out = append(out, cand)
		}
	}
	return out
}

// queueCandidates returns the hosts that have not refused recently and, last,
// the best of the others, at which to wait for a slot. Its availability zone
// counts in the ranking only: a zone with few targets must not make its callers
// wait while targets of other zones have shorter queues.
func queueCandidates(all []placement.Candidate) []placement.Candidate {
	var free, queue []placement.Candidate
	for _, cand := range all {
		switch {
		case cand.LastResort:
		case !cand.RecentlyRefused:
			free = append(free, cand)
		case len(queue) == 0:
			queue = []placement.Candidate{cand}
		}
	}
	return append(free, queue...)
}

func (c *call) reservationRequest(cand placement.Candidate, round int) admission.Request {
	r := admission.Request{
		Target: cand.Target, Service: c.service, Zone: c.d.zone, Customer: c.q.customerName(), Priority: c.q.priority(c.route),
		Idempotent: c.q.idempotent, NoRetry: c.lacksRetry(), MaxRisk: c.maxRisk(round), LastResort: cand.LastResort,
		Retry: c.delivered > 0, Urgent: c.isUrgentRetry(), CalledByRetry: c.q.fromRetryProb,
		AllowUntested: c.elapsedShare() > untestedAfterShare, OverdueAfter: c.d.latencies.overdue(c.route),
	}
	if round > 1 && cand.RecentlyRefused {
		r.MaxWait = min(max(c.waitLeft(), minQueueWait), c.left()/2)
	}
	return r
}

// maxRisk returns the probability of failure that the request accepts in a
// round.
func (c *call) maxRisk(round int) float64 {
	limits := nonIdempotentRisks
	if c.q.idempotent {
		limits = idempotentRisks
	}
	return limits[min(round, len(limits)-1)]
}

// nonIdempotentRisks are the probabilities of failure, by round, that a
// non-idempotent request accepts. idempotentRisks are those of an idempotent
// request that cannot be a trial request, such as one that has already failed
// once.
var (
	nonIdempotentRisks = []float64{0.08, 0.2, 0.35}
	idempotentRisks    = []float64{0.3, 0.5}
)

// lacksRetry reports whether the request could not be retried if an ejected
// target failed it, so that it must not serve as a trial request.
func (c *call) lacksRetry() bool {
	return c.delivered > 0 || c.route.Attempts < 2 || !c.d.view.AdmitsRetries(c.service)
}

// mayUseEjected reports whether the request has looked for another target long
// enough and has no error response to return instead.
func (c *call) mayUseEjected() bool {
	return c.elapsedShare() > ejectedAfterShare && c.fallback == nil
}

func (c *call) reserve(cand placement.Candidate, req admission.Request) (reservedTarget, admission.Reason, bool) {
	t, reason, ok := c.reserveAt(cand, req)
	if ok && req.Retry {
		c.d.budgetQueues.recordRetry(c.service)
	}
	return t, reason, ok
}

func (c *call) reserveAt(cand placement.Candidate, req admission.Request) (reservedTarget, admission.Reason, bool) {
	if cand.Addr == c.d.localAddr {
		reserved, reason := c.d.local.reserve(c.ctx, req)
		if reserved == nil {
			c.recordRefusal(cand.Addr, reason)
			return reservedTarget{}, reason, false
		}
		return reservedTarget{&localReservation{c.d.local, reserved, req}, cand.Addr, cand.Target}, admission.None, true
	}
	c.d.view.Ask(cand.Addr)
	r, err := c.d.remote.reserve(c.ctx, cand.Addr, req)
	var refused refusal
	switch {
	case err == nil:
		c.d.view.PathSucceeded(cand.Addr)
		return reservedTarget{r, cand.Addr, cand.Target}, admission.None, true
	case errors.As(err, &refused):
		c.d.view.PathSucceeded(cand.Addr)
		c.recordRefusal(cand.Addr, refused.reason)
		return reservedTarget{}, refused.reason, false
	case c.ctx.Err() != nil:
		return reservedTarget{}, admission.CallerLeft, false
	}
	c.d.view.PathFailed(cand.Addr)
	c.d.log.hostNotReached(c.q.id, cand.Addr, err)
	return reservedTarget{}, admission.NoTarget, false
}

// recordRefusal records a refusal. A refusal for lack of retry budget says
// nothing about first attempts.
func (c *call) recordRefusal(addr string, reason admission.Reason) {
	if reason == admission.NoBudget {
		c.outOfBudget = append(c.outOfBudget, addr)
		return
	}
	c.d.view.Refused(addr)
}
