package mesh

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"hyssopbridge/admission"
	"hyssopbridge/config/dynamic"
	"hyssopbridge/internal/clock"
	"hyssopbridge/internal/drain"
	"hyssopbridge/internal/loop"
	"hyssopbridge/limits"
	"hyssopbridge/placement"
	"hyssopbridge/upstream"
)

// Config holds what a node needs to start. Values that may change while it runs
// are set by the methods of Node.
type Config struct {
	Zone       string
	CallerAddr string // listener for callers, IP:port
	NodeAddr   string // address at which other nodes reach this one, IP:port
	GossipAddr string // listener for datagrams between nodes, IP:port
	// NodeListenAddr is the listener for requests between nodes; NodeAddr if empty.
	NodeListenAddr string
	Headers        Headers
	// Decode converts a configuration from the source's format.
	Decode func(raw []byte) (*dynamic.Config, error)
	// OnDepartures is called with the departures of this host that another node
	// holds, and whether that node knew an earlier process of this one. It may be
	// nil.
	OnDepartures func(held []Departure, knewEarlier bool)
	// OnStoreEra is called when the node learns of a later era of the store, from
	// the store or from another node. It may be nil.
	OnStoreEra func(era int64)
	Log        log.Interface
	Seed       uint64
	// Resources is what the process may use.
	Resources Resources
	// Clock includes the time for which the machine was suspended; clock.SinceBoot
	// if nil.
	Clock func() time.Duration
}

// Node is the data path of one host.
type Node struct {
	cfg          Config
	log          *eventLog
	wallStart    time.Time     // wall-clock time of the start
	clockStart   time.Duration // start by cfg.Clock
	metrics      *metrics
	gate         *admission.Gate
	view         *placement.View
	peers        *peers
	quotas       *quotas
	suspension   *suspension
	hostNode     *hostNode
	entryNode    *entryNode
	remote       *nodeClient
	targetClient *upstream.Client
	callerServer *callerServer
	resources    *resources
	nodeServer   *nodeServer

	config   atomic.Pointer[configInForce]
	configMu sync.Mutex
	fetching atomic.Bool
	// configTransfers holds a value for each transfer of the configuration to
	// another node.
	configTransfers chan struct{}
	fetchDeferred   atomic.Bool // a fetch from another availability zone waits for its delay
	service         atomic.Pointer[string]
	retryPolicy     atomic.Pointer[RetryPolicy]
	announced       atomic.Pointer[announcedState]
	configReader    atomic.Bool
	storeEra        atomic.Int64
	stopping        atomic.Bool
	shutdown        *shutdown
	waiting         context.Context // ends when requests may no longer wait for a target
	endWaiting      context.CancelFunc
	cancel          context.CancelFunc
}

// New returns a node that has not been started.
func New(cfg Config) *Node {
	if cfg.Clock == nil {
		cfg.Clock = clock.SinceBoot
	}
	n := &Node{cfg: cfg, log: &eventLog{cfg.Log}, wallStart: time.Now(), clockStart: cfg.Clock(), metrics: newMetrics(), configTransfers: make(chan struct{}, maxConfigTransfers)}
	empty := ""
	n.service.Store(&empty)
	n.retryPolicy.Store(&RetryPolicy{})
	n.gate = admission.NewGate(n.now, admission.DefaultDetectorConfig(), n.statusChanged)
	n.view = placement.NewView(placement.DefaultConfig(cfg.NodeAddr, cfg.Zone), n.now, cfg.Seed)
	n.peers = &peers{
		now: n.now, heartbeat: n.heartbeat, identity: n.identity, view: n.view, calls: newFleetCalls(), log: n.log, metrics: n.metrics, onNewerConfig: n.fetchConfig, onStoreEra: func(era int64) { n.raiseStoreEra(era) },
		departures: &ownDepartures{}, onHeld: cfg.OnDepartures,
		byAddr: map[netip.AddrPort]*peer{}, notify: make(chan scope, notifyQueue), readerChanged: make(chan struct{}, 1),
	}
	n.quotas = &quotas{
		core: limits.NewQuotas(cfg.GossipAddr, cfg.Zone, QuotaPolicy{}, n.now()), now: n.now, session: n.wallStart.UnixMilli(),
		send: n.peers.sendDatagram, metrics: n.metrics,
	}
	n.peers.quotas = n.quotas
	n.waiting, n.endWaiting = context.WithCancel(context.Background())
	n.shutdown = newShutdown(n.now)
	n.suspension = &suspension{now: n.now, log: n.log, confirm: n.confirmVersion}
	n.peers.suspension = n.suspension
	n.buildDataPath()
	return n
}

