package operator

import (
	"context"
	"errors"

	"hyssopbridge/burn"
	"hyssopbridge/events"
)

// Errors returned by Source.Drain and Source.Undrain.
var (
	ErrUnknownTarget   = errors.New("no node knows the target")
	ErrNotDrained      = errors.New("the target is not drained")
	ErrHostUnreachable = errors.New("the target's host node cannot be reached")
)

// Source is the node whose API a Handler serves.
type Source interface {
	// Status returns the fleet as the node sees it.
	Status(q StatusQuery) *Status
	// Events returns the events of this node that match f.
	Events(f events.Filter) events.Page
	// Burn returns the node's own request counts and its replicas of the counts
	// of other nodes.
	Burn() *burn.Report
	// Metrics updates the gauges and returns the metrics.
	Metrics() *Metrics
	// Drain stops new requests to a target. It returns the target's host node, or
	// one of the errors of this package.
	Drain(ctx context.Context, target string) (host string, err error)
	// Undrain ends a drain.
	Undrain(ctx context.Context, target string) (host string, err error)
	// Unhealthy returns the reason why the node cannot serve requests, or "".
	Unhealthy() string
}
