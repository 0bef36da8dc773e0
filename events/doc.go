// Package events keeps a bounded in-memory log of a node's decisions and of
// requests that failed, were refused or needed a retry.
//
// A Log has two ring buffers, one for events of requests and one for all other
// events, so that a burst of failed requests does not displace decisions. Each
// kind of event is rate-limited. A Page states how many events the rate limits
// omitted and how many were overwritten. A request that was answered at its
// first attempt adds no event.
//
// Events identify requests by ID, which connects the events of all hops: the
// entry node, the home node of a keyed request and the host node. They contain no
// bodies and no idempotency keys.
package events
