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

// logger is what the parts of a node write to.
type logger = log.Interface

// maxInFlight bounds the requests that one node handles as entry node.
const maxInFlight = 20_000

// Node is one node of the fleet.
type Node struct {
	settings *static.Settings
	self     fleet.Node
	member   fleet.Member
	start    time.Time
	logger   logger
	leaving  atomic.Bool

	log       platformlog.Log
	publisher *control.Publisher
	watcher   *control.Watcher
	server    *peer.Server
	client    *peer.Client
	members   *membership.Runner
	registry  *registry.Registry

	routes    *routes
	local     *localTargets
	balancer  *loadbalancer.Balancer
	budgets   *budgets
	gate      *limits.ClassLimiter
	rates     *limits.RateLimiter
	orders    *orders
	observer  *observer
	detector  *detector
	lists     *lists
	reconcile *reconciler
	versions  versions
	pause     pauseGuard
	operators *operators

	entry     *proxy.Entry
	host      *proxy.Host
	toPeers   *upstream.Client
	toTargets *upstream.Client

	listeners listeners
	cancel    context.CancelFunc
	done      chan struct{} // closed when the node is stopped
}

// Option changes a node before it starts.
type Option func(*Node)

// WithLogger sets the logger; the default is apex/log's standard logger.
func WithLogger(l log.Interface) Option { return func(n *Node) { n.logger = l } }

// WithResults calls f with the result of every request. f must not block.
func WithResults(f func(*proxy.Result)) Option { return func(n *Node) { n.observer.finished = f } }

// New returns a node that is not started.
func New(s *static.Settings, options ...Option) *Node {
	n := &Node{settings: s, start: time.Now(), logger: log.Log, done: make(chan struct{}), observer: &observer{}}
	n.observer.clock = n.clock
	n.pause.n = n
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
	n.routes.usable = n.pause.check
	n.local = newLocalTargets(n.routes.service, n.clock)
	n.balancer = loadbalancer.New(loadbalancer.Config{Node: s.Node, Zone: s.Zone, Region: s.Region})
	n.budgets = &budgets{clock: n.clock}
	n.rates = limits.NewRateLimiter(limits.RateConfig{Node: s.Node})
	n.orders = newOrders(n)
	n.detector = newDetector(n)
	n.lists = newLists(n)
	n.reconcile = newReconciler(n)
	n.operators = newOperators(n)
	return n
}

// clock is the node's monotonic clock.
func (n *Node) clock() time.Duration { return time.Since(n.start) }

