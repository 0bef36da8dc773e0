// Package standin is a small server that takes the place of the platform's
// append-only log in tests and in the demo. It keeps records in memory. Options
// limit retention and append rate; Faults make it fail as the platform may:
// outages, in one direction or both, slow answers, answers lost after the
// append took effect, and appends that a retrying middlebox delivers twice.
// Faults are drawn from a seed and the clock is given, so runs can be repeated.
package standin
