// Package burn measures the service-level objectives of services.
//
// A request is good if it was answered in time, completely and once. A Recorder
// counts the requests of one node in intervals of one minute and of one hour, by
// service and class. It also tracks the targets and customers with the most bad
// requests. An interval is identified by its node, the incarnation of the
// process, its start, its length and its part. Its counts only grow, and its
// version increases with every change. A Report is a set of intervals. Merging
// keeps the interval with the higher version, so merging is idempotent and does
// not depend on the order.
//
// Intervals are kept in packed form. A Store holds packed intervals within a
// memory limit and drops the oldest first. A Summary states how much of the
// objective's window its intervals cover.
package burn
