// Package placement decides at the entry node where a request goes.
//
// A View holds what this node knows of each host node: the status that the host
// node last reported, the requests that this node has in flight there, and
// whether the path to that host works. Rank returns the host nodes in the order
// in which a request should ask them for a slot. The host node makes the final
// decision, so a stale status costs a refusal and not a failed request.
//
// Non-idempotent requests prefer targets with a recent success. Idempotent
// requests go first to targets that have had no request for long or whose trial
// request is due, so that a gray failure is first met by a request that can be
// retried.
//
// RankToWait orders the hosts by the wait for a slot that they state, for requests
// that found none free, and RoomFor estimates when a caller that is refused may
// come back.
package placement
