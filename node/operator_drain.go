package node

import (
	"context"
	"fmt"

	"hyssopbridge/events"
	"hyssopbridge/operator"
	"hyssopbridge/peer"
)

// drainRequest asks the node beside a target to begin or end its drain.
type drainRequest struct {
	Target string `cbor:"1,keyasint"`
	Undo   bool   `cbor:"2,keyasint,omitempty"`
}

type drainAnswer struct {
	NotDrained bool `cbor:"1,keyasint,omitempty"`
}

// Drain implements operator.Source.
func (o *operators) Drain(ctx context.Context, target string) (string, error) {
	return o.passDrain(ctx, &drainRequest{Target: target})
}

// Undrain implements operator.Source.
func (o *operators) Undrain(ctx context.Context, target string) (string, error) {
	return o.passDrain(ctx, &drainRequest{Target: target, Undo: true})
}

// passDrain sends the request to the node beside the target.
func (o *operators) passDrain(ctx context.Context, r *drainRequest) (string, error) {
	host, ok := o.hostOf(r.Target)
	if !ok {
		return "", fmt.Errorf("%w: %s", operator.ErrUnknownTarget, r.Target)
	}
	answer := &drainAnswer{}
	var err error
	if host == o.n.self.ID {
		answer, err = o.drainHere(r)
	} else {
		answer, err = call[drainRequest, drainAnswer](ctx, o.n, host, methodDrain, r)
		if err != nil {
			err = fmt.Errorf("%w: %s: %w", operator.ErrHostUnreachable, host, err)
		}
	}
	if err != nil {
		return host, err
	}
	if answer.NotDrained {
		return host, fmt.Errorf("%w: %s", operator.ErrNotDrained, r.Target)
	}
	return host, nil
}

// hostOf returns the node beside a target. A drain of an unannounced target is
// ended by the node that keeps it.
func (o *operators) hostOf(target string) (node string, ok bool) {
	if _, here := o.n.local.Lookup(target); here {
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

func (o *operators) serveDrain(_ context.Context, _ peer.Identity, r *drainRequest) (*drainAnswer, error) {
	return o.drainHere(r)
}

func (o *operators) drainHere(r *drainRequest) (*drainAnswer, error) {
	e := events.Event{Kind: events.Drain, Target: r.Target, Reason: "drained by an operator"}
	if t, ok := o.n.local.Lookup(r.Target); ok {
		e.Service = t.Service
	}
	if r.Undo {
		e.Reason = "drain ended by an operator"
		if !o.n.registry.Undrain(r.Target) {
			return &drainAnswer{NotDrained: true}, nil
		}
	} else if err := o.n.registry.Drain(r.Target); err != nil {
		return nil, err
	}
	o.events.Add(e)
	o.n.logger.WithField("target", r.Target).Info(e.Reason)
	return &drainAnswer{}, nil
}
