package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"hyssopbridge/config/static"
	"hyssopbridge/fleet"
	"hyssopbridge/loadbalancer"
	"hyssopbridge/platformlog"
	"hyssopbridge/proxy"
	"hyssopbridge/resultcode"
	"hyssopbridge/routing"
	"hyssopbridge/upstream"
)

// Node is one node of the fleet.
type Node struct {
	settings *static.Settings
	self     fleet.Node
	log      platformlog.Log
	start    time.Time
	table    atomic.Pointer[routing.Table]
	version  atomic.Int64
	balancer *loadbalancer.Balancer
	registry *thinRegistry
	servers  []*http.Server
	cancel   context.CancelFunc
}

// New returns a node that is not started.
func New(s *static.Settings) *Node {
	n := &Node{settings: s, log: platformlog.NewHTTPClient(s.Log), start: time.Now(),
		registry: &thinRegistry{targets: map[string]proxy.Target{}}}
	n.self = fleet.Node{ID: s.Node, Incarnation: n.start.UnixMilli(), PeerAddr: s.Peer, ControlAddr: s.Control, Zone: s.Zone, Region: s.Region}
	n.table.Store(routing.Empty())
	n.balancer = loadbalancer.New(loadbalancer.Config{Node: s.Node, Zone: s.Zone, Region: s.Region})
	return n
}

func (n *Node) clock() time.Duration { return time.Since(n.start) }

// Start opens the listeners and starts the control loops.
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	host := proxy.NewHost(proxy.HostConfig{Targets: n.registry, Admission: &thinAdmission{slots: map[string]chan struct{}{}},
		Admitted: thinAdmitted{}, Fence: thinFence{}, Client: upstream.NewClient(upstream.Config{})})
	entry := proxy.NewEntry(proxy.EntryConfig{IDPrefix: fmt.Sprintf("%s-%x-", n.self.ID, n.self.Incarnation), Router: n, Balancer: n.balancer, Clock: n.clock,
		Gate: thinGate{}, Budget: thinBudget{}, Settler: thinSettler{}, Client: upstream.NewClient(upstream.Config{}),
		Observer: thinObserver{}, BodyIdle: n.settings.BodyIdle.Std()})
	announce := http.NewServeMux()
	announce.HandleFunc("POST /v1/announce", n.registry.announce)
	control := http.NewServeMux()
	control.HandleFunc("GET /v1/instances", n.serveInstances)
	for _, l := range []struct {
		addr    string
		handler http.Handler
	}{{n.settings.Listen, entry}, {n.settings.Peer, host}, {n.settings.Announce, announce}, {n.settings.Control, control}} {
		if err := n.serve(l.addr, l.handler); err != nil {
			return err
		}
	}
	go n.readLog(ctx)
	go n.pollPeers(ctx)
	return nil
}

func (n *Node) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: n.settings.HeaderTimeout.Std(), MaxHeaderBytes: n.settings.MaxHeaderBytes}
	n.servers = append(n.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// Stop lets requests in flight finish and closes the listeners.
func (n *Node) Stop(ctx context.Context) {
	for _, s := range n.servers {
		_ = s.Shutdown(ctx)
	}
	n.cancel()
}

// Match implements proxy.Router.
func (n *Node) Match(r *http.Request) (*routing.Route, error) {
	if n.version.Load() == 0 {
		return nil, resultcode.New(resultcode.NoConfiguration, "no configuration")
	}
	path, err := routing.Normalize(r.URL.EscapedPath())
	if err != nil {
		return nil, resultcode.New(resultcode.BadRequest, "%w", err)
	}
	route, ok := n.table.Load().Lookup(r.Host, path, r.Method)
	if !ok {
		return nil, resultcode.New(resultcode.NoRoute, "no route for %s %s", r.Method, path)
	}
	return route, nil
}

// Version implements proxy.Router.
func (n *Node) Version() int64 { return n.version.Load() }
