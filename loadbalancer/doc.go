// Package loadbalancer chooses the target of each request.
//
// A node has one Balancer. For each service it keeps a Snapshot, an immutable
// view of the targets to which the newest ejection list has been applied, and
// for each target a Load, whose counters are carried over from snapshot to
// snapshot. Update and Refresh make new snapshots; Pick reads the current one
// without a lock.
//
// Pick samples targets in proportion to their capacity, which is the number of
// their slots, reduced during a cold start. Among those it takes the target
// with the lowest load relative to its capacity. It prefers the node's own
// availability zone, then its own region, then other regions, and goes on to
// the next tier if none of the sampled targets has a free slot as far as this
// node knows. The load of a target is estimated as this node's own outstanding
// requests plus the average load from other nodes, as reported by the host
// node.
//
// Targets are ejected in the order of the ejection list, worst first, and only
// while the targets in service in this node's view stay at or above the floor.
// A target is in service if it is announced, ready and reachable from this
// node. An ejected target may still receive trial requests: idempotent requests
// up to the share that its entry in the list allows.
//
// In a large service, a node uses a subset of the host nodes, so that its number
// of connections stays bounded. The subset is chosen by rendezvous hashing per
// node and service among the hosts that have usable targets, so that a change
// of one host changes few choices.
package loadbalancer
