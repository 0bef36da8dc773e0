package mesh

import (
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
	"hyssopbridge/placement"
	"hyssopbridge/upstream"
)

// Config is what a node needs to start. Values that may change while it runs
// are set by the methods of Node.
type Config struct {
	Zone       string
	CallerAddr string // listener for callers, IP:port
	NodeAddr   string // listener for requests between nodes, IP:port
	GossipAddr string // listener for datagrams between nodes, IP:port
	Headers    Headers
	// Decode turns the source's form of a configuration into a Config.
	Decode func(raw []byte) (*dynamic.Config, error)
	Log    log.Interface
	Seed   uint64
	// Clock counts the time for which the machine was suspended; clock.SinceBoot if nil.
	Clock func() time.Duration
}

// Node is the data path of one host.
type Node struct {
	cfg     Config
	log     *journal
	started time.Time     // by the time of day
	booted  time.Duration // start by cfg.Clock
	metrics *metrics
	gate    *admission.Gate
	view    *placement.View
	peers   *peers
	host    *host
	entry   *entry
	remote  *remote
	targets *upstream.Client
	callers *callerServer
	nodes   *nodeServer

	config     atomic.Pointer[configInForce]
	configMu   sync.Mutex
	fetching   atomic.Bool
	deferred   atomic.Bool // a fetch from another availability zone waits for its delay
	targetAddr atomic.Pointer[string]
	service    atomic.Pointer[string]
	policy     atomic.Pointer[RetryPolicy]
	told       atomic.Pointer[phaseKey]
	reader     atomic.Bool
	stopping   atomic.Bool
	cancel     context.CancelFunc
}

type configInForce struct {
	*dynamic.Config
	raw []byte
}

// New returns a node that is not started.
func New(cfg Config) *Node {
	if cfg.Clock == nil {
		cfg.Clock = clock.SinceBoot
	}
	n := &Node{cfg: cfg, log: &journal{cfg.Log}, started: time.Now(), booted: cfg.Clock(), metrics: newMetrics()}
	empty := ""
	n.targetAddr.Store(&empty)
	n.service.Store(&empty)
	n.policy.Store(&RetryPolicy{})
	n.gate = admission.NewGate(n.now, admission.DefaultDetectorConfig(), n.statusChanged)
	n.view = placement.NewView(placement.DefaultConfig(cfg.NodeAddr, cfg.Zone), n.now, cfg.Seed)
	n.peers = &peers{
		now: n.now, state: n.state, identity: n.identity, view: n.view, log: n.log, metrics: n.metrics, newer: n.fetchConfig,
		byGossip: map[netip.AddrPort]*peer{}, notice: make(chan reach, noticeQueue),
	}
	n.buildPath()
	return n
}

func (n *Node) buildPath() {
	n.targets = upstream.NewClient(upstream.Config{MaxIdle: maxIdleToTarget})
	between := upstream.NewClient(upstream.Config{Dial: DialNode, DialTimeout: reserveTimeout})
	n.host = &host{
		gate: n.gate, client: n.targets, headers: &n.cfg.Headers, log: n.log, metrics: n.metrics,
		targetAddr: func() string { return *n.targetAddr.Load() }, tickets: map[string]heldTicket{},
		now: n.now, calls: &calls{now: n.now}, budget: newBudget(n.now, func() RetryPolicy { return *n.policy.Load() }, n.serviceHosts, n.calledHaveRoom, n.cfg.Seed),
	}
	n.remote = &remote{client: between, headers: &n.cfg.Headers, status: n.learned}
	p := &placer{
		self: n.cfg.NodeAddr, zone: n.cfg.Zone, view: n.view, host: n.host, remote: n.remote,
		times: newRunTimes(), hedges: newHedges(), log: n.log, metrics: n.metrics,
	}
	n.entry = &entry{
		placer: p, headers: &n.cfg.Headers, config: n.Config, now: n.now, caller: func() string { return *n.service.Load() },
		stopping: n.stopping.Load, splitter: dynamic.NewSplitter(int(n.cfg.Seed % splitPhases)),
		calls: n.host.calls, log: n.log, metrics: n.metrics,
	}
}

const (
	maxIdleToTarget = 16  // connections to the target that are kept
	splitPhases     = 101 // phases by which nodes shift their weighted splits
)

// now returns the time since the node was made. It counts suspensions, so that
// what ran out meanwhile is not used after them.
func (n *Node) now() time.Duration { return n.cfg.Clock() - n.booted }

// Start opens the listeners. The node refuses work until it has a
// configuration and a target.
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err := n.listen(); err != nil {
		cancel()
		return err
	}
	go n.peers.run(ctx)
	go n.tidy(ctx)
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
	between, err := drain.Listen(n.cfg.NodeAddr)
	if err != nil {
		return fmt.Errorf("listener for nodes: %w", err)
	}
	callers, err := drain.Listen(n.cfg.CallerAddr)
	if err != nil {
		return fmt.Errorf("listener for callers: %w", err)
	}
	n.nodes = newNodeServer(http.HandlerFunc(n.serveNode), between)
	n.callers = newCallerServer(n.entry, callers)
	go n.callers.serve()
	return nil
}