// Start opens the listeners and starts the control loops. On an error nothing
// is left running.
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.startParts(ctx); err != nil {
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

// startParts opens the ports and starts every part in the order in which they
// need one another.
func (n *Node) startParts(ctx context.Context) error {
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
	n.pause.beat.Store(int64(n.clock()))
	for _, run := range []func(context.Context){
		n.orders.run, n.detector.run, n.detector.runReports, n.lists.run, n.reconcile.run, n.runRates, n.runRegistry, n.closeIdle,
		n.pause.run, n.operators.burner.run,
	} {
		go run(ctx)
	}
	n.reconcile.notify()
	return nil
}

// startControl starts the parts that hold control state.
func (n *Node) startControl(ctx context.Context) error {
	local := peer.Local{Node: n.self.ID, Incarnation: n.self.Incarnation, Progress: n.progress, OnHeader: n.onHeader, OnTraffic: n.operators.metrics.RecordPeerCall}
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
	peer.Handle(n.server, methodLease, n.orders.serveLease)
	peer.Handle(n.server, methodLookup, n.orders.serveLookup)
	peer.Handle(n.server, methodImport, n.orders.serveImport)
	peer.Handle(n.server, methodSettle, n.serveSettle)
	peer.Handle(n.server, methodRates, n.serveRates)
	peer.Handle(n.server, methodReport, n.detector.serveReport)
	peer.Handle(n.server, methodLists, n.lists.serve)
	peer.Handle(n.server, methodDrain, n.operators.serveDrain)
	peer.Handle(n.server, methodBurnCopy, n.operators.burner.serveCopy)
}

func peerSettings(s *static.Settings) peer.Settings {
	out := peer.Settings{AllowPlainText: s.AllowPlainPeers}
	if s.PeerTLS != nil {
		out.CertFile, out.KeyFile, out.CAFile = s.PeerTLS.Cert, s.PeerTLS.Key, s.PeerTLS.CA
	}
	return out
}

// onSnapshot runs in the watcher's goroutine.
func (n *Node) onSnapshot(s *control.Snapshot) {
	n.routes.update(s)
	n.orders.setGroups(s)
	n.reconcile.configChanged()
	n.operators.configChanged(s)
	n.logger.WithField("version", s.Version).Debug("configuration in force")
}

func (n *Node) onOutcome(o control.Outcome) {
	if o.Err != nil {
		n.logger.WithFields(log.Fields{"offset": o.Offset, "outcome": o.Kind.String()}).WithError(o.Err).Debug("log record not accepted")
	}
}

// onTargets runs while the registry is locked.
func (n *Node) onTargets(list []registry.Target) {
	n.local.update(list)
	n.members.SetSelf(registry.Instances(list), n.leaving.Load())
}

func (n *Node) runRegistry(ctx context.Context) { n.registry.Run(ctx.Done()) }

// idleSweep is the interval at which idle connections are closed.
const idleSweep = 10 * time.Second

func (n *Node) closeIdle(ctx context.Context) {
	for sleep(ctx, idleSweep) {
		n.toPeers.CloseIdle(false)
		n.toTargets.CloseIdle(false)
	}
}

func (n *Node) buildProxy() error {
	n.gate = limits.NewClassLimiter(maxInFlight)
	reg := filters.NewRegistry(filters.Resources{RateLimits: n.rates, ClassLimits: n.gate, Clock: n.clock})
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
		Router: n.routes, Balancer: n.balancer, Clock: n.clock, Before: before, After: after, Budget: n.budgets,
		Settler: n, Idempotency: n.orders, Client: n.toPeers, Observer: n.observer,
		BodyIdleTimeout: n.settings.BodyIdleTimeout.Std(), Draining: n.leaving.Load,
	})
	n.host = proxy.NewHost(proxy.HostConfig{
		Targets: n.local, SlotPool: n.local, AdmissionTable: n.orders, Fence: n.orders,
		Client: n.toTargets, Draining: n.leaving.Load, CheckService: n.routes.allowed,
	})
	return nil
}

// servePeer serves requests from other nodes: keyed orders for which this node
// is the home, and requests for targets beside it.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(proxy.HeaderRole) == proxy.RoleHome {
		n.entry.ServeHome(w, r)
		return
	}
	defer n.operators.hostServed(r.Header.Get(proxy.HeaderRequestID), r.Header.Get(proxy.HeaderTarget), w)
	n.host.ServeHTTP(w, r)
}

// decided reports a decision about a target.
func (n *Node) decided(service string, epoch int64, d *health.Decision) {
	n.operators.decided(service, d)
	n.logger.WithFields(log.Fields{
		"service": service, "epoch": epoch, "target": d.Target, "decision": d.Kind.String(),
		"reason": d.Reason, "score": fmt.Sprintf("%.1f", d.Evidence.Score),
	}).Info("target decision")
}

// Version returns the version of the configuration in force here.
func (n *Node) Version() int64 { return n.routes.Version() }

// Addr returns the address of the listener for callers.
func (n *Node) Addr() string { return n.listeners.addr("callers") }

// ControlAddr returns the address for control messages of other nodes.
func (n *Node) ControlAddr() string { return n.self.ControlAddr }

// AnnounceAddr returns the address for announcements of targets.
func (n *Node) AnnounceAddr() string { return n.listeners.addr("announcements") }

// OperatorAddr returns the address of the operator listener.
func (n *Node) OperatorAddr() string { return n.listeners.addr("operators") }
