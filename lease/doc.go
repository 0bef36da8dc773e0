// Package lease decides which node processes may act for a service.
//
// Every service with keyed routes has a home group (Group) whose epochs are
// ordered by the log. A Core holds the state of all groups as one node knows
// it. It performs no I/O and starts no goroutines: the caller passes in
// monotonic time, wall time, accepted groups and received messages, and sends
// the messages that the Core returns.
//
// A member holds the lease of epoch e while a majority of the members of e has
// confirmed e within Term, counted from before the request was sent. A node
// that knows or has acknowledged a later epoch neither confirms e nor acts in
// it. Epoch f with base e is active once a majority of the members of e has
// acknowledged f and Term plus DriftMargin has passed since. By acknowledging
// f, a member promises never to confirm e again. A process with a higher
// incarnation counts as an acknowledgement, because its predecessor has ended.
// A node proposes the successor of f only when it knows that f is active, so
// only the members of f can hold leases when the successor is accepted.
//
// Time contract: now must be read after the event that it belongs to. For
// Receive that is the arrival of the message, for Holds the arrival of the
// request. An earlier reading would shorten the wait after an acknowledgement
// or extend a lease over a pause.
//
// Identity contract: a node ID names at most one running process, and each
// process has a higher incarnation than all earlier processes with that ID.
// Therefore a replaced host uses a new node ID, and the incarnation in a group
// is the process start, which the refutation of a suspicion does not change.
//
// A Core is not safe for concurrent use. The result of Holds stays valid until
// its deadline even if the Core learns of a later epoch, so request handlers
// may use it from an immutable snapshot (View).
package lease
