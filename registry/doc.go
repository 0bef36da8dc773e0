// Package registry keeps the targets that announce themselves to the node on
// their host.
//
// A target posts its state to /v1/announce about every second. After
// AnnounceTimeout without an announcement it is Down, and it is forgotten
// RemoveAfter later. An operator may drain a target; it then is Draining, whatever
// it announces, until undrain. Drains are kept for targets that are not
// announced too, so that a restart of the target does not end one.
//
// Core holds the rules and no I/O; Registry adds a lock and a clock, and Handler
// serves the announcements over HTTP.
package registry
