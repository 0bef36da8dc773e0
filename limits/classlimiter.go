package limits

import (
	"sync/atomic"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// classShares is the share of a node's capacity up to which each class is
// admitted.
var classShares = [fleet.NumClasses]float64{
	fleet.Background:  0.6,
	fleet.Download:    0.75,
	fleet.Interactive: 0.9,
	fleet.Order:       1,
}

var errClassShed = resultcode.New(resultcode.ClassShed, "the node sheds this request class at its current load")

// ClassLimiter limits the requests in flight at a node. As the load rises it
// sheds lower classes first.
type ClassLimiter struct {
	limits   [fleet.NumClasses]int64
	inFlight atomic.Int64
}

// NewClassLimiter returns a limiter that admits up to capacity requests at once.
func NewClassLimiter(capacity int) *ClassLimiter {
	l := new(ClassLimiter)
	for c, share := range classShares {
		l.limits[c] = max(1, int64(share*float64(capacity)))
	}
	return l
}

// Acquire admits a request, or returns a *resultcode.Error with code ClassShed.
func (l *ClassLimiter) Acquire(class fleet.Class) error {
	if l.inFlight.Add(1) > l.limits[class] {
		l.inFlight.Add(-1)
		return errClassShed
	}
	return nil
}

// Release must be called once for each request that Acquire admitted, when the
// request has ended.
func (l *ClassLimiter) Release() { l.inFlight.Add(-1) }

// InFlight returns the number of admitted requests that have not ended.
func (l *ClassLimiter) InFlight() int { return int(l.inFlight.Load()) }
