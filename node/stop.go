package node

import (
	"context"
	"time"

	"hyssopbridge/registry"
)

const (
	handoverPollInterval = 50 * time.Millisecond
	// handoverTimeout is the longest time that Stop waits for other nodes to take
	// over this node's home groups. It exceeds the time until a new group is active.
	handoverTimeout = 30 * time.Second
)

// Stop drains the node and leaves the fleet: the node takes no new requests for
// its targets, waits for requests in flight until they or ctx end, and then closes
// everything.
func (n *Node) Stop(ctx context.Context) error {
	n.draining.Store(true)
	n.logger.Info("node is draining before it leaves the fleet")
	n.members.SetSelf(registry.Instances(n.registry.List()), true)
	n.awaitHandover(ctx)
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

// Kill stops the node at once, like a crash.
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

// awaitHandover hands over the records of keyed requests and waits until no home
// group needs this node. Without the records, the next home nodes could not
// distinguish used keys from new ones.
func (n *Node) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for !n.home.handoverComplete(ctx) {
		if !sleep(ctx, handoverPollInterval) {
			n.logger.Warn("stopped waiting for other nodes to take over home groups")
			return
		}
	}
}
