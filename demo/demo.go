package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hyssopbridge/config/static"
	"hyssopbridge/control"
	"hyssopbridge/node"
	"hyssopbridge/platformlog"
	"hyssopbridge/platformlog/standin"
)

const (
	nodeCount       = 4
	smallCallers    = 12
	downloadCallers = 4
	// MinDuration is the shortest duration in which all events of the demo fit.
	MinDuration      = 12 * time.Second
	readyTimeout     = 30 * time.Second
	pollInterval     = 20 * time.Millisecond
	propagationLimit = 5 * time.Second
)

// Demo is a fleet of nodes with targets and callers.
type Demo struct {
	out          io.Writer
	logger       log.Interface
	log          *standin.Log
	logServer    *http.Server
	logURL       string
	publisher    *control.Publisher
	nodes        []*node.Node
	deskTargets  []*target // targets of belt-desk, one on the host of each node
	depotTargets []*target // targets of firmware-depot, one on the host of each node
	counts       callerCounts
	started      time.Time

	mu          sync.Mutex
	callerAddrs []string // addresses of the nodes that callers use
}

// Run runs the demo for d and returns its report. Progress goes to out and the log
// of the nodes to logger. A nil logger discards the log.
func Run(ctx context.Context, d time.Duration, out io.Writer, logger log.Interface) (*Report, error) {
	if d < MinDuration {
		return nil, fmt.Errorf("a demo of %v is too short, want at least %v", d, MinDuration)
	}
	if logger == nil {
		logger = &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	}
	demo := &Demo{out: out, logger: logger, started: time.Now()}
	demo.counts.reportedNotRun = map[string]bool{}
	defer demo.stop()
	if err := demo.start(ctx); err != nil {
		return nil, err
	}
	return demo.runScenario(ctx, d)
}

func (d *Demo) progress(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *Demo) start(ctx context.Context) error {
	if err := d.startLog(); err != nil {
		return err
	}
	for i := range nodeCount {
		if err := d.startNode(i); err != nil {
			return err
		}
	}
	d.progress("started the log stand-in and %d nodes in 2 availability zones", len(d.nodes))
	for _, m := range [][]byte{beltManifest(20), depotManifest()} {
		if _, err := d.publisher.Publish(ctx, "demo", m, control.HeadBase); err != nil {
			return fmt.Errorf("publish: %w", err)
		}
	}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	d.progress("published 2 manifests; %d targets announced, all nodes ready", len(d.deskTargets)+len(d.depotTargets))
	return nil
}

func (d *Demo) startLog() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.log = standin.New(time.Now)
	d.logURL = "http://" + l.Addr().String()
	d.logServer = &http.Server{Handler: d.log}
	go func() { _ = d.logServer.Serve(l) }()
	d.publisher = control.NewPublisher(control.PublisherConfig{Log: platformlog.NewHTTPClient(d.logURL)})
	return nil
}

func (d *Demo) startNode(i int) error {
	const anyAddr = "127.0.0.1:0"
	s := &static.Settings{Node: fmt.Sprintf("host-%d", i+1), Zone: []string{"zone-a", "zone-b"}[i%2],
		Listen: anyAddr, Peer: anyAddr, Control: anyAddr, Announce: anyAddr, Operator: anyAddr, Log: d.logURL}
	s.SetDefaults()
	if len(d.nodes) > 0 {
		s.Join = []string{d.nodes[0].ControlAddr()}
	}
	n := node.New(s, node.WithLogger(d.logger))
	if err := n.Start(); err != nil {
		return err
	}
	d.nodes = append(d.nodes, n)
	d.callerAddrs = append(d.callerAddrs, n.Addr())
	return d.startTargets(i, n)
}

func (d *Demo) startTargets(i int, n *node.Node) error {
	desk, err := startTarget(fmt.Sprintf("belt-desk-%d", i+1), "belt-desk", n.AnnounceAddr())
	if err != nil {
		return err
	}
	d.deskTargets = append(d.deskTargets, desk)
	depot, err := startTarget(fmt.Sprintf("firmware-depot-%d", i+1), "firmware-depot", n.AnnounceAddr())
	if err != nil {
		return err
	}
	d.depotTargets = append(d.depotTargets, depot)
	return nil
}

// waitReady waits until every node answers an order and a HEAD request for a
// download.
func (d *Demo) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, addr := range d.addresses() {
		for i := 0; !d.ready(addr, i); i++ {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("node at %s is not ready after %v", addr, readyTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func (d *Demo) ready(addr string, i int) bool {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/orders/ready-%s-%d", addr, addr, i), http.NoBody)
	if err != nil {
		return false
	}
	req.Header.Set("Idempotency-Key", newUUIDv7(time.Now()))
	if !respondsOK(req) {
		return false
	}
	req, err = http.NewRequest(http.MethodHead, "http://"+addr+"/bundles/b1", nil)
	return err == nil && respondsOK(req)
}

func respondsOK(req *http.Request) bool {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// addresses returns the addresses of the nodes that callers may use.
func (d *Demo) addresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.callerAddrs)
}

// dropAddress removes a node from the callers' list, as a name service would.
func (d *Demo) dropAddress(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callerAddrs = slices.DeleteFunc(slices.Clone(d.callerAddrs), func(a string) bool { return a == addr })
}

func (d *Demo) stop() {
	for _, t := range append(append([]*target(nil), d.deskTargets...), d.depotTargets...) {
		t.stop()
	}
	for _, n := range d.nodes {
		n.Kill()
	}
	if d.logServer != nil {
		_ = d.logServer.Close()
	}
}
