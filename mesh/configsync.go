package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"hyssopbridge/config/dynamic"
)

// configInForce is a configuration with the forms in which other nodes get it.
type configInForce struct {
	*dynamic.Config
	encoded encodedConfig
}

// SetConfig puts a configuration in force unless the current one is at least as
// new. The error says why the configuration was refused.
func (n *Node) SetConfig(raw []byte, source string) error {
	return n.setConfig(newEncodedConfig(raw), source)
}

func (n *Node) setConfig(encoded encodedConfig, source string) error {
	begin := time.Now()
	c, err := n.cfg.Decode(encoded.raw)
	decoding := time.Since(begin)
	if err != nil {
		n.metrics.count(metricConfigsRefused)
		n.log.configRefused(n.identity().Version, source, err)
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
	n.config.Store(&configInForce{c, encoded})
	n.callerServer.setLimits(c.Limits)
	n.log.configInForce(c.Version, previousVersion, c.Routes(), len(encoded.raw), decoding, source)
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
	// fetchHedgeDelay is how long a transfer may make no progress before another
	// node is asked as well.
	fetchHedgeDelay = 250 * time.Millisecond
	// busySourceDelay is the mean pause before busy nodes are asked again.
	busySourceDelay = 100 * time.Millisecond
	// busyZoneWait is how long a node prefers busy nodes of its availability zone to
	// those of others.
	busyZoneWait = 500 * time.Millisecond
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
	// metricConfigBytesSent and metricConfigBytesReceived count the bytes of
	// configurations in transfers between nodes, with those of failed ones.
	metricConfigBytesSent     = "mesh_config_bytes_total.sent"
	metricConfigBytesReceived = "mesh_config_bytes_total.received"
	// metricConfigsRefused counts configurations that could not be decoded or are
	// invalid. The node goes on with the version in force.
	metricConfigsRefused = "mesh_config_refused_total"
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

// startFetch fetches the configuration from nodes that have it, preferably in
// the same zone. Only one fetch runs at a time. It goes on with versions that nodes
// of the zone announced meanwhile.
func (n *Node) startFetch(s versionSource) {
	if !n.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetching.Store(false)
		for version := s.version; n.identity().Version < version; version = n.peers.newestVersionInZone() {
			before := n.identity().Version
			n.fetchVersion(version)
			if n.identity().Version == before {
				return // heartbeats of nodes that have the version begin another fetch
			}
		}
	}()
}

// fetchVersion gets a version from other nodes, see configFetch.
func (n *Node) fetchVersion(version int64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel() // ends the transfers that are still running
	f := &configFetch{
		node: n, version: version, begin: time.Now(), asked: map[string]bool{}, busy: map[string]bool{},
		ended: make(chan fetchEnd, maxFetchNodes), progress: make(chan struct{}, 1),
	}
	f.run(ctx)
}

// configFetch asks nodes that have a version one after another until it is in
// force. The next one is asked if a node fails or makes no progress for
// fetchHedgeDelay: it may have stopped after it announced the version. A transfer
// that proceeds is not doubled, since both would share the link of this node.
type configFetch struct {
	node    *Node
	version int64
	begin   time.Time
	asked   map[string]bool // nodes whose transfer failed or is running
	busy    map[string]bool // nodes that sent to others when they were last asked
	running int
	ended   chan fetchEnd
	// progress receives a value when a transfer proceeds.
	progress chan struct{}
}

type fetchEnd struct {
	addr string
	err  error
}

func (f *configFetch) run(ctx context.Context) {
	for f.isBehind() {
		if addr, ok := f.nextSource(); ok {
			f.start(ctx, addr)
		}
		switch {
		case f.running > 0:
			f.awaitEndOrStall()
		case len(f.busy) > 0:
			time.Sleep(busySourceDelay/2 + rand.N(busySourceDelay))
			clear(f.busy)
		default:
			return // heartbeats of nodes that have the version begin another fetch
		}
	}
}

func (f *configFetch) isBehind() bool { return f.node.identity().Version < f.version }

func (f *configFetch) start(ctx context.Context, addr string) {
	f.asked[addr] = true
	f.running++
	go func() {
		f.ended <- fetchEnd{addr, f.node.fetchFrom(ctx, addr, f.noteProgress)}
	}()
}

func (f *configFetch) noteProgress() {
	select {
	case f.progress <- struct{}{}:
	default:
	}
}

// awaitEndOrStall waits until a transfer has ended or none has made progress for
// fetchHedgeDelay.
func (f *configFetch) awaitEndOrStall() {
	timer := time.NewTimer(fetchHedgeDelay)
	defer timer.Stop()
	for {
		select {
		case end := <-f.ended:
			f.running--
			if errors.Is(end.err, errConfigBusy) {
				delete(f.asked, end.addr)
				f.busy[end.addr] = true
			}
			return
		case <-f.progress:
			timer.Reset(fetchHedgeDelay)
		case <-timer.C:
			clear(f.busy)
			return
		}
	}
}

// nextSource returns a node to ask. Other availability zones come last: while
// nodes of the own one are only busy, they are asked after busyZoneWait.
func (f *configFetch) nextSource() (string, bool) {
	if len(f.asked) == maxFetchNodes {
		return "", false
	}
	sameZone, otherZones := f.node.peers.nodesWithVersion(f.version)
	candidates := sameZone
	if len(f.busy) == 0 || time.Since(f.begin) > busyZoneWait {
		candidates = append(candidates, otherZones...)
	}
	for _, addr := range candidates {
		if !f.asked[addr] && !f.busy[addr] {
			return addr, true
		}
	}
	return "", false
}

// fetchFrom fetches the configuration in force at another node and puts it in
// force.
func (n *Node) fetchFrom(ctx context.Context, addr string, onProgress func()) error {
	begin := time.Now()
	config, received, err := n.remote.fetchConfig(ctx, addr, onProgress)
	switch {
	case err == nil:
		return n.setConfig(config, addr) // counts and logs a refused configuration
	case ctx.Err() != nil, errors.Is(err, errConfigBusy): // the version came from elsewhere, or will
	default:
		n.log.configNotFetched(n.identity().Version, addr, received, time.Since(begin), err)
	}
	return err
}