func (n *Node) buildDataPath() {
	n.resources = newResources(n.cfg.Resources, n.log, n.metrics)
	n.targetClient = upstream.NewClient(upstream.Config{Dial: n.resources.limitDial(dialTarget), MaxIdle: maxIdleToTarget, MaxHeader: targetHeader})
	between := upstream.NewClient(upstream.Config{Dial: n.resources.limitDial(DialNode), DialTimeout: reserveTimeout})
	n.resources.closeIdle = func() {
		n.targetClient.CloseIdle(true)
		between.CloseIdle(true)
	}
	calls := &outboundCalls{now: n.now, metrics: n.metrics, fleet: n.peers.calls}
	policy := func() RetryPolicy { return *n.retryPolicy.Load() }
	n.hostNode = &hostNode{
		gate: n.gate, shutdown: n.shutdown, client: n.targetClient, headers: &n.cfg.Headers, refused: newRefusedRequests(), resources: n.resources, log: n.log, metrics: n.metrics,
		reservations: map[string]heldReservation{},
		now:          n.now, outboundCalls: calls, budget: newBudget(n.now, policy, n.serviceHosts, newCallBudget(n.now, n.view, calls, n.cfg.Seed), n.cfg.Seed),
	}
	n.hostNode.budget.metrics = n.metrics
	n.remote = &nodeClient{client: between, headers: &n.cfg.Headers, resources: n.resources, metrics: n.metrics, onStatus: n.statusReceived}
	d := &dispatcher{
		localAddr: n.cfg.NodeAddr, zone: n.cfg.Zone, view: n.view, local: n.hostNode, remote: n.remote,
		latencies: newLatencies(), hedgeDelays: newHedgeDelays(), log: n.log, metrics: n.metrics,
		budgetQueues: newBudgetQueues(n.now, policy, n.view.Nodes, n.cfg.Seed),
		stopping:     n.waiting, shutdown: n.shutdown,
	}
	n.entryNode = &entryNode{
		dispatcher: d, headers: &n.cfg.Headers, config: n.Config, now: n.now, localService: func() string { return *n.service.Load() },
		stopping: n.stopping.Load, shutdown: n.shutdown, behind: n.peers.haveNewer, versions: &versionCheck{ask: n.askVersions}, quotas: n.quotas, confirmed: n.suspension.confirmed, splitter: dynamic.NewSplitter(int(n.cfg.Seed % splitPhases)),
		outboundCalls: n.hostNode.outboundCalls, resources: n.resources, log: n.log, metrics: n.metrics,
	}
}

const (
	maxIdleToTarget = 16  // idle connections to the target that are kept
	splitPhases     = 101 // number of phases by which nodes offset their weighted splits
)

// targetHeader bounds the header section of a target's response. A node may hold
// as many as its target has slots and places in its queue. It is smaller than the
// default of upstream, which applies between nodes: a host node adds fields.
var targetHeader = upstream.HeaderLimits{Bytes: 32 << 10, Lines: 128}

// now returns the time since the node was created. It includes suspensions of
// the machine, so that anything that expired meanwhile is not used after them.
func (n *Node) now() time.Duration { return n.cfg.Clock() - n.clockStart }

