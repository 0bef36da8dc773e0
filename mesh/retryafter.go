package mesh

import (
	"errors"
	"math/rand/v2"
	"time"

	"hyssopbridge/config/dynamic"
)

const (
	// defaultRetryAfter is the wait suggested to a caller whose request was
	// refused, if nothing is known of the service's queues. In this time most
	// ejected targets return.
	defaultRetryAfter = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the suggested wait.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// refusedError is the error of a request for which the dispatcher got no
// response, with the time after which its caller may try again.
type refusedError struct {
	err        error
	retryAfter time.Duration
}

// Error implements error.
func (e refusedError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e refusedError) Unwrap() error { return e.err }

// retryAfterOf returns the wait to suggest to the caller of a failed request.
func retryAfterOf(err error) time.Duration {
	var refused refusedError
	if errors.As(err, &refused) {
		return refused.retryAfter
	}
	return defaultRetryAfter
}

// retryAfter returns when a caller whose request was refused may try again: after
// the time that the queues of the service need, and up to twice that, so that
// callers which are refused together return one after the other.
func (d *dispatcher) retryAfter(route *dynamic.Route, service string) time.Duration {
	wait, ok := d.view.TimeToSlot(service, d.latencies.expected(route))
	if !ok {
		wait = defaultRetryAfter
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(rand.Int64N(int64(wait)))
}
