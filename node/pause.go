package node

import (
	"context"
	"sync/atomic"
	"time"

	"hyssopbridge/resultcode"
)

const (
	pauseBeat = 100 * time.Millisecond
	// maxPause is the longest gap between beats that does not count as a pause
	// of the process. It equals the validity of a lease confirmation.
	maxPause = 3 * time.Second
	// confirmLimit bounds the refusal of work after a pause. A node that
	// reaches no peer serves what it knows, as during any partition.
	confirmLimit = 2 * time.Second
	confirmPeers = 3 // peers asked at once
)

var errPaused = resultcode.New(resultcode.StaleConfiguration, "the node was paused and has not confirmed its configuration yet")

var errSuperseded = resultcode.New(resultcode.StaleConfiguration, "a later process has the ID of this node")

// supersede ends the work of this process: a node ID names one process, and
// records and leases of the earlier one no longer count.
func (n *Node) supersede(later int64) {
	if !n.pause.superseded.Swap(true) {
		n.logger.WithField("incarnation", later).Error("a later process has the ID of this node; this one refuses all work and should be stopped")
	}
}

// pauseGuard notices that the process was paused, and refuses work until a
// peer has confirmed that the configuration is current. A node that slept
// through a withdrawal would otherwise serve the mandate when it wakes.
type pauseGuard struct {
	n          *Node
	beat       atomic.Int64 // node clock at the last beat, ns
	confirming atomic.Bool
	superseded atomic.Bool // a later process has this node's ID
}

// check returns an error while the configuration may be out of date.
func (g *pauseGuard) check() error {
	if g.superseded.Load() {
		return errSuperseded
	}
	if g.confirming.Load() || g.n.clock()-time.Duration(g.beat.Load()) > maxPause {
		return errPaused
	}
	return nil
}

func (g *pauseGuard) run(ctx context.Context) {
	for sleep(ctx, pauseBeat) {
		now := g.n.clock()
		if now-time.Duration(g.beat.Load()) > maxPause {
			g.confirming.Store(true)
			go g.confirm(ctx)
		}
		g.beat.Store(int64(now))
	}
}

// confirm asks peers for newer state and ends the refusal once this node has
// the version of one of them, or after the limit.
func (g *pauseGuard) confirm(ctx context.Context) {
	defer g.confirming.Store(false)
	g.n.logger.Warn("the process was paused; confirming the configuration")
	ctx, cancel := context.WithTimeout(ctx, confirmLimit)
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
		g.await(ctx, version)
	}
}

// await waits until traffic is matched against the version.
func (g *pauseGuard) await(ctx context.Context, version int64) {
	for g.n.routes.Version() < version && sleep(ctx, pauseBeat/10) {
	}
}
