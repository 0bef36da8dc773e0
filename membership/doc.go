// Package membership maintains, on each node, the table of all nodes of the
// fleet and the instances that they announce.
//
// Core is a pure state machine: its inputs are messages, ticks and the node's
// own instances, and its outputs are messages and a View. It takes the time as
// an argument and its random choices from a seed. Runner drives a Core in one
// goroutine over package peer.
//
// # State of a node
//
// Updates about a member are merged along two independent orders. Its liveness
// is ordered by (incarnation, refutation, status), with alive < suspect < dead
// < left. Its content (the instances) is ordered by (incarnation, sequence).
// The incarnation is the start time of the process and never changes while it
// runs, because leases and order records compare it. A node refutes a suspicion
// by raising its refutation number. The draining flag stays set for the rest of
// the incarnation.
//
// # Failure detection
//
// Every ProbeInterval a node probes the next peer in a random rotation. If the
// peer does not respond, the node asks IndirectProbes others to probe it. If
// only they reach the peer, the node records a link fault and the peer stays
// alive. If none does, the peer becomes suspect, and dead after
// SuspicionTimeout unless it refutes the suspicion. A report from another node
// that a peer is dead only starts a suspicion, so that a node that was
// partitioned cannot remove live nodes from the tables of others.
//
// # Dissemination
//
// A new update is pushed immediately to a few random peers, which push it on.
// The remaining transmissions are piggybacked on probes. An update carries the
// instances that changed after a base sequence. A receiver that does not have
// the base, or receives an update without its instances because they are too
// large, fetches the record from the sender. Every SyncInterval a node compares
// a bucketed digest of its table with a random peer.
//
// # Joining and returning
//
// A node joins through seed addresses and fetches the table in pages. A busy
// node refuses to serve pages and names other nodes instead. Addresses of dead
// nodes are kept for AddressRetention, and one of them is probed every
// DeadProbeInterval, so that regions find each other again after a partition.
package membership
