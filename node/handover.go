package node

import (
	"context"

	"hyssopbridge/fleet"
	"hyssopbridge/lease"
	"hyssopbridge/once"
	"hyssopbridge/peer"
)

// Limits of one handover message.
const (
	maxHandoverRecords = 500
	maxHandoverBytes   = 512 << 10
)

type importResponse struct {
	OK bool `cbor:"1,keyasint"`
}

func (h *homeState) serveImport(_ context.Context, _ peer.Identity, b *once.Batch) (*importResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &importResponse{OK: h.store.Import(h.n.clock(), *b)}, nil
}

// handoverComplete hands over the records of the services whose current home
// group does not include this node, and reports whether a draining node may stop.
func (h *homeState) handoverComplete(ctx context.Context) bool {
	for service, group := range h.groupsToHandOver() {
		if !h.handOver(ctx, service, group) {
			return false
		}
	}
	h.mu.Lock()
	pending := h.leases.Pending()
	h.mu.Unlock()
	for _, service := range pending {
		_, live := h.n.routes.service(service)
		if live && h.n.runsElsewhere(service) {
			return false
		}
	}
	return true
}

// runsElsewhere reports whether another node has a target of the service that is
// neither down nor draining, so that it could become the home node.
func (n *Node) runsElsewhere(service string) bool {
	for _, e := range n.members.View().Endpoints(service) {
		if e.Node.ID != n.self.ID && e.State != fleet.Down && e.State != fleet.Draining {
			return true
		}
	}
	return false
}

// groupsToHandOver returns the current home groups without this node of the
// services that have an earlier group with it and whose records it has not handed
// over yet.
func (h *homeState) groupsToHandOver() map[string]lease.Group {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]lease.Group{}
	for service, chain := range h.chains {
		group := chain[len(chain)-1]
		if h.wasMember(chain) && !containsMember(group.Members, h.n.member) && h.handedOver[service] < group.Epoch {
			out[service] = group
		}
	}
	return out
}

func (h *homeState) wasMember(chain []lease.Group) bool {
	for _, g := range chain[:len(chain)-1] {
		if containsMember(g.Members, h.n.member) {
			return true
		}
	}
	return false
}

func containsMember(members []fleet.Member, m fleet.Member) bool {
	for _, x := range members {
		if x == m {
			return true
		}
	}
	return false
}

// handOver sends the records of a service to the members of its current home
// group. It returns false if it has to be called again.
func (h *homeState) handOver(ctx context.Context, service string, group lease.Group) bool {
	for _, to := range group.Members {
		h.mu.Lock()
		h.store.Close(service, group.Epoch)
		batches, ok := h.store.Export(h.n.clock(), service, group, to, maxHandoverRecords, maxHandoverBytes)
		h.mu.Unlock()
		if !ok || !h.sendBatches(ctx, to.Node, batches) {
			return false
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handedOver[service] = group.Epoch
	return true
}

func (h *homeState) sendBatches(ctx context.Context, node string, batches []once.Batch) bool {
	for i := range batches {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := call[once.Batch, importResponse](ctx, h.n, node, methodImport, &batches[i])
		cancel()
		if err != nil || !resp.OK {
			return false
		}
	}
	return true
}
