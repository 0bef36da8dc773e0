package node

import (
	"context"
	"fmt"
	"hash/maphash"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"hyssopbridge/config/static"
	"hyssopbridge/control"
	"hyssopbridge/filters"
	"hyssopbridge/fleet"
	"hyssopbridge/health"
	"hyssopbridge/limits"
	"hyssopbridge/loadbalancer"
	"hyssopbridge/membership"
	"hyssopbridge/peer"
	"hyssopbridge/platformlog"
	"hyssopbridge/proxy"
	"hyssopbridge/registry"
	"hyssopbridge/upstream"
)

// logger is the interface of a node's logger.
type logger = log.Interface

// maxInFlight is the maximum number of concurrent requests at one entry node.
const maxInFlight = 20_000

// Node is one node of the fleet.
type Node struct {
	settings *static.Settings
	self     fleet.Node
	member   fleet.Member
	start    time.Time
	logger   logger
	draining atomic.Bool

	log       platformlog.Log
	publisher *control.Publisher
	watcher   *control.Watcher
	server    *peer.Server
	client    *peer.Client
	members   *membership.Runner
	registry  *registry.Registry

	routes       *routes
	localTargets *localTargets
	balancer     *loadbalancer.Balancer
	retryBudgets *retryBudgets
	classLimiter *limits.ClassLimiter
	rates        *limits.RateLimiter
	home         *homeState
	observer     *observer
	detector     *detector
	lists        *ejectionLists
	reconcile    *reconciler
	peerVersions peerVersions
	pauseGuard   pauseGuard
	operator     *operatorSource

	entry     *proxy.Entry
	host      *proxy.Host
	toPeers   *upstream.Client
	toTargets *upstream.Client

	listeners listeners
	cancel    context.CancelFunc
	done      chan struct{} // not used
}

// Option configures a node.
type Option func(*Node)

// WithLogger sets the logger; the default is apex/log's standard logger.
func WithLogger(l log.Interface) Option { return func(n *Node) { n.logger = l } }

// WithResults calls f with the result of every request. f must not block.
func WithResults(f func(*proxy.Result)) Option { return func(n *Node) { n.observer.onResult = f } }

// New returns a node. Start starts it.
func New(s *static.Settings, options ...Option) *Node {
	n := &Node{settings: s, start: time.Now(), logger: log.Log, done: make(chan struct{}), observer: &observer{}}
	n.observer.clock = n.clock
	n.pauseGuard.n = n
	if s.TraceFile != "" {
		n.observer.trace = &traceRecorder{n: n, file: s.TraceFile, service: s.TraceService}
	}
	for _, o := range options {
		o(n)
	}
	n.logger = n.logger.WithField("node", s.Node)
	n.self = fleet.Node{ID: s.Node, Incarnation: n.start.UnixMilli(), Zone: s.Zone, Region: s.Region}
	n.member = fleet.Member{Node: n.self.ID, Incarnation: n.self.Incarnation}
	n.log = platformlog.NewHTTPClient(s.Log)
	n.routes = newRoutes(n.logger)
	n.routes.checkCurrent = n.pauseGuard.check
	n.localTargets = newLocalTargets(n.routes.service, n.clock)
	n.balancer = loadbalancer.New(loadbalancer.Config{Node: s.Node, Zone: s.Zone, Region: s.Region})
	n.retryBudgets = &retryBudgets{clock: n.clock}
	n.rates = limits.NewRateLimiter(limits.RateConfig{Node: s.Node})
	n.home = newHomeState(n)
	n.detector = newDetector(n)
	n.lists = newEjectionLists(n)
	n.reconcile = newReconciler(n)
	n.operator = newOperatorSource(n)
	return n
}

// clock returns the monotonic time since the node was created.
func (n *Node) clock() time.Duration { return time.Since(n.start) }