// Start opens the listeners. The node refuses callers until it has a
// configuration, and reservations until it has a target.
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.listen(); err != nil {
		cancel()
		return err
	}
	n.suspension.lastStep.Store(int64(n.now()))
	go n.peers.run(ctx)
	go n.closeIdle(ctx)
	report := &budgetReport{metrics: n.metrics, calls: n.hostNode.outboundCalls, log: n.log}
	go loop.Every(ctx, budgetReportInterval, report.update)
	return nil
}

func (n *Node) listen() error {
	gossip, err := net.ResolveUDPAddr("udp4", n.cfg.GossipAddr)
	if err != nil {
		return fmt.Errorf("datagram listener: %w", err)
	}
	if n.peers.conn, err = net.ListenUDP("udp4", gossip); err != nil {
		return fmt.Errorf("datagram listener: %w", err)
	}
	between, err := drain.Listen(cmp.Or(n.cfg.NodeListenAddr, n.cfg.NodeAddr))
	if err != nil {
		return fmt.Errorf("listener for nodes: %w", err)
	}
	callers, err := drain.Listen(n.cfg.CallerAddr)
	if err != nil {
		return fmt.Errorf("listener for callers: %w", err)
	}
	n.nodeServer = newNodeServer(http.HandlerFunc(n.serveNode), n.resources.nodes, between)
	n.callerServer = newCallerServer(n.entryNode, n.resources.callers, callers)
	go n.callerServer.serve()
	return nil
}

func (n *Node) serveNode(w http.ResponseWriter, r *http.Request) {
	w, restore := answerEarly(w, r)
	defer restore()
	if r.Header.Get(headerConfig) == "" {
		n.hostNode.ServeHTTP(w, r)
		return
	}
	n.serveConfig(w, r)
}

// closeIdle periodically closes idle connections.
func (n *Node) closeIdle(ctx context.Context) {
	loop.Every(ctx, closeIdleInterval, func() {
		n.targetClient.CloseIdle(false)
		n.remote.client.CloseIdle(false)
	})
}

const closeIdleInterval = 10 * time.Second

// statusChanged announces a change of this node's target to other nodes at
// once.
func (n *Node) statusChanged() {
	s := n.hostNode.status()
	n.log.targetStatus(s)
	n.view.Update(placement.Host{Addr: n.cfg.NodeAddr, Zone: n.cfg.Zone}, s)
	// The ejection or return of a target matters mostly in its own zone. Nodes
	// in other zones learn of it from the next heartbeat or from a refusal.
	key := announcedState{s.Target, s.Service, s.Phase, s.Stopping}
	if old := n.announced.Swap(&key); old == nil || *old != key {
		n.peers.announce(allZones)
		return
	}
	n.peers.announce(ownZone)
}

// announcedState is the part of a target's state that is announced to all zones
// at once.
type announcedState struct {
	target, service string
	phase           admission.Phase
	stopping        bool
}

// notifyQueue bounds the notifications that wait to be sent.
const notifyQueue = 2

// statusReceived handles the status that a host node sent with a response.
func (n *Node) statusReceived(addr string, s admission.Status) { n.view.Refresh(addr, s) }

// heartbeat returns the state that this node sends to others.
func (n *Node) heartbeat() heartbeat {
	m := n.identity()
	m.Status = encodeStatus(n.hostNode.status())
	m.Calls = encodeCalls(n.hostNode.outboundCalls.share(*n.service.Load()))
	return m
}

// identity returns the heartbeat without the target's status and calls, which are
// costly because their computation visits all hosts.
func (n *Node) identity() heartbeat {
	m := heartbeat{
		Flags: flagIf(n.configReader.Load(), flagConfigReader),
		Addr:  n.cfg.NodeAddr, Gossip: n.cfg.GossipAddr, Zone: n.cfg.Zone, Started: n.wallStart.UnixMilli(),
		StoreEra: n.storeEra.Load(),
	}
	if c := n.config.Load(); c != nil {
		m.Version = c.Version
	}
	return m
}

