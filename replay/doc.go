// Package replay generates, reads, writes and records request traces, and scores
// a failure detector on them.
//
// A trace is a file of JSON Lines in order of time: a header, starts and ends of
// requests, probes, and truth lines that state the actual state of a target.
// Read checks a trace strictly. Run replays it into a detector, which sees
// everything but the truth lines, and scores the detector's decisions against
// them. Generate makes traces of named scenarios from a seed. Recorder writes
// the traffic of a running node in the same format.
package replay
