// Package proxy carries requests. The entry handler runs on the node that the
// caller reached: it matches the route, selects a target and sends the request
// to the node beside that target. The host handler runs there: it admits the
// request to a slot of the target, sends it over loopback and copies the answer
// back.
//
// Both handlers keep three rules. An answer that ends early is aborted, never
// completed. A request is called "not run" only on proof: the connection could
// not be made, the host node refused it, or the host node barred its ID before
// admitting it. Work on a route that is not idempotent is sent to a second
// target only after such proof.
package proxy
