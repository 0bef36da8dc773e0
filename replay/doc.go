// Package replay reads, writes, generates and scores request traces.
//
// A trace is JSON Lines in time order: a header, starts and ends of requests,
// probes, and truth lines that state what a target really is. Read checks a
// trace strictly. Run replays it into a decision core, which sees everything
// but the truth, and scores the core's decisions against the truth. Generate
// makes traces of named scenarios from a seed. Recorder writes the traffic of a
// running node in the same format.
package replay
