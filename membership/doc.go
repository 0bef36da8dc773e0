// Package membership keeps the table of nodes and announced instances of the
// fleet on each node.
//
// Core is a pure state machine: its inputs are messages, ticks and the node's
// own instances, and its outputs are messages and a View. It takes the time as
// an argument and its random choices from a seed. Runner drives a Core in one
// goroutine over package peer.
//
// # State of a node
//
// A member is merged from updates along two orders. Its life is ordered by
// (incarnation, refutation, status), with alive < suspect < dead < left. Its
// content (instances) is ordered by (incarnation, sequence). The incarnation is
// the start of the process and never changes while it runs, because leases and
// order records compare it. A node refutes a suspicion by raising its
// refutation number. The leaving flag is set once in an incarnation.
//
// # Failure detection
//
// Every ProbeInterval a node probes the next peer in a random rotation, then
// asks IndirectProbes others. When only others reach the peer, the pair has a
// link fault and the peer stays alive. When nobody does, it is suspect, and
// dead after SuspicionTimeout unless it refutes. A received verdict "dead" only
// starts a suspicion, so that a node that was cut off cannot remove live nodes
// from the tables of others.
//
// # Dissemination
//
// A new update is pushed at once to a few random peers, which push it on. The
// remaining transmissions are piggybacked on probes. An update carries the
// instances that changed after a base sequence; a receiver without the base, or
// of an update too large to piggyback, fetches the record from the sender.
// Every SyncInterval a digest in buckets is compared with a random peer.
//
// # Joining and returning
//
// A node joins through seed addresses and fetches the table in pages. A busy
// node refuses pages and names other nodes instead. Addresses of dead nodes are
// kept for AddressRetention, and one of them is tried every DeadProbeInterval,
// so that regions find each other again after a partition.
package membership
