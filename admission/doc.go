// Package admission decides at the host node whether its target takes a request.
//
// Only the host node talks to its target, so it is the first to see every
// request, every failure and the start of draining, and its refusal proves that
// a request was not run. A Gate limits concurrent requests to the target's
// slots, keeps a queue, and ejects the target while it fails. An ejected target
// gets single idempotent requests as trial requests and returns to service after
// enough of them succeed. Non-idempotent requests are admitted only while the
// risk is low, the probability that they fail because the target is still or
// again in a gray failure: each one that does is lost.
//
// A request joins the queue only if it is expected to get a slot in time: by its
// objective, or by its deadline if capacity for that is foreseen. The queue is
// ordered by priority, which depends on the share that the request's customer
// got lately, and then by the latest start. A request for which no slot will
// come in time is refused at once.
//
// A target may reject requests although it has free slots. If it does so above
// some number in flight, inFlightLimit finds that number and the Gate keeps to
// it; rejectionMeter learns the share that is rejected otherwise, which package
// placement takes into account.
//
// Detector decides from request outcomes whether the target is ejected, and its
// belief how probable a gray failure is; Gate combines this with slots, queue and
// draining. Neither does I/O, and both take the time from their caller; Gate sets
// timers to look at its queue again.
package admission
