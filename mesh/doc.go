// Package mesh is the data path of a node whose target, callers and settings
// are announced by the platform beside it.
//
// A request enters at the node of its caller (entry node) and is run by the
// target of a service on some host. Only the node on that host (host node)
// reaches the target. The entry node first reserves a slot at the host node and
// then sends the request under that reservation. A reservation that fails,
// expires or is refused proves that the request was not run, so the entry node
// may try elsewhere, also for work that must not repeat. Package admission
// decides at the host node, package placement at the entry node.
//
// Nodes tell one another their status and their configuration version in
// datagrams, at each change and at intervals, and carry the status also in
// every answer between them. A node that learns of a newer configuration reads
// it from the peer that has it.
//
// The package knows header names only through Headers and the platform only
// through the callbacks in Config.
package mesh
