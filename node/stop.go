package node

import (
	"context"
	"time"

	"hyssopbridge/registry"
)

const (
	leavePoll = 50 * time.Millisecond
	// homeDuties bounds the wait until other nodes have taken over this node's
	// home groups. It is longer than the time until a new group is active.
	homeDuties = 30 * time.Second
)

// Stop leaves the fleet: the node takes no new work for its targets, lets
// requests in flight finish until ctx ends, and then closes everything.
func (n *Node) Stop(ctx context.Context) error {
	n.leaving.Store(true)
	n.logger.Info("node is leaving")
	n.members.SetSelf(registry.Instances(n.registry.List()), true)
	n.handOver(ctx)
	err := n.listeners.shutdown(ctx, "callers", "peers")
	n.members.Leave()
	n.cancel()
	_ = n.listeners.shutdown(ctx, "announcements", "operators")
	n.server.Stop()
	n.client.Close()
	n.listeners.closeAll()
	n.toPeers.CloseIdle(true)
	n.toTargets.CloseIdle(true)
	n.logger.Info("node stopped")
	return err
}

// Kill ends the node at once, as a crash would.
func (n *Node) Kill() {
	n.cancel()
	n.members.Stop()
	n.server.Stop()
	for _, l := range n.listeners {
		if l.server != nil {
			_ = l.server.Close()
		}
	}
	n.listeners.closeAll()
	n.client.Close()
	n.toPeers.CloseIdle(true)
	n.toTargets.CloseIdle(true)
}

// handOver waits until no home group needs this node and passes on its order
// records. Without it the next homes could not tell old keys from new ones.
func (n *Node) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, homeDuties)
	defer cancel()
	for !n.orders.released(ctx) {
		if !sleep(ctx, leavePoll) {
			n.logger.Warn("stopped waiting for other nodes to take over home groups")
			return
		}
	}
}
