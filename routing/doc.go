// Package routing maps a request to a route of a service.
//
// A Table is immutable. It keeps the routes of all manifests in hash shards;
// With and Without copy only the shards that a manifest touches and share all
// others with the table before, so that one changed manifest does not cost a
// rebuild of the whole table.
//
// Of the routes that match host, path and method, the most specific one wins:
// an exact host before any host, then an exact path before a prefix, then a
// longer prefix before a shorter one, then a named method before any method.
// A prefix "/a/*" matches every path that starts with "/a/"; it does not match
// "/a". Host names compare without case and without port.
//
// Paths are matched in the form that Normalize returns. A path that a target
// might read differently from this package is refused, not repaired, because
// a request that matches another route than the target's own would be handled
// with the wrong class and might be run twice.
package routing
