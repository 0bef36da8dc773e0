// Package lease decides which nodes may act for a service.
//
// Every service with keyed routes has a home group (Group) whose epochs are
// ordered by the log. A Core holds one node's view of all groups. It performs
// no I/O and starts no goroutine: the caller passes monotonic time, wall time,
// accepted groups and received messages, and sends the messages it returns.
//
// A member holds the lease of epoch e while a majority of the members of e
// has confirmed e within Term, counted from before the request was sent. A
// node that knows or has acknowledged a later epoch neither confirms nor acts
// in e. Epoch f with base e is active once a majority of the members of e has
// acknowledged f and Term plus DriftMargin has passed since. An acknowledgement
// means that the member will never again confirm e; a process with a higher
// incarnation is equivalent, because its predecessor has ended. A node proposes
// the successor of f only when it knows that f is active, so only the members
// of f can hold leases when the successor is accepted.
//
// Contract of time: now is read after the event it belongs to. Receive takes a
// time read after the message arrived, Holds one read after the request
// arrived. An earlier reading would shorten the wait after an acknowledgement
// or extend a lease over a pause.
//
// Contract of identity: a node ID names at most one running process, and a
// process start has a higher incarnation than every earlier start of that ID.
// A replaced host therefore takes a new node ID, and the incarnation in a
// group is the process start, which refutation of a suspicion does not change.
//
// A Core is not safe for concurrent use. The result of Holds stays valid until
// its deadline even if the Core learns of a later epoch, so traffic may use it
// from an immutable snapshot.
package lease
