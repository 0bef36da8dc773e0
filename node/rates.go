package node

import (
	"context"
	"time"

	"hyssopbridge/internal/loop"
	"hyssopbridge/limits"
	"hyssopbridge/peer"
)

const (
	rateSweepInterval = 20 * time.Millisecond
	rateBatchDelay    = 5 * time.Millisecond // collects requests into one message
	rateTimeout       = 200 * time.Millisecond
)

type rateRequest struct {
	Requests []limits.RateRequest `cbor:"1,keyasint"`
}

type rateResponse struct {
	Grants []limits.RateGrant `cbor:"1,keyasint"`
}

// runRates sends the rate limiter's requests for grants to the owners of the keys.
func (n *Node) runRates(ctx context.Context) {
	loop.OnWake(ctx, rateSweepInterval, func() { n.rates.Sweep(n.clock()) }, n.rates.Wake(), func() {
		sleep(ctx, rateBatchDelay)
		for _, batch := range n.rates.Due(n.clock()) {
			go n.requestGrants(ctx, batch)
		}
	})
}

func (n *Node) requestGrants(ctx context.Context, batch limits.RateBatch) {
	ctx, cancel := context.WithTimeout(ctx, rateTimeout)
	defer cancel()
	resp, err := call[rateRequest, rateResponse](ctx, n, batch.Owner, methodRates, &rateRequest{Requests: batch.Requests})
	if err == nil {
		n.rates.HandleGrants(n.clock(), resp.Grants)
	}
}

func (n *Node) serveRates(_ context.Context, _ peer.Identity, req *rateRequest) (*rateResponse, error) {
	return &rateResponse{Grants: n.rates.HandleRequests(n.clock(), req.Requests)}, nil
}
