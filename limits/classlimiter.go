package limits

import (
	"sync/atomic"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

// gateShares is the part of a node's capacity up to which a class is admitted.
var gateShares = [fleet.NumClasses]float64{
	fleet.Background:  0.6,
	fleet.Download:    0.75,
	fleet.Interactive: 0.9,
	fleet.Order:       1,
}

var errNodeBusy = resultcode.New(resultcode.ClassShed, "the node refuses this class under its present load")

// ClassLimiter bounds the requests in flight at a node, background work first.
type ClassLimiter struct {
	bounds   [fleet.NumClasses]int64
	inFlight atomic.Int64
}

// NewClassLimiter returns a limiter for the given number of requests in flight.
func NewClassLimiter(capacity int) *ClassLimiter {
	g := new(ClassLimiter)
	for c, share := range gateShares {
		g.bounds[c] = max(1, int64(share*float64(capacity)))
	}
	return g
}

// Acquire admits a request, or returns a *resultcode.Error with ClassShed.
func (g *ClassLimiter) Acquire(class fleet.Class) error {
	if g.inFlight.Add(1) > g.bounds[class] {
		g.inFlight.Add(-1)
		return errNodeBusy
	}
	return nil
}

// Release ends a request that Acquire admitted.
func (g *ClassLimiter) Release() { g.inFlight.Add(-1) }

// InFlight returns the number of admitted requests.
func (g *ClassLimiter) InFlight() int { return int(g.inFlight.Load()) }
