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
	// roundPause is the pause between rounds in which every host node refused.
	roundPause = 20 * time.Millisecond
	// minSendTime is the least time that must be left for a request to be sent.
	minSendTime = 60 * time.Millisecond
	// A request can meet its objective as long as most runs that start then end
	// in time. Where that leaves less than minWaitShare of the objective, some
	// runs are short enough after a wait of that share. More than maxWaitShare is
	// not promised: waits are estimates, and hosts fail meanwhile.
	minWaitShare = 0.3
	maxWaitShare = 0.75
	// failedWaitShare is the fraction of the objective for which a request looks
	// for another target while none is known to be healthy. It bounds the time
	// that a caller loses to failures.
	failedWaitShare = 0.6
	// maxFullHosts is the number of host nodes with the shortest queues that have
	// to state that they have no room in time, until a request is refused.
	maxFullHosts = 4
	// hostWatchInterval is how often a request that waits checks whether its host
	// is still heard of.
	hostWatchInterval = time.Second
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
	c.d.searches.add(c.service, 1)
	defer c.d.searches.add(c.service, -1)
	if c.isRefusedByAll() {
		return reservedTarget{}, noTargetError("every target has refused the request", admission.TargetBusy)
	}
	if c.mayAwaitBudget() && !c.isUrgentRetry() && c.d.budgetQueues.waiting(c.service) {
		return c.awaitedTarget()
	}
	for round := 0; ; round++ {
		if !c.mayEnd() {
			return reservedTarget{}, errCannotEnd()
		}
		t, reason, ok := c.tryRound(round)
		if ok {
			return t, nil
		}
		if err := c.ctx.Err(); err != nil {
			return reservedTarget{}, c.endedError()
		}
		if round > 0 && c.d.stopped() {
			return reservedTarget{}, notRun(resultcode.NodeDraining, "this node stops, and no target took the request before")
		}
		if reason == admission.NoBudget && round+1 >= c.retryRounds && c.mayAwaitBudget() {
			return c.awaitedTarget()
		}
		if c.endsSearch(round) {
			if t, ok := c.reserveEjected(); ok {
				return t, nil
			}
			return reservedTarget{}, noTargetError("no target has room in time", reason)
		}
		if reason == admission.NoBudget && round+1 >= c.retryRounds {
			return reservedTarget{}, noTargetError("no further target", reason)
		}
		mayAnswer := c.unanswered && !c.hedge && !c.hasWaited()
		if (c.fallback != nil || c.hedge) && round >= c.retryRounds && !mayAnswer {
			return reservedTarget{}, noTargetError("no second target", reason)
		}
		if round > 1 {
			sleep(c.ctx, roundPause)
		}
	}
}

// endsSearch reports whether the request stops looking for a target after a
// round in which none took it. A request that lost its place in a queue goes on
// while a response could still be of use.
func (c *call) endsSearch(round int) bool {
	if c.left() <= minSendTime || c.noRoom {
		return true
	}
	mayGoOn := c.lostPlace && c.usefulWait() > 0
	return c.hasWaited() && !mayGoOn && (c.delivered == 0 || round+1 >= c.retryRounds)
}

// isRefusedByAll reports whether every target of the service has refused the
// request, which is not sent twice to a target.
func (c *call) isRefusedByAll() bool {
	return !c.q.idempotent && len(c.refusedBy) > 0 && len(c.refusedBy) >= c.d.view.Count(c.service)
}

// awaitedTarget reserves a slot for a retry when there is budget for it.
func (c *call) awaitedTarget() (reservedTarget, error) {
	if t, ok := c.awaitBudget(); ok {
		return t, nil
	}
	if c.ctx.Err() != nil {
		return reservedTarget{}, c.endedError()
	}
	if !c.mayEnd() {
		return reservedTarget{}, errCannotEnd()
	}
	return reservedTarget{}, noTargetError("no retry budget in time", admission.NoBudget)
}

func noTargetError(what string, reason admission.Reason) *resultcode.Error {
	if reason == admission.NoBudget {
		return notRun(resultcode.RetryBudgetSpent, "%s: %s", what, reason)
	}
	return notRun(resultcode.QueueFull, "%s: %s", what, reason)
}

// hasWaited reports whether the request has looked for a healthy target as long
// as it may.
func (c *call) hasWaited() bool {
	if c.nestedWait() > 0 {
		return false
	}
	limit := time.Duration(failedWaitShare * float64(c.route.Objective))
	return time.Since(c.start) > limit || c.goodWait() < 0
}

