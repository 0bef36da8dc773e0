// Package resultcode defines the numbered result codes that the fleet returns to
// callers and operators. Every code states whether a target may have run the
// request, so that the caller can decide whether a retry is safe.
package resultcode
