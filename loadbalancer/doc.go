// Package loadbalancer chooses the target of a request.
//
// A Balancer belongs to one node. For each service it keeps a Snapshot, an
// immutable snapshot of the targets with the newest ejection list applied, and
// for each target a Load, whose counters survive snapshots. Update and Refresh
// make new snapshots; Pick reads the current one and takes no lock.
//
// Pick samples targets in proportion to their capacity (slots, reduced while
// cold), and takes the one with the least work for its capacity: own
// availability zone first, then own region, then others, while a sampled
// target there has a free slot by the knowledge of the node.
// The work at a target is the larger of this node's own outstanding requests
// and the load that the host node last reported.
//
// Withheld targets follow the ejection list, worst first, clamped so that the
// targets in service in this node's view stay at or above the floor. In
// service means announced, ready, and reachable from this node. A target that
// returns admits its trial share of idempotent requests.
//
// In a large service a node uses a bounded subset of host nodes, chosen by
// rendezvous hashing per node and service among the hosts that have usable
// targets, so that the number of connections stays bounded and a change of one
// host moves few choices.
package loadbalancer