// Start opens the listeners and starts the control loops. If it returns an error,
// the listeners are closed and the control loops are stopped.
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.startComponents(ctx); err != nil {
		cancel()
		n.listeners.closeAll()
		return err
	}
	n.logger.WithFields(log.Fields{
		"listen": n.listeners.addr("callers"), "peer": n.self.PeerAddr,
		"control": n.self.ControlAddr, "announce": n.listeners.addr("announcements"),
	}).Info("node started")
	return nil
}

// startComponents opens the listeners and starts the components in the order of
// their dependencies.
func (n *Node) startComponents(ctx context.Context) error {
	if err := n.openListeners(); err != nil {
		return err
	}
	if err := n.startControl(ctx); err != nil {
		return err
	}
	if err := n.buildProxy(); err != nil {
		return err
	}
	n.serveAll()
	n.pauseGuard.lastHeartbeat.Store(int64(n.clock()))
	for _, run := range []func(context.Context){
		n.home.run, n.detector.run, n.detector.runReports, n.lists.run, n.reconcile.run, n.runRates, n.runRegistry, n.closeIdleConnections,
		n.pauseGuard.run, n.operator.burnTracker.run,
	} {
		go run(ctx)
	}
	n.reconcile.notify()
	return nil
}

// startControl starts the components that hold control state.
func (n *Node) startControl(ctx context.Context) error {
	local := peer.Local{Node: n.self.ID, Incarnation: n.self.Incarnation, Progress: n.progress, OnHeader: n.onHeader, OnTraffic: n.operator.metrics.RecordPeerCall}
	settings := peerSettings(n.settings)
	var err error
	if n.client, err = peer.NewClient(settings, local); err != nil {
		return err
	}
	if n.server, err = peer.NewServer(settings, local); err != nil {
		return err
	}
	seed := maphash.String(maphash.MakeSeed(), n.self.ID)
	n.watcher = control.NewWatcher(control.WatcherConfig{
		Config: control.Config{Self: n.self, Seed: seed, Retention: n.settings.LogRetention.Std()}, Log: n.log, Peers: n, OnSnapshot: n.onSnapshot, OnOutcome: n.onOutcome,
	})
	n.publisher = control.NewPublisher(control.PublisherConfig{Log: n.log, Snapshot: n.watcher.Current})
	n.registry = registry.New(registry.Settings{}, nil, n.onTargets)
	n.members = membership.Start(membership.RunnerOptions{
		Config: membership.Config{Self: n.self, Seeds: n.settings.Join}, Seed: seed,
		Server: n.server, Client: n.client, OnChange: func(*membership.View) { n.reconcile.notify() },
	})
	n.handlePeers()
	go func() { _ = n.watcher.Run(ctx) }()
	return nil
}

func (n *Node) handlePeers() {
	peer.Handle(n.server, methodState, n.serveState)
	peer.Handle(n.server, methodLease, n.home.serveLease)
	peer.Handle(n.server, methodLookup, n.home.serveLookup)
	peer.Handle(n.server, methodImport, n.home.serveImport)
	peer.Handle(n.server, methodSettle, n.serveSettle)
	peer.Handle(n.server, methodRates, n.serveRates)
	peer.Handle(n.server, methodReport, n.detector.serveReport)
	peer.Handle(n.server, methodLists, n.lists.serve)
	peer.Handle(n.server, methodDrain, n.operator.serveDrain)
	peer.Handle(n.server, methodBurnCopy, n.operator.burnTracker.serveCopy)
}

func peerSettings(s *static.Settings) peer.Settings {
	out := peer.Settings{AllowPlainText: s.AllowPlainPeers}
	if s.PeerTLS != nil {
		out.CertFile, out.KeyFile, out.CAFile = s.PeerTLS.Cert, s.PeerTLS.Key, s.PeerTLS.CA
	}
	return out
}

// onSnapshot applies a new configuration. It runs in the watcher's goroutine.
func (n *Node) onSnapshot(s *control.Snapshot) {
	n.routes.update(s)
	n.home.setGroups(s)
	n.reconcile.configChanged()
	n.operator.recordConfigChanges(s)
	n.logger.WithField("version", s.Version).Debug("configuration in force")
}

