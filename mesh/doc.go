// Package mesh is the data path of a node whose target, callers and settings
// are announced by the platform beside it.
//
// A request enters at the node on its caller's host (the entry node) and is run
// by a target of its service. Only the node on that target's host (the host
// node) reaches the target. The entry node first reserves a slot at the host
// node and then sends the request under that reservation. A reservation that
// fails, expires or is refused proves that the request was not run, so the
// entry node may try another host, even for non-idempotent requests. Package
// admission decides at the host node, package placement at the entry node.
//
// A request that finds no free slot waits in the queue of the host that states the
// shortest wait, and moves on if that host fails. Retries are bounded by a budget
// that the host nodes of the service grant (budget); those that find none left
// wait for it at the entry node (budgetQueues). A caller that is refused is told
// when there will probably be room (returnTimes).
//
// If the configuration has customers, the entry node identifies the caller by its
// key and takes a token of its customer's quota, which holds at all nodes together
// (quotas). After a suspension of the process a node refuses requests until another
// one has confirmed its configuration, or none has for some seconds (suspension).
// resources bounds the memory and sockets that callers, nodes and targets take.
//
// Nodes send each other their status and configuration version in heartbeat
// datagrams, at each change and at intervals, and include the status in every
// response between nodes. A node that learns of a newer configuration fetches
// it from a peer that has it.
//
// The package knows header names only through Headers and the platform only
// through the callbacks in Config.
package mesh
