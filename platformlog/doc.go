// Package platformlog is a client for the platform's append-only log. The log
// retains the records of each stream, with ascending offsets, for a limited
// time. It may be unavailable or slow, and the response to an append may be lost
// after the append took effect.
package platformlog
