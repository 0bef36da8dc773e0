// Package once keeps the records that make a keyed order run at most once.
//
// A Store holds the records of one home node. Begin decides what to do with an
// order: run it, join a running one, replay its answer, refuse it, or first
// ask the homes of earlier epochs. The caller asks them with Lookup, passes
// the replies to Resolve, and reports the outcome of each run with Finished,
// NotRun or Unknown. A lookup also bars the key: the asked node no longer runs
// it in an epoch before that of the node that asked.
//
// A missing record permits a run only if the key is provably new (a UUIDv7
// issued after the epoch became active) or every node that may have run it in
// the window answers that it did not. A node answers for its records in one
// incarnation, and for nodes that handed all their records over to it (Handover).
//
// AdmissionTable is the host node's table of request IDs. It lets a sender settle
// a lost response: an ID that was never admitted is barred, which proves that
// the request was not run and will not run.
//
// Nothing in this package performs I/O or starts a goroutine. Monotonic time is
// passed as now, wall time as Unix milliseconds; both are read after the event
// they belong to. The types are not safe for concurrent use.
package once
