package node

import (
	"context"

	"hyssopbridge/fleet"
	"hyssopbridge/lease"
	"hyssopbridge/once"
	"hyssopbridge/peer"
)

// Bounds of one hand-over message.
const (
	handOverRecords = 500
	handOverBytes   = 512 << 10
)

type importAnswer struct {
	OK bool `cbor:"1,keyasint"`
}

func (o *orders) serveImport(_ context.Context, _ peer.Identity, b *once.Batch) (*importAnswer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return &importAnswer{OK: o.store.Import(o.n.clock(), *b)}, nil
}

// released reports whether a leaving node may stop, after passing on the
// records of services whose next group does not include it.
func (o *orders) released(ctx context.Context) bool {
	for service, group := range o.groupsWithoutSelf() {
		if !o.passRecords(ctx, service, group) {
			return false
		}
	}
	o.mu.Lock()
	pending := o.leases.Pending()
	o.mu.Unlock()
	for _, service := range pending {
		_, live := o.n.routes.service(service)
		if live && o.n.othersRun(service) {
			return false
		}
	}
	return true
}

// othersRun reports whether a live node other than this one runs the service
// and could take over its home group.
func (n *Node) othersRun(service string) bool {
	for _, e := range n.members.View().Endpoints(service) {
		if e.Node.ID != n.self.ID && e.State != fleet.Down && e.State != fleet.Draining {
			return true
		}
	}
	return false
}

// groupsWithoutSelf returns the current groups of services that this node was
// a member of and whose records it has not passed on yet.
func (o *orders) groupsWithoutSelf() map[string]lease.Group {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := map[string]lease.Group{}
	for service, chain := range o.chains {
		group := chain[len(chain)-1]
		if o.wasMember(chain) && !hasMember(group.Members, o.n.member) && o.passed[service] < group.Epoch {
			out[service] = group
		}
	}
	return out
}

func (o *orders) wasMember(chain []lease.Group) bool {
	for _, g := range chain[:len(chain)-1] {
		if hasMember(g.Members, o.n.member) {
			return true
		}
	}
	return false
}

func hasMember(members []fleet.Member, m fleet.Member) bool {
	for _, x := range members {
		if x == m {
			return true
		}
	}
	return false
}

// passRecords sends the records of a service to the members of its next group.
// false means that it has to be tried again.
func (o *orders) passRecords(ctx context.Context, service string, group lease.Group) bool {
	for _, to := range group.Members {
		o.mu.Lock()
		o.store.Close(service, group.Epoch)
		batches, ok := o.store.Export(o.n.clock(), service, group, to, handOverRecords, handOverBytes)
		o.mu.Unlock()
		if !ok || !o.sendBatches(ctx, to.Node, batches) {
			return false
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.passed[service] = group.Epoch
	return true
}

func (o *orders) sendBatches(ctx context.Context, node string, batches []once.Batch) bool {
	for i := range batches {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		resp, err := call[once.Batch, importAnswer](ctx, o.n, node, methodImport, &batches[i])
		cancel()
		if err != nil || !resp.OK {
			return false
		}
	}
	return true
}
