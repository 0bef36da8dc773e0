package node

import (
	"context"
	"time"

	"hyssopbridge/internal/loop"
	"hyssopbridge/limits"
	"hyssopbridge/peer"
)

const (
	rateSweep   = 20 * time.Millisecond
	rateGather  = 5 * time.Millisecond // joins asks into one message
	rateTimeout = 200 * time.Millisecond
)

type rateRequest struct {
	Asks []limits.RateRequest `cbor:"1,keyasint"`
}

type rateAnswer struct {
	Grants []limits.RateGrant `cbor:"1,keyasint"`
}

// runRates sends the asks of the rate limiter to the owners of the keys.
func (n *Node) runRates(ctx context.Context) {
	loop.OnWake(ctx, rateSweep, func() { n.rates.Sweep(n.clock()) }, n.rates.Wake(), func() {
		sleep(ctx, rateGather)
		for _, batch := range n.rates.Due(n.clock()) {
			go n.askRates(ctx, batch)
		}
	})
}

func (n *Node) askRates(ctx context.Context, batch limits.RateBatch) {
	ctx, cancel := context.WithTimeout(ctx, rateTimeout)
	defer cancel()
	resp, err := call[rateRequest, rateAnswer](ctx, n, batch.Owner, methodRates, &rateRequest{Asks: batch.Requests})
	if err == nil {
		n.rates.HandleGrants(n.clock(), resp.Grants)
	}
}

func (n *Node) serveRates(_ context.Context, _ peer.Identity, req *rateRequest) (*rateAnswer, error) {
	return &rateAnswer{Grants: n.rates.HandleRequests(n.clock(), req.Asks)}, nil
}
