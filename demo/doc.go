// Package demo runs a complete fleet in one process on loopback: a stand-in for
// the log, nodes in two availability zones, targets and callers. Targets and
// callers keep their own counts, and the report is based only on these counts.
package demo
