// Package standin is a small server that replaces the platform's append-only log
// in tests and in the demo. It keeps records in memory. Options limit retention
// and append rate. Faults simulate failures of the platform: outages of reads,
// appends or both, slow responses, responses lost after the append took effect,
// and appends that a retrying middlebox delivers twice. Faults are drawn from a
// seeded generator and the clock can be set, so runs are reproducible.
package standin
