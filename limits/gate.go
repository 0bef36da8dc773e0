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

// ClassGate bounds the requests in flight at a node, background work first.
type ClassGate struct {
	bounds   [fleet.NumClasses]int64
	inFlight atomic.Int64
}

// NewClassGate returns a gate for the given number of requests in flight.
func NewClassGate(capacity int) *ClassGate {
	g := new(ClassGate)
	for c, share := range gateShares {
		g.bounds[c] = max(1, int64(share*float64(capacity)))
	}
	return g
}

// Enter admits a request, or returns a *resultcode.Error with ClassShed.
func (g *ClassGate) Enter(class fleet.Class) error {
	if g.inFlight.Add(1) > g.bounds[class] {
		g.inFlight.Add(-1)
		return errNodeBusy
	}
	return nil
}

// Leave ends a request that Enter admitted.
func (g *ClassGate) Leave() { g.inFlight.Add(-1) }

// InFlight returns the number of admitted requests.
func (g *ClassGate) InFlight() int { return int(g.inFlight.Load()) }
