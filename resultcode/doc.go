// Package resultcode defines the numbered result codes that the fleet gives to
// callers and operators. Every code states whether the request may have run at
// a target, so that a caller can decide whether a resend is safe.
package resultcode
