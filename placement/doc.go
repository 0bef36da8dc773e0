// Package placement decides at the entry node where a request goes.
//
// A View holds what this node knows of each host node: the status that the host
// node sent last, the work that this node has under way there, and whether its
// connections to that host work. Order returns the host nodes in which a
// request should ask for a slot. The host node has the last word, so stale
// knowledge costs a refusal and not a request.
//
// Work that must not repeat prefers targets with a recent success. Idempotent
// work goes first to targets whose proof has run out or whose trial is due, so
// that a target which turned gray meets a request that can be repeated.
package placement
