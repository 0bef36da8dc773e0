// Package demo runs a whole fleet in one process on loopback: the log
// stand-in, nodes in two availability zones, targets and callers. Targets and
// callers keep their own counts, and the report is made from these alone.
package demo
