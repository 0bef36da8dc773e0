// Package once stores the records that make a keyed order run at most once.
//
// A Store holds the records of one home node. Begin decides what to do with an
// order: run it, wait for a running attempt, replay the stored response, refuse
// the order, or first ask the homes of earlier epochs. The caller asks them
// with Lookup, passes their replies to Resolve, and reports the outcome of each
// run with Finished, NotRun or Unknown. A lookup also bars the key: the asked
// node no longer runs it in epochs before that of the asking node.
//
// Without a record, an order runs only if its key is provably new (a UUIDv7
// issued after the epoch became active) or if every node that may have run it
// in the window replies that it did not. A node replies for the records of one
// incarnation, and for nodes that transferred all their records to it
// (Handover).
//
// AdmissionTable is the host node's table of request IDs. With it, a sender
// whose response was lost can settle the outcome: an ID that was never admitted
// is barred, which proves that the attempt was not run and will not run.
//
// The package performs no I/O and starts no goroutines. Monotonic time is
// passed as now, and wall time as Unix milliseconds. Both must be read after
// the event that they belong to. The types are not safe for concurrent use.
package once
