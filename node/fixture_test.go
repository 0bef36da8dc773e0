package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hyssopbridge/config/static"
	"hyssopbridge/control"
	"hyssopbridge/fleet"
	"hyssopbridge/platformlog/standin"
	"hyssopbridge/registry"
)

const testDocument = `{"version":1,"mandate":"m","term":1,"holder":"h","services":[{"name":"s","floor":1,"slots":2,"queue":4,"routes":[
 {"name":"read","path":"/read/*","class":"interactive","idempotent":true,"timeout_ms":5000},
 {"name":"order","path":"/order/*","class":"order","idempotent":false,"timeout_ms":5000,"max_body_bytes":200000},
 {"name":"limited","path":"/limited/*","class":"interactive","idempotent":true,"rate":{"per_second":1,"burst":5}}]}]}`

// testFleet runs a stand-in for the platform log and nodes in this process, each
// with one target.
type testFleet struct {
	t     *testing.T
	log   *standin.Log
	url   string
	nodes []*Node
}

func newTestFleet(t *testing.T, nodes int, change func(*static.Settings), handler http.HandlerFunc) *testFleet {
	f := &testFleet{t: t, log: standin.New(time.Now)}
	server := httptest.NewServer(f.log)
	t.Cleanup(server.Close)
	f.url = server.URL
	for i := range nodes {
		f.start(i, change)
		f.addTarget(i, handler)
	}
	p := control.NewPublisher(control.PublisherConfig{Log: f.log})
	if _, err := p.Publish(context.Background(), "test.json", []byte(testDocument), control.HeadBase); err != nil {
		t.Fatal(err)
	}
	f.waitReady(nodes)
	return f
}

func (f *testFleet) start(i int, change func(*static.Settings)) {
	const any = "127.0.0.1:0"
	s := &static.Settings{Node: fmt.Sprintf("h%d", i), Zone: fmt.Sprintf("z%d", i%2), Listen: any, Peer: any,
		Control: any, Announce: any, Operator: any, Log: f.url}
	if len(f.nodes) > 0 {
		s.Join = []string{f.nodes[0].ControlAddr()}
	}
	s.SetDefaults()
	if change != nil {
		change(s)
	}
	n := New(s, WithLogger(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel}))
	if err := n.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(n.Kill)
	f.nodes = append(f.nodes, n)
}

// addTarget starts a target on the host of node i and keeps it announced.
func (f *testFleet) addTarget(i int, handler http.HandlerFunc) {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	a := registry.Announcement{ID: fmt.Sprintf("s-%d", i), Service: "s", Address: server.Listener.Addr().String(),
		Slots: 2, Connections: 100, State: fleet.Ready}
	n := f.nodes[i]
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	if err := n.registry.Announce(a); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		for sleep(ctx, 300*time.Millisecond) {
			_ = n.registry.Announce(a)
		}
	}()
}

// waitReady waits until every node has a configuration and knows all targets.
func (f *testFleet) waitReady(targets int) {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		ready := 0
		for _, n := range f.nodes {
			if snapshot := n.balancer.Snapshot("s"); n.Version() > 0 && snapshot != nil && snapshot.Stats().Announced == targets {
				ready++
			}
		}
		if ready == len(f.nodes) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("fleet of %d nodes is not ready after 20 s", len(f.nodes))
}
