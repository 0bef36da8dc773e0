// Package control keeps the configuration that the fleet has accepted: the
// manifests and withdrawals of mandates, and the home groups of services.
//
// # Fold
//
// State folds the records of the log stream "control" in offset order. Apply
// is deterministic: the state at offset V depends only on the records 1 to V,
// so two nodes of equal Version hold equal state, and Digest proves it. An
// operation is accepted only if its base is the current revision of its
// mandate (or the current epoch of its home group); the first one in log order
// wins. The fold reads manifests leniently, so that a check that is added to
// package manifest cannot make nodes of different releases disagree.
// Publisher applies the full checks before it appends.
//
// # Transfer
//
// An Update holds the items that changed after a version, and the digest of
// the state that results. ApplyUpdate takes an Update only if it continues the
// receiver's version without a gap, leads to a higher version and yields the
// stated digest. A full state is an Update from version 0.
//
// # Checkpoints
//
// The log keeps records for a limited time. A checkpoint round is a full state
// in several records, all with the same `through`, the version of that state.
// A reader whose position has expired looks for a complete round with
// through >= F-1, where F is the first retained offset, adopts it and folds
// from through+1. A round whose writer was so slow that records after
// `through` have expired is not used. Rounds hold complete state because
// service ownership spans mandates: a record can be judged only with all
// mandates known as of the record before it.
//
// # Control loop
//
// Controller is a pure event core. It decides when to read the log, which peer
// to ask, and when to write a checkpoint round. Watcher runs it in one
// goroutine and publishes immutable Snapshots through an atomic pointer.
package control
