// Package standin is a small server that takes the place of the platform's
// append-only log in tests and in the demo. It keeps records in memory.
package standin