func (n *Node) serveNode(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerConfig) == "" {
		n.host.ServeHTTP(w, r)
		return
	}
	c := n.config.Load()
	if c == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(c.raw) // a node that left asks again
}

// tidy closes idle connections.
func (n *Node) tidy(ctx context.Context) {
	loop.Every(ctx, tidyInterval, func() {
		n.targets.CloseIdle(false)
		n.remote.client.CloseIdle(false)
	})
}

const tidyInterval = 10 * time.Second

// statusChanged tells other nodes at once that this node's target changed.
func (n *Node) statusChanged() {
	s := n.host.status()
	n.log.targetStatus(s)
	n.view.Update(placement.Host{Addr: n.cfg.NodeAddr, Zone: n.cfg.Zone}, s)
	// A target that turns gray or returns matters in its own zone. Others learn
	// of it by the next interval or by a refusal.
	key := phaseKey{s.Target, s.Service, s.Phase, s.Stopping}
	if old := n.told.Swap(&key); old == nil || *old != key {
		n.peers.changed(allZones)
		return
	}
	n.peers.changed(ownZone)
}

// phaseKey is what every node should know of a target at once.
type phaseKey struct {
	target, service string
	phase           admission.Phase
	stopping        bool
}

// noticeQueue bounds the notices that wait to be sent.
const noticeQueue = 2

// learned takes the status that a host node sent with an answer.
func (n *Node) learned(addr string, s admission.Status) { n.view.Refresh(addr, s) }

// state returns what this node tells others of itself.
func (n *Node) state() message {
	m := n.identity()
	m.Status = encodeStatus(n.host.status())
	return m
}

// identity returns the state without the status of the target, which takes a
// look at all hosts.
func (n *Node) identity() message {
	m := message{
		Flags: bit(n.reader.Load(), flagReader),
		Addr:  n.cfg.NodeAddr, Gossip: n.cfg.GossipAddr, Zone: n.cfg.Zone, Started: n.started.UnixMilli(),
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

// SetTarget replaces what is known of the target beside this node.
func (n *Node) SetTarget(t admission.Target, addr string, restarted bool) {
	n.targetAddr.Store(&addr)
	if restarted {
		n.gate.Restart()
	}
	n.gate.SetTarget(t)
}

// SetService names the service of the target on this host, which requests that
// begin here carry.
func (n *Node) SetService(name string) { n.service.Store(&name) }

// serviceHosts returns the number of hosts of this node's service.
func (n *Node) serviceHosts() int { return n.view.Count(*n.service.Load()) }

// calledHaveRoom reports whether the services that the target beside this node
// calls would admit the calls of a repeat.
func (n *Node) calledHaveRoom() bool { return haveRoom(n.view, n.host.calls.called()) }

// SetRetryPolicy replaces the bounds on retries.
func (n *Node) SetRetryPolicy(p RetryPolicy) { n.policy.Store(&p) }

// SetConfigReader states whether this node reads the configuration at its source.
func (n *Node) SetConfigReader(on bool) {
	if n.reader.Swap(on) != on {
		n.peers.changed(ownZone)
	}
}

// ShouldReadConfig reports whether this node should read the configuration at its source.
func (n *Node) ShouldReadConfig() bool { return n.peers.isReader() }

// ZoneHasConfigReader reports whether another node of the own availability zone reads the
// configuration at its source.
func (n *Node) ZoneHasConfigReader() bool { return n.peers.zoneIsRead() }

// AddPeer makes another node known by its datagram address.
func (n *Node) AddPeer(gossip netip.AddrPort) { n.peers.add(gossip) }

// Ready reports whether callers may send requests here.
func (n *Node) Ready() bool { return n.config.Load() != nil && !n.stopping.Load() }

// GossipAddr returns the address by which other nodes reach this one.
func (n *Node) GossipAddr() string { return n.cfg.GossipAddr }

// targetPart is the part of the time in which callers are still served during
// which the target beside this node still takes work. What it took by then ends
// before the process does.
const targetPart = 0.8

// Stop ends the node after its requests have ended, or when ctx ends. It serves
// callers that still come for settle, refuses work for its target shortly
// before, and lets what is in flight finish.
func (n *Node) Stop(ctx context.Context, settle time.Duration) error {
	n.stopping.Store(true)
	wait(ctx, time.Duration(targetPart*float64(settle)))
	n.gate.Stop()
	wait(ctx, settle-time.Duration(targetPart*float64(settle)))
	err := errors.Join(n.callers.shutdown(ctx), n.nodes.shutdown(ctx))
	n.cancel()
	return err
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
