package node

import (
	"context"
	"fmt"

	"hyssopbridge/events"
	"hyssopbridge/operator"
	"hyssopbridge/peer"
)

// drainRequest asks the host node of a target to begin or end its drain.
type drainRequest struct {
	Target string `cbor:"1,keyasint"`
	Undo   bool   `cbor:"2,keyasint,omitempty"`
}

type drainResponse struct {
	NotDrained bool `cbor:"1,keyasint,omitempty"`
}

// Drain implements operator.Source.
func (o *operatorSource) Drain(ctx context.Context, target string) (string, error) {
	return o.forwardDrain(ctx, &drainRequest{Target: target})
}

// Undrain implements operator.Source.
func (o *operatorSource) Undrain(ctx context.Context, target string) (string, error) {
	return o.forwardDrain(ctx, &drainRequest{Target: target, Undo: true})
}

// forwardDrain carries out a request on the host node of its target and returns
// the ID of that node.
func (o *operatorSource) forwardDrain(ctx context.Context, r *drainRequest) (string, error) {
	hostNode, ok := o.hostNodeOf(r.Target)
	if !ok {
		return "", fmt.Errorf("%w: %s", operator.ErrUnknownTarget, r.Target)
	}
	response := &drainResponse{}
	var err error
	if hostNode == o.n.self.ID {
		response, err = o.drainLocal(r)
	} else {
		response, err = call[drainRequest, drainResponse](ctx, o.n, hostNode, methodDrain, r)
		if err != nil {
			err = fmt.Errorf("%w: %s: %w", operator.ErrHostUnreachable, hostNode, err)
		}
	}
	if err != nil {
		return hostNode, err
	}
	if response.NotDrained {
		return hostNode, fmt.Errorf("%w: %s", operator.ErrNotDrained, r.Target)
	}
	return hostNode, nil
}

// hostNodeOf returns the ID of a target's host node. A target that is no longer
// announced is found only on the node that keeps its drain.
func (o *operatorSource) hostNodeOf(target string) (node string, ok bool) {
	if _, here := o.n.localTargets.Lookup(target); here {
		return o.n.self.ID, true
	}
	for _, id := range o.n.registry.Drains() {
		if id == target {
			return o.n.self.ID, true
		}
	}
	for _, v := range o.n.members.View().Nodes() {
		for i := range v.Instances {
			if v.Instances[i].ID == target {
				return v.ID, true
			}
		}
	}
	return "", false
}

func (o *operatorSource) serveDrain(_ context.Context, _ peer.Identity, r *drainRequest) (*drainResponse, error) {
	return o.drainLocal(r)
}

func (o *operatorSource) drainLocal(r *drainRequest) (*drainResponse, error) {
	e := events.Event{Kind: events.Drain, Target: r.Target, Reason: "drained by an operator"}
	if t, ok := o.n.localTargets.Lookup(r.Target); ok {
		e.Service = t.Service
	}
	if r.Undo {
		e.Reason = "drain ended by an operator"
		if !o.n.registry.Undrain(r.Target) {
			return &drainResponse{NotDrained: true}, nil
		}
	} else if err := o.n.registry.Drain(r.Target); err != nil {
		return nil, err
	}
	o.events.Add(e)
	o.n.logger.WithField("target", r.Target).Info(e.Reason)
	return &drainResponse{}, nil
}
