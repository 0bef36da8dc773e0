// Package admission decides at the host node whether its target takes a request.
//
// Only the host node talks to its target, so it is the first to see every
// request, every failure and the start of draining, and its refusal proves that
// a request was not run. A Gate limits concurrent requests to the target's
// slots, keeps a short priority queue, and ejects the target while it fails. An
// ejected target gets single idempotent requests as trial requests and returns
// to service after enough of them succeed. Non-idempotent requests are admitted
// only while the risk is low, the probability that they fail because the target
// is still or again in a gray failure: each one that does is lost.
//
// Detector decides from request outcomes whether the target is ejected, and its
// belief how probable a gray failure is; Gate combines this with slots, queue and
// draining. Both do no I/O and take the time from their caller.
package admission