// goodWait returns for how long the request may still wait for a slot if it is
// to meet its objective.
func (c *call) goodWait() time.Duration {
	return targetWait(c.route.Objective, c.d.latencies.overdue(c.route)) - time.Since(c.start)
}

// targetWait returns for how long a request waits for a target if it is to end
// within its objective and most runs take at most runTime.
func targetWait(objective, runTime time.Duration) time.Duration {
	least := time.Duration(minWaitShare * float64(objective))
	most := time.Duration(maxWaitShare * float64(objective))
	return min(max(objective-runTime, least), most)
}

// nestedWait returns for how long a nested call of a target may still wait, and 0
// for other requests.
func (c *call) nestedWait() time.Duration {
	if c.q.fromRunProb <= likelyNested {
		return 0
	}
	waited := time.Since(c.start)
	return time.Duration(nestedMaxWaitShare*float64(waited+c.left())) - waited
}

// usefulWait returns for how long the request may still wait for a slot if it is
// to end before its deadline.
func (c *call) usefulWait() time.Duration {
	return max(c.left()-c.d.latencies.overdue(c.route), c.goodWait(), c.nestedWait())
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

// tryRound asks the host nodes once. The first round asks for targets with a
// recent success, the second for any that is not ejected, and later rounds wait
// for a slot.
func (c *call) tryRound(round int) (reservedTarget, admission.Reason, bool) {
	c.unanswered = false
	if round > 1 {
		if waiting := c.d.view.RankToWait(c.placementRequest(round), c.d.latencies.expected(c.route)); len(waiting) > 0 {
			return c.waitInLine(waiting, round)
		}
	}
	reason := c.defaultReason()
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

// defaultReason returns the reason of refusal if no host node is asked.
func (c *call) defaultReason() admission.Reason {
	if len(c.outOfBudget) > 0 {
		return admission.NoBudget
	}
	return admission.TargetBusy
}

// waitInLine waits for a slot at the first of the hosts that expects to have one
// in time. It sets c.noRoom if those with the shortest queues do not.
func (c *call) waitInLine(hosts []placement.Candidate, round int) (reservedTarget, admission.Reason, bool) {
	reason := c.defaultReason()
	full, asked := 0, 0
	for _, cand := range hosts {
		if full == maxFullHosts || asked == maxHostsPerRound+maxFullHosts || c.ctx.Err() != nil {
			break
		}
		if cand.OtherZone && !c.mayAskOtherZone() {
			continue
		}
		asked++
		var t reservedTarget
		var ok bool
		if t, reason, ok = c.waitAt(cand, round); ok {
			return t, admission.None, true
		}
		if reason == admission.TargetBusy {
			full++
		}
	}
	c.noRoom = full > 0 && (full == maxFullHosts || full == asked)
	return reservedTarget{}, reason, false
}

// waitAt waits for a slot at one host. It ends the wait if nothing is heard of the
// host any longer, or if this node stops.
func (c *call) waitAt(cand placement.Candidate, round int) (reservedTarget, admission.Reason, bool) {
	req := c.reservationRequest(cand, round)
	req.GoodWait = max(0, c.goodWait(), c.nestedWait())
	req.MaxWait = max(c.usefulWait(), 0)
	if req.Retry {
		// The retry budget counts it when it asks, so it must reach the target soon.
		req.MaxWait = min(req.MaxWait, req.GoodWait)
	}
	req.LostPlace = c.lostPlace
	ctx, cancel := c.d.shutdown.limit(c.ctx, c.runEstimate())
	defer cancel()
	defer context.AfterFunc(c.d.stopWaiting(), cancel)()
	if cand.Addr != c.d.localAddr {
		go c.watchHost(ctx, cand.Addr, cancel)
	}
	c.d.view.Queued(cand.Addr)
	c.d.searches.add(c.service, -1)
	start := time.Now()
	t, reason, ok := c.reserveIn(ctx, cand, req)
	c.d.searches.add(c.service, 1)
	waited := time.Since(start)
	switch {
	case waited < roundPause: // answered without a wait
	case ok:
		c.d.metrics.queueMs.Update(waited.Milliseconds())
	default:
		c.lostPlace = c.lostPlace || reason != admission.TargetBusy
		c.d.metrics.queueLeft(reason)
	}
	return t, reason, ok
}

// watchHost calls leave once nothing has been heard of the host for too long. The
// connection stays open while a process is suspended.
func (c *call) watchHost(ctx context.Context, addr string, leave func()) {
	ticker := time.NewTicker(hostWatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if c.d.view.Silent(addr) {
				c.d.log.leftQueue(c.q.id, addr, c.left())
				leave()
				return
			}
		}
	}
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
	return c.d.view.Rank(c.placementRequest(round))
}

func (c *call) placementRequest(round int) placement.Request {
	excluded := slices.Concat(c.tried, c.outOfBudget, c.stopping)
	if !c.q.idempotent {
		excluded = append(excluded, c.refusedBy...) // they do not take it again
	}
	return placement.Request{
		Service: c.service, Idempotent: c.q.idempotent, NoRetry: c.lacksRetry(), Retry: c.delivered > 0, Urgent: c.isUrgentRetry(), MaxRisk: c.maxRisk(round),
		Download: c.route.Download, Tried: excluded,
	}
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
	out := all[:0]
	for _, cand := range all {
		if !cand.RecentlyRefused && !cand.LastResort {
			out = append(out, cand)
		}
	}
	return out
}

func (c *call) reservationRequest(cand placement.Candidate, round int) admission.Request {
	r := admission.Request{
		Target: cand.Target, Service: c.service, Zone: c.d.zone, Customer: c.q.customerName(), Weight: c.q.weight(), Priority: c.q.priority(c.route),
		Idempotent: c.q.idempotent, NoRetry: c.lacksRetry(), MaxRisk: c.maxRisk(round), LastResort: cand.LastResort,
		Retry: c.delivered > 0, Urgent: c.isUrgentRetry(), CalledByRetry: c.q.fromRetryProb,
		AllowUntested: c.elapsedShare() > untestedAfterShare || c.isLastChance(round), OverdueAfter: c.d.latencies.overdue(c.route),
		RunTime: c.runEstimate().likely,
	}
	if c.q.rest != nil {
		r.OverdueAfter = 0 // the run lasts at least as long as the caller sends
	}
	return r
}

// isLastChance reports whether an idempotent request that failed at a target gets
// no further target if it is refused in this round. One without any success is
// then a better choice than the failure.
func (c *call) isLastChance(round int) bool {
	return c.q.idempotent && c.fallback != nil && round >= c.retryRounds
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
	return c.reserveIn(c.ctx, cand, req)
}

// reserveIn is reserve with a context that may end before the call's.
func (c *call) reserveIn(ctx context.Context, cand placement.Candidate, req admission.Request) (reservedTarget, admission.Reason, bool) {
	t, reason, ok := c.reserveAt(ctx, cand, req)
	if ok && req.Retry {
		c.d.budgetQueues.recordRetry(c.service)
	}
	return t, reason, ok
}

func (c *call) reserveAt(ctx context.Context, cand placement.Candidate, req admission.Request) (reservedTarget, admission.Reason, bool) {
	if cand.Addr == c.d.localAddr {
		reserved, reason := c.d.local.reserve(ctx, req, func() {})
		if reserved == nil {
			c.recordRefusal(cand.Addr, reason)
			return reservedTarget{}, reason, false
		}
		return reservedTarget{&localReservation{c.d.local, reserved, req}, cand.Addr, cand.Target}, admission.None, true
	}
	c.d.view.Ask(cand.Addr)
	r, err := c.d.remote.reserve(ctx, cand.Addr, req)
	var refused refusal
	switch {
	case err == nil:
		c.d.view.PathSucceeded(cand.Addr)
		return reservedTarget{r, cand.Addr, cand.Target}, admission.None, true
	case errors.As(err, &refused):
		c.d.view.PathSucceeded(cand.Addr)
		c.recordRefusal(cand.Addr, refused.reason)
		return reservedTarget{}, refused.reason, false
	case ctx.Err() != nil:
		return reservedTarget{}, admission.CallerLeft, false
	}
	c.unanswered = c.unanswered || errors.Is(err, errNoAnswer)
	c.d.view.PathFailed(cand.Addr)
	c.d.log.hostNotReached(c.q.id, cand.Addr, err)
	return reservedTarget{}, admission.NoTarget, false
}

// recordRefusal records a refusal. A refusal for lack of retry budget says
// nothing about first attempts, and that of a node that stops nothing about
// shorter requests.
func (c *call) recordRefusal(addr string, reason admission.Reason) {
	switch reason {
	case admission.NoBudget:
		c.outOfBudget = append(c.outOfBudget, addr)
	case admission.NodeStopping:
		c.stopping = append(c.stopping, addr)
	default:
		c.d.view.Refused(addr)
	}
}
