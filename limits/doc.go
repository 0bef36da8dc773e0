// Package limits implements the limits that protect targets, nodes and
// customers from overload.
//
// Slots and ConnLimiter run at the host node. Their counts are exact, since all
// requests to a target pass through its host node. Slots has a bounded queue
// per target: it estimates the wait from recent slot hold times and refuses at
// once a request that cannot finish before its deadline. Lower classes may fill
// only a part of the queue, and their waiters are displaced when a request of a
// higher class finds the queue full.
//
// ClassLimiter runs at the entry node, and so does RetryBudget, except in package
// mesh, where host nodes grant the retries. Only entry nodes send retries, so that
// they do not multiply from hop to hop.
//
// RateLimiter limits the request rate of customers across the fleet without a
// central counter. Each customer of a route has an owner node, chosen by
// rendezvous hashing among the live nodes. The owner keeps a token bucket and
// grants small allowances, which expire, to the nodes that request them. A node
// that cannot reach the owner falls back to a share of the rate.
//
// Quotas does so for package mesh, where a token is used only after its owner has
// deducted it, so that the rate holds whatever is lost or repeated. FleetShare
// fills the buckets of an owner by its contact with the fleet instead of by time,
// so that owners which cannot reach each other share the rate.
//
// Memory is a budget of bytes for the bodies that a process holds or a target is
// sent, and ConnGuard bounds a server's connections. Both end what is furthest
// behind when they are short; Lag measures how far that is.
//
// StallDetector detects a body that has stopped making progress, and Listener
// limits the connections of a net.Listener. Except for Slots.Acquire,
// Memory, ConnGuard and Listener, callers pass the current time, as a duration on
// one monotonic clock.
package limits
