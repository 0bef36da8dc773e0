// Package routing maps a request to a route of a service.
//
// A Table is immutable. It keeps the routes of all manifests in a sharded hash
// table. With and Without copy only the shards that a manifest touches and
// share the rest with the previous table, so changing one manifest does not
// rebuild the whole table.
//
// Of the routes that match host, path and method, the most specific one wins:
// an exact host before any host, then an exact path before a prefix, then a
// longer prefix before a shorter one, then a named method before any method.
// A prefix "/a/*" matches every path that starts with "/a/"; it does not match
// "/a". Host names are compared case-insensitively and without the port.
//
// Paths are matched in the form that Normalize returns. A path that a target
// might interpret differently from this package is rejected, not repaired: a
// request matched to a route other than the one the target applies would get
// the wrong class and might be executed twice.
package routing
