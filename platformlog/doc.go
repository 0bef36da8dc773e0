// Package platformlog is the client of the platform's append-only log. The log
// keeps records by stream with ascending offsets for a limited time. It may be
// down, slow, or lose an answer after the append took effect.
package platformlog
