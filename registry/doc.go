// Package registry tracks the targets that announce themselves to the node on
// their host.
//
// A target posts its state to /v1/announce about every second. It is Down after
// AnnounceTimeout without an announcement, and removed RemoveAfter later. An
// operator may drain a target; until the drain ends, its state is Draining,
// whatever it announces. Drains also apply to targets that are not announced at
// the moment, so that a restart of the target does not end its drain.
//
// Core implements these rules without I/O. Registry adds a lock and a clock,
// and Handler accepts announcements over HTTP.
package registry
