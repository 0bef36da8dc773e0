package operator

import (
	"context"
	"errors"

	"hyssopbridge/burn"
	"hyssopbridge/events"
)

// Errors of Drain and Undrain.
var (
	ErrUnknownTarget   = errors.New("no node knows the target")
	ErrNotDrained      = errors.New("the target is not drained")
	ErrHostUnreachable = errors.New("the target's host node cannot be reached")
)

// Source is the node that a Handler reads.
type Source interface {
	// Status returns the fleet as the node sees it.
	Status(q StatusQuery) *Status
	// Events returns events of this node.
	Events(f events.Filter) events.Page
	// Burn returns what the node counted and what it holds of other nodes.
	Burn() *burn.Report
	// Metrics returns the metrics with fresh gauges.
	Metrics() *Metrics
	// Drain makes a target take no new work. It returns the node beside the
	// target, or one of the errors of this package.
	Drain(ctx context.Context, target string) (host string, err error)
	// Undrain ends a drain.
	Undrain(ctx context.Context, target string) (host string, err error)
	// Unhealthy returns why the node cannot serve, or "".
	Unhealthy() string
}
