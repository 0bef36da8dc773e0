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
// Nodes send each other their status and configuration version in heartbeat
// datagrams, at each change and at intervals, and include the status in every
// response between nodes. A node that learns of a newer configuration fetches
// it from a peer that has it.
//
// The package knows header names only through Headers and the platform only
// through the callbacks in Config.
package mesh