func (n *Node) onOutcome(o control.Outcome) {
	if o.Err != nil {
		n.logger.WithFields(log.Fields{"offset": o.Offset, "outcome": o.Kind.String()}).WithError(o.Err).Debug("platform log record was not accepted")
	}
}

// onTargets applies a change of the announced targets. It runs while the registry
// is locked.
func (n *Node) onTargets(list []registry.Target) {
	n.localTargets.update(list)
	n.members.SetSelf(registry.Instances(list), n.draining.Load())
}

func (n *Node) runRegistry(ctx context.Context) { n.registry.Run(ctx.Done()) }

// idleSweepInterval is the interval at which idle connections are closed.
const idleSweepInterval = 10 * time.Second

func (n *Node) closeIdleConnections(ctx context.Context) {
	for sleep(ctx, idleSweepInterval) {
		n.toPeers.CloseIdle(false)
		n.toTargets.CloseIdle(false)
	}
}

func (n *Node) buildProxy() error {
	n.classLimiter = limits.NewClassLimiter(maxInFlight)
	reg := filters.NewRegistry(filters.Resources{RateLimits: n.rates, ClassLimits: n.classLimiter, Clock: n.clock})
	before, err := reg.Chain(filters.BeforeRouting())
	if err != nil {
		return err
	}
	after, err := reg.Chain(filters.AfterRouting())
	if err != nil {
		return err
	}
	if n.toPeers, err = n.peerClient(); err != nil {
		return err
	}
	n.toTargets = upstream.NewClient(upstream.Config{})
	n.entry = proxy.NewEntry(proxy.EntryConfig{
		Router: n.routes, Balancer: n.balancer, Clock: n.clock, Before: before, After: after, Budget: n.retryBudgets,
		Settler: n, Idempotency: n.home, Client: n.toPeers, Observer: n.observer,
		BodyIdleTimeout: n.settings.BodyIdleTimeout.Std(), Draining: n.draining.Load,
	})
	n.host = proxy.NewHost(proxy.HostConfig{
		Targets: n.localTargets, SlotPool: n.localTargets, AdmissionTable: n.home, Fence: n.home,
		Client: n.toTargets, Draining: n.draining.Load, CheckService: n.routes.checkService,
	})
	return nil
}

// servePeer handles requests from other nodes: keyed requests of which this node
// is the home node, and requests to targets on this host.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(proxy.HeaderRole) == proxy.RoleHome {
		n.entry.ServeHome(w, r)
		return
	}
	defer n.operator.recordHostResult(r.Header.Get(proxy.HeaderRequestID), r.Header.Get(proxy.HeaderTarget), w)
	n.host.ServeHTTP(w, r)
}

// recordDecision records and logs an arbiter's decision about a target.
func (n *Node) recordDecision(service string, epoch int64, d *health.Decision) {
	n.operator.recordDecision(service, d)
	n.logger.WithFields(log.Fields{
		"service": service, "epoch": epoch, "target": d.Target, "decision": d.Kind.String(),
		"reason": d.Reason, "score": fmt.Sprintf("%.1f", d.Evidence.Score),
	}).Info("target decision")
}

// Version returns the version of the configuration in force on this node.
func (n *Node) Version() int64 { return n.routes.Version() }

// Addr returns the address of the listener for callers.
func (n *Node) Addr() string { return n.listeners.addr("callers") }

// ControlAddr returns the address for control messages of other nodes.
func (n *Node) ControlAddr() string { return n.self.ControlAddr }

// AnnounceAddr returns the address for announcements of targets.
func (n *Node) AnnounceAddr() string { return n.listeners.addr("announcements") }

// OperatorAddr returns the address of the operator listener.
func (n *Node) OperatorAddr() string { return n.listeners.addr("operators") }
