// Package health finds and ejects the unhealthy targets of one service.
//
// Its main concern is gray failure: a target that passes health checks but
// fails requests or is slow to answer them. A Detector combines the
// observations of all entry nodes for each target. It ranks every request,
// completed or still open, against a baseline, the distribution of the same
// class over all targets of the service: first by latency, then by failure, so
// that the ranks of a healthy target are uniform. An open request counts with
// its age. The log-likelihood ratios of the ranks (a mixture in which a fifth of
// the requests are bad, against uniform) are added up in a score that never
// falls below zero. A single request with a high ratio is called bad, any other
// good. A target whose score crosses the threshold of the service's preference
// is unhealthy, unless another explanation fits the observations better:
//
//   - most targets are bad at once: the service is slow, not the target;
//   - the bad requests come from one node or one zone, or divide cleanly by
//     zone while other zones get good responses: a link fault, for which only
//     the node or zone withholds the target;
//   - one node or one class is bad at most targets: an overloaded entry node or
//     a bad route;
//   - the target has had no requests before, or none for a while: a cold start.
//
// Responses that shed load cause a short backoff and are no evidence. Probes
// are only reported with decisions; they neither eject nor return a target.
//
// An ejected target returns by way of single idempotent trial requests and then
// in steps. Waits and steps grow with each ejection of the same target. Ejection
// never leaves fewer targets in service than the floor: the worst of the
// unhealthy targets are ejected and the others are reduced, that is, they stay
// in service with fewer requests.
//
// A Detector does no I/O, starts no goroutine and reads no clock; the same calls
// give the same decisions. It is not safe for concurrent use.
package health
