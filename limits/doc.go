// Package limits holds the bounds that protect targets, nodes and customers.
//
// Slots and ConnLimiter run at the host node and count exactly, since the host node
// is the only path to its targets. Slots has a bounded queue per instance: it
// estimates the wait from the recent times that slots were held, and refuses
// at once what cannot finish before its deadline. Lower classes may use a
// smaller part of the queue and give way when a higher class finds it full.
//
// RetryBudget and ClassLimiter run at the entry node. Only entry nodes retry, so
// that retries do not multiply over hops.
//
// RateLimiter limits customers over the whole fleet without a central counter.
// Each customer of a route has an owner node, the rendezvous winner among the
// live nodes, that keeps a token bucket and hands small expiring allowances to
// the nodes that ask. A node that is cut off from the owner falls back to a
// share of the rate.
//
// StallDetector detects a body that has stopped, and Listener bounds the
// connections of a listener. Everything but Slots.Acquire and Listener takes
// its time from the caller, as durations on one monotonic clock.
package limits