// Config returns the configuration in force, or nil.
func (n *Node) Config() *dynamic.Config {
	if c := n.config.Load(); c != nil {
		return c.Config
	}
	return nil
}

// SetStoreEra states the era of the store in a response that this node received,
// and tells the other nodes at once if it is a later one. The store begins an era
// each time it is restored from a copy, and loses what the copy does not have.
func (n *Node) SetStoreEra(era int64) {
	if n.raiseStoreEra(era) {
		n.peers.announce(allZones)
	}
}

// StoreEra returns the latest era of the store that this node knows, 0 if none.
func (n *Node) StoreEra() int64 { return n.storeEra.Load() }

// raiseStoreEra notes an era of the store and reports whether it is a later one.
func (n *Node) raiseStoreEra(era int64) bool {
	for known := n.storeEra.Load(); era > known; known = n.storeEra.Load() {
		if n.storeEra.CompareAndSwap(known, era) {
			n.log.storeEra(era, known)
			if n.cfg.OnStoreEra != nil {
				n.cfg.OnStoreEra(era)
			}
			return true
		}
	}
	return false
}

// SetTarget updates the target beside this node.
func (n *Node) SetTarget(t admission.Target, addr string, restarted bool) {
	n.hostNode.setTarget(t, addr, restarted)
}

// SetService sets the name of the service of the target on this host, which is
// added to the requests that originate here.
func (n *Node) SetService(name string) { n.service.Store(&name) }

// serviceHosts returns the number of hosts of this node's service.
func (n *Node) serviceHosts() int { return n.view.Count(*n.service.Load()) }

// SetRetryPolicy replaces the bounds on retries.
func (n *Node) SetRetryPolicy(p RetryPolicy) { n.retryPolicy.Store(&p) }

// SetConfigReader states whether this node reads the configuration from its
// source.
func (n *Node) SetConfigReader(on bool) {
	if n.configReader.Swap(on) != on {
		n.peers.announce(ownZone)
	}
}

// ShouldReadConfig reports whether this node should read the configuration from
// its source.
func (n *Node) ShouldReadConfig() bool { return n.peers.shouldReadConfig() }

// ZoneHasConfigReader reports whether another node of the same availability
// zone reads the configuration from its source.
func (n *Node) ZoneHasConfigReader() bool { return n.peers.zoneHasConfigReader() }

// AddPeer adds another node by its datagram address.
func (n *Node) AddPeer(addr netip.AddrPort) { n.peers.add(addr) }

// Ready reports whether callers may send requests here.
func (n *Node) Ready() bool { return n.config.Load() != nil && !n.stopping.Load() }

// GossipAddr returns the datagram address by which other nodes reach this one.
func (n *Node) GossipAddr() string { return n.cfg.GossipAddr }

// targetStopShare is the fraction of the settle time for which the target
// beside this node still accepts requests, so that these end before the process
// does.
const targetStopShare = 0.8

// Stop stops the node once its requests have ended, or when ctx ends. For the
// duration of settle it still serves callers. Shortly before the end of that
// period it refuses new requests for its target. Afterwards it refuses callers'
// requests that still wait for a target, and lets those in flight finish. If ctx
// has a deadline, requests that would probably not end by then are refused.
func (n *Node) Stop(ctx context.Context, settle time.Duration) error {
	n.stopping.Store(true)
	if end, ok := ctx.Deadline(); ok {
		n.shutdown.begin(time.Until(end), settle)
		n.gate.StopBy(n.shutdown.runsEnd)
	}
	n.quotas.core.Retire(n.now())
	sleep(ctx, time.Duration(targetStopShare*float64(settle)))
	n.gate.Stop()
	sleep(ctx, settle-time.Duration(targetStopShare*float64(settle)))
	n.entryNode.dispatcher.budgetQueues.stop()
	n.endWaiting()
	err := errors.Join(n.callerServer.shutdown(ctx), n.nodeServer.shutdown(ctx))
	n.cancel()
	return err
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
