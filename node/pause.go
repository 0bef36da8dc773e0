package node

import (
	"context"
	"sync/atomic"
	"time"

	"hyssopbridge/resultcode"
)

const (
	heartbeatInterval = 100 * time.Millisecond
	// maxPause is the longest gap between heartbeats that does not count as a
	// pause of the process. It equals the validity of a lease confirmation.
	maxPause = 3 * time.Second
	// confirmTimeout is the longest time for which a node refuses requests after a
	// pause. A node that reaches no peer then serves the configuration that it
	// knows, as during any partition.
	confirmTimeout = 2 * time.Second
	confirmPeers   = 3 // number of peers asked concurrently
)

var errPaused = resultcode.New(resultcode.StaleConfiguration, "the node was paused and has not yet confirmed its configuration")

var errSuperseded = resultcode.New(resultcode.StaleConfiguration, "a later process uses the ID of this node")

// supersede makes this process refuse all requests, because a later process uses
// its node ID. A node ID belongs to one process; records and leases of the earlier
// one are no longer valid.
func (n *Node) supersede(later int64) {
	if !n.pauseGuard.superseded.Swap(true) {
		n.logger.WithField("incarnation", later).Error("a later process uses the ID of this node; this one refuses all requests and should be stopped")
	}
}

// pauseGuard detects that the process was paused and refuses requests until a peer
// has confirmed that the configuration is current. Otherwise a node that was
// paused while a mandate was withdrawn would serve it after the pause.
type pauseGuard struct {
	n             *Node
	lastHeartbeat atomic.Int64 // time of the last heartbeat on the node's clock, ns
	confirming    atomic.Bool
	superseded    atomic.Bool // a later process uses this node's ID
}

// check returns an error while the configuration may be out of date or another
// process uses this node's ID.
func (g *pauseGuard) check() error {
	if g.superseded.Load() {
		return errSuperseded
	}
	if g.confirming.Load() || g.n.clock()-time.Duration(g.lastHeartbeat.Load()) > maxPause {
		return errPaused
	}
	return nil
}

func (g *pauseGuard) run(ctx context.Context) {
	for sleep(ctx, heartbeatInterval) {
		now := g.n.clock()
		if now-time.Duration(g.lastHeartbeat.Load()) > maxPause {
			g.confirming.Store(true)
			go g.confirm(ctx)
		}
		g.lastHeartbeat.Store(int64(now))
	}
}

// confirm fetches newer state from peers. It ends the refusal once this node has
// the configuration version of one of them, or after confirmTimeout.
func (g *pauseGuard) confirm(ctx context.Context) {
	defer g.confirming.Store(false)
	g.n.logger.Warn("the process was paused; confirming the configuration")
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	peers := g.n.livePeers()
	versions := make(chan int64, confirmPeers)
	for _, node := range peers[:min(confirmPeers, len(peers))] {
		go func() {
			u, err := g.n.FetchState(ctx, node, g.n.watcher.Current().Version)
			if err != nil {
				return
			}
			g.n.watcher.PeerUpdate(node, u)
			versions <- u.To
		}()
	}
	if len(peers) == 0 {
		return
	}
	select {
	case <-ctx.Done():
	case version := <-versions:
		g.awaitVersion(ctx, version)
	}
}

// awaitVersion waits until the version is in force for requests, or ctx ends.
func (g *pauseGuard) awaitVersion(ctx context.Context, version int64) {
	for g.n.routes.Version() < version && sleep(ctx, heartbeatInterval/10) {
	}
}
