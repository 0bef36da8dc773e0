// Package proxy implements the request path. Entry runs on the entry node, where
// the caller's request arrives: it matches the route, selects a target and sends
// the request to the host node, which runs beside that target. Host runs on the
// host node: it waits for a slot of the target, sends the request to the target
// over loopback and copies the response back.
//
// Both handlers follow three rules. A response that ends early is aborted, never
// completed. A request is reported as "not run" only on proof: the connection
// could not be made, the host node refused the request, or the host node barred
// its ID before admitting it. A request on a route that is not idempotent is
// sent to a second target only after such proof.
package proxy
