package mesh

import (
	"context"
	"time"
)

// SetConfig puts a configuration in force unless the current one is at least as
// new. The error says why the configuration was refused.
func (n *Node) SetConfig(raw []byte, source string) error {
	c, err := n.cfg.Decode(raw)
	if err != nil {
		n.log.configRefused(0, source, err)
		return err
	}
	n.configMu.Lock()
	defer n.configMu.Unlock()
	previous := n.config.Load()
	var previousVersion int64
	if previous != nil {
		previousVersion = previous.Version
	}
	if c.Version <= previousVersion {
		return nil
	}
	n.config.Store(&configInForce{c, raw})
	n.callerServer.setLimits(c.Limits)
	n.log.configInForce(c.Version, previousVersion, c.Routes(), source)
	if n.configReader.Load() {
		n.peers.announce(allZones)
	} else {
		n.peers.announce(ownZone)
	}
	return nil
}

const (
	// maxFetchNodes bounds the nodes that are asked for one version.
	maxFetchNodes = 3
	// crossZoneFetchDelay is how long a node that learns of a newer
	// configuration from another availability zone waits for a node of its own
	// zone to get it. A configuration with many routes takes hundreds of KB,
	// and traffic between zones is charged for.
	crossZoneFetchDelay = 250 * time.Millisecond
	// crossZoneFetchStagger is added for each live node of the zone with a
	// lower address, so that one node fetches first.
	crossZoneFetchStagger = 100 * time.Millisecond
	// maxCrossZoneFetchDelay bounds the total delay.
	maxCrossZoneFetchDelay = 850 * time.Millisecond
	// metricCrossZoneFetches counts configurations fetched from another zone.
	metricCrossZoneFetches = "mesh_config_far_reads_total"
	// firstFetchDelay replaces the delay while the node has no configuration.
	firstFetchDelay = 100 * time.Millisecond
)

// fetchConfig fetches a newer configuration from a node that has it. A fetch
// from another availability zone is delayed.
func (n *Node) fetchConfig(s versionSource) {
	if s.sameZone {
		n.startFetch(s)
		return
	}
	if !n.fetchDeferred.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(n.crossZoneFetchDelay(), func() {
		n.fetchDeferred.Store(false)
		if n.identity().Version < s.version {
			n.metrics.count(metricCrossZoneFetches)
			n.startFetch(s)
		}
	})
}

func (n *Node) crossZoneFetchDelay() time.Duration {
	if n.config.Load() == nil {
		return firstFetchDelay
	}
	return min(maxCrossZoneFetchDelay, crossZoneFetchDelay+time.Duration(n.peers.rankInZone())*crossZoneFetchStagger)
}

// startFetch fetches the configuration from a node that has it, preferably in
// the same zone. Only one fetch runs at a time.
func (n *Node) startFetch(s versionSource) {
	if !n.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetching.Store(false)
		sameZone, otherZones := n.peers.nodesWithVersion(s.version)
		n.fetchFrom(append(sameZone, otherZones...))
	}()
}

func (n *Node) fetchFrom(addrs []string) {
	for i, addr := range addrs {
		if i == maxFetchNodes {
			return
		}
		raw, err := n.remote.fetchConfig(context.Background(), addr)
		if err == nil {
			err = n.SetConfig(raw, addr)
		}
		if err == nil {
			return
		}
		n.log.configRefused(0, addr, err)
	}
}
