// Package health decides which targets of one service are unhealthy.
//
// A Detector combines the observations of all entry nodes per target. Every
// completed or open request is ranked against the pooled distribution of the
// same class over all targets of the service: first by latency, then by
// failure, so that the rank of a healthy target is uniform. The logarithm of
// the likelihood ratio of that rank (a mixture in which a fifth of the requests
// are bad, against uniform) is summed and never falls below zero. A request
// that is still open counts with its age. A target whose sum crosses the
// threshold of the service's preference is ejected unless another explanation
// fits the evidence better:
//
//   - most targets are bad at once: the service is slow, not the target;
//   - the bad requests come from one node or one zone, or divide cleanly by
//     zone while other zones get good answers: a link fault, for which only the
//     node or zone is withheld;
//   - one node or one class is bad at most targets: an overloaded observer or a
//     bad route;
//   - the target has had no work before, or none for a while: a cold start.
//
// Answers that shed load cause a short backoff and are no evidence. Probes are
// kept for the decision's report only; they neither eject nor return a target.
//
// Ejected targets return through single idempotent requests, then in steps.
// Waits and steps grow with each ejection of the same target. Ejection never
// leaves fewer targets in service than the floor: of the condemned targets the
// worst are ejected and the others stay in service with less work.
//
// A Detector does no I/O, starts no goroutine and reads no clock; the same calls
// give the same decisions. It is not safe for concurrent use.
package health
