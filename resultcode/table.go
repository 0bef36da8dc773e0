package resultcode

// table lists all codes in ascending order. docs/RESULT_CODES.md contains the same
// table; a test compares them.
var table = []Info{
	{Answered, "answered", 200, RanYes, "The target's own answer; the HTTP status is the target's."},
	{NoConfiguration, "no-configuration", 503, RanNo, "The node has no accepted configuration yet."},
	{NoRoute, "no-route", 404, RanNo, "No route matches host, path and method."},
	{ServiceWithdrawn, "service-withdrawn", 410, RanNo, "The mandate of the service was withdrawn."},
	{NoTarget, "no-target", 503, RanNo, "No target of the service can take work."},
	{QueueFull, "queue-full", 503, RanNo, "The bounded queue of the target is full."},
	{DeadlineTooShort, "deadline-too-short", 503, RanNo, "The work cannot finish before the deadline."},
	{TargetDraining, "target-leaving", 503, RanNo, "The target is draining or gone."},
	{RateLimited, "rate-limited", 429, RanNo, "The customer is over its rate limit."},
	{ShedByTarget, "shed-by-target", 503, RanNo, "The target refused the work because of its load."},
	{ConnectionLimit, "connection-limit", 503, RanNo, "The connection limit of the target or listener is reached."},
	{ClassShed, "class-shed", 503, RanNo, "Work of this class is refused under load."},
	{NodeDraining, "node-leaving", 503, RanNo, "The node is shutting down and takes no new work."},
	{RetryBudgetSpent, "retry-budget-spent", 503, RanUnknown, "The last attempt failed and no host node of the service admits a repeat."},
	{MemoryLimit, "memory-limit", 503, RanNo, "The memory of the node or target for bodies is in use."},
	{QuotaUndecided, "quota-undecided", 503, RanNo, "No node decided in time whether the customer is within its quota."},
	{PeerUnreachable, "peer-unreachable", 503, RanNo, "No connection to the host node could be made."},
	{PeerLost, "peer-lost", 502, RanUnknown, "The host node was lost before the answer arrived."},
	{AnswerMismatch, "answer-mismatch", 502, RanUnknown, "An answer for another request arrived and was dropped."},
	{StaleConfiguration, "stale-configuration", 503, RanNo, "The sender's configuration is older than the receiver's."},
	{NoLease, "no-lease", 503, RanNo, "No node holds a confirmed lease for this order."},
	{UnknownOutcome, "unknown-outcome", 502, RanUnknown, "The order may have run; its answer is not known."},
	{StillRunning, "still-running", 409, RanUnknown, "An earlier request with this key is still running."},
	{RecordLost, "record-lost", 409, RanUnknown, "The record of this key was lost with its node; the order is not run again."},
	{AnswerNotKept, "answer-not-kept", 409, RanYes, "The order ran; its answer is no longer kept."},
	{KeyReused, "key-reused", 422, RanNo, "The idempotency key was used with another payload; this request was not run."},
	{KeyFromFuture, "key-from-future", 400, RanNo, "The issue time in the idempotency key lies in the future."},
	{Barred, "barred", 409, RanNo, "The request ID was barred after an earlier attempt was settled as not run."},
	{BadRequest, "bad-request", 400, RanNo, "The request is malformed."},
	{HeaderTooLarge, "header-too-large", 431, RanNo, "The header section exceeds its limit."},
	{BodyStalled, "body-stalled", 408, RanUnknown, "The caller stopped sending the body."},
	{CallerGone, "caller-gone", 499, RanUnknown, "The caller closed the connection."},
	{BodyTooLarge, "body-too-large", 413, RanUnknown, "The body exceeds the limit of the route."},
	{UnknownKey, "unknown-key", 401, RanNo, "The request carries no key of a customer."},
	{Truncated, "truncated", 502, RanUnknown, "The answer ended early; the response is aborted."},
	{Stalled, "stalled", 504, RanUnknown, "The answer stopped making progress."},
	{TargetError, "target-error", 502, RanUnknown, "The connection to the target failed after the request was sent."},
	{Timeout, "timeout", 504, RanUnknown, "The deadline passed before the answer was complete."},
	{CommandOK, "ok", 0, RanYes, "The command succeeded."},
	{InvalidManifest, "invalid-manifest", 0, RanNo, "The manifest has errors; all are listed."},
	{PublishConflict, "publish-conflict", 0, RanNo, "Another record was accepted first; it is named."},
	{PublishUnknown, "publish-unknown", 0, RanUnknown, "It could not be settled whether the record was accepted."},
	{LogUnavailable, "log-unavailable", 0, RanNo, "The log service cannot be reached."},
	{NodeUnreachable, "node-unreachable", 0, RanNo, "The node's operator listener cannot be reached."},
	{NotAuthorized, "not-authorized", 0, RanNo, "The credentials do not permit the command."},
	{PartialResult, "partial-result", 0, RanYes, "Some nodes did not answer; the result is partial."},
	{BadUsage, "bad-usage", 0, RanNo, "The command line is wrong."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, info := range table {
		m[info.Code] = info
	}
	return m
}()
