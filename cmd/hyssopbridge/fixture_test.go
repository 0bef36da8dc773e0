package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hyssopbridge/control"
	"hyssopbridge/platformlog/standin"
)

// builtProgram is the hyssopbridge program, built once for all tests.
var builtProgram struct {
	once sync.Once
	path string
	err  error
}

// lastNetwork is the number of the last fixture's loopback network. Each fixture
// has its own, so that ports cannot collide.
var lastNetwork atomic.Int64

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hyssopbridge")
	if err != nil {
		panic(err)
	}
	builtProgram.path = filepath.Join(dir, "hyssopbridge")
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func build(t *testing.T) string {
	builtProgram.once.Do(func() {
		out, err := exec.Command("go", "build", "-o", builtProgram.path, ".").CombinedOutput()
		if err != nil {
			builtProgram.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if builtProgram.err != nil {
		t.Fatal(builtProgram.err)
	}
	return builtProgram.path
}

// fixture is a stand-in for the log and a fleet of nodes, each in its own process.
type fixture struct {
	t         *testing.T
	network   int64
	log       *standin.Log
	logServer *httptest.Server
	nodes     []*process
	client    *http.Client
	taken     map[string]bool // addresses already returned by address
}

// process is a node in its own process.
type process struct {
	cmd                                       *exec.Cmd
	file                                      string // settings file
	listen, peer, control, announce, operator string
}

func newFixture(t *testing.T, nodes int) *fixture {
	f := &fixture{t: t, log: standin.New(time.Now), network: lastNetwork.Add(1), client: &http.Client{Timeout: 15 * time.Second}}
	f.logServer = httptest.NewServer(f.log)
	t.Cleanup(f.logServer.Close)
	build(t)
	for i := range nodes {
		f.nodes = append(f.nodes, f.startNode(i))
	}
	return f
}

// newOrderFixture starts nodes with one target each and waits until every node
// answers orders.
func newOrderFixture(t *testing.T, nodes int) (*fixture, *orderTargets) {
	f := newFixture(t, nodes)
	targets := f.startOrderTargets()
	f.publish(document)
	for _, p := range f.nodes {
		f.waitOrders(p, "ready-"+p.listen)
	}
	return f, targets
}

// address returns an unused address for node i. It never returns an address twice.
func (f *fixture) address(i int) string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", f.network, 10+i))
		if err != nil {
			f.t.Fatal(err)
		}
		addr := l.Addr().String()
		l.Close()
		if !f.taken[addr] {
			if f.taken == nil {
				f.taken = map[string]bool{}
			}
			f.taken[addr] = true
			return addr
		}
	}
}

// If two listeners of a node got the same address, the node would refuse its
// settings, and tests that need a majority would fail at random.
func TestAddressesAreDistinct(t *testing.T) {
	f := &fixture{t: t, network: lastNetwork.Add(1)}
	seen := map[string]bool{}
	for range 2000 {
		addr := f.address(0)
		if seen[addr] {
			t.Fatalf("address %s was returned twice", addr)
		}
		seen[addr] = true
	}
}

func (f *fixture) controlAddress(i int) string {
	return fmt.Sprintf("127.0.%d.%d:7501", f.network, 10+i)
}

// startNode starts node i. It joins the fleet through the first two nodes.
func (f *fixture) startNode(i int) *process {
	p := &process{listen: f.address(i), peer: f.address(i), control: f.controlAddress(i), announce: f.address(i), operator: f.address(i)}
	settings, err := json.Marshal(map[string]any{
		"node": fmt.Sprintf("h%d", i), "zone": fmt.Sprintf("z%d", i%2), "log": f.logServer.URL,
		"join":   []string{f.controlAddress(0), f.controlAddress(1)},
		"listen": p.listen, "peer": p.peer, "control": p.control, "announce": p.announce, "operator": p.operator,
		"log_level": "error",
	})
	if err != nil {
		f.t.Fatal(err)
	}
	p.file = filepath.Join(f.t.TempDir(), "settings.json")
	if err := os.WriteFile(p.file, settings, 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.run(p)
	return p
}

// run starts the process of p, which is killed at the end of the test.
func (f *fixture) run(p *process) {
	cmd := exec.Command(builtProgram.path, "node", "-settings", p.file)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	p.cmd = cmd
	f.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// announce announces a target to p periodically until the test ends.
func (f *fixture) announce(p *process, id, service, addr string) {
	body := fmt.Sprintf(`{"id":%q,"service":%q,"address":%q,"slots":5,"connections":300,"state":"ready"}`, id, service, addr)
	ctx, cancel := context.WithCancel(context.Background())
	client := &http.Client{Timeout: time.Second}
	f.t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			if resp, err := client.Post("http://"+p.announce+"/v1/announce", "application/json", bytes.NewBufferString(body)); err == nil {
				resp.Body.Close()
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

func (f *fixture) publisher() *control.Publisher {
	return control.NewPublisher(control.PublisherConfig{Log: f.log})
}

func (f *fixture) publish(document string) {
	if _, err := f.publisher().Publish(context.Background(), "test.json", []byte(document), control.HeadBase); err != nil {
		f.t.Fatal(err)
	}
}

// waitStatus repeats a GET request until its response has the given status, and
// returns the body.
func (f *fixture) waitStatus(url string, status int) string {
	f.t.Helper()
	deadline := time.Now().Add(30 * time.Second)
	last := ""
	for time.Now().Before(deadline) {
		resp, err := f.client.Get(url)
		if err == nil {
			b, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == status {
				return string(b)
			}
			last = fmt.Sprintf("status %d: %s", resp.StatusCode, b)
		} else {
			last = err.Error()
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatalf("%s: no response with status %d in 30 s; last response: %s", url, status, last)
	return ""
}

const document = `{"version":1,"mandate":"belts","term":1,"holder":"riekstu-lentes","services":[{"name":"belt-desk","floor":1,
 "routes":[{"name":"status","path":"/status/*","class":"interactive","idempotent":true},
           {"name":"bundle","path":"/bundles/*","class":"download","idempotent":true},
           {"name":"orders","path":"/orders/*","methods":["POST"],"class":"order","idempotent":false,"timeout_ms":4000}]}]}`

// orderTargets is the handler of targets that count how often each order ran.
type orderTargets struct {
	mu   sync.Mutex
	runs map[string]int
}

// startOrderTargets starts one target for each node.
func (f *fixture) startOrderTargets() *orderTargets {
	o := &orderTargets{runs: map[string]int{}}
	for i, p := range f.nodes {
		o.start(f, p, i)
	}
	return o
}

func (o *orderTargets) start(f *fixture, p *process, i int) {
	s := httptest.NewServer(o)
	f.t.Cleanup(s.Close)
	f.announce(p, fmt.Sprintf("belt-desk-%d", i), "belt-desk", s.Listener.Addr().String())
}

// ServeHTTP counts the execution of an order and answers after a short time.
func (o *orderTargets) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	number, isOrder := strings.CutPrefix(r.URL.Path, "/orders/")
	if isOrder {
		o.mu.Lock()
		o.runs[number]++
		o.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	fmt.Fprintf(w, "confirmed %s", number)
}

// check fails the test if an order ran more than once.
func (o *orderTargets) check(t *testing.T) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	for number, n := range o.runs {
		if n > 1 {
			t.Errorf("order %s ran %d times", number, n)
		}
	}
}

func (o *orderTargets) ran(number string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.runs[number]
}

// order sends an order through p. ran is the Hb-Ran header of the response.
func (f *fixture) order(p *process, number, key string) (status int, ran string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.listen+"/orders/"+number, strings.NewReader("two rollers"))
	if err != nil {
		f.t.Fatal(err)
	}
	req.GetBody = nil
	req.Header.Set("Idempotency-Key", key)
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, ""
	}
	return resp.StatusCode, resp.Header.Get("Hb-Ran")
}

// waitOrders waits until a new order is answered through p.
func (f *fixture) waitOrders(p *process, label string) {
	f.t.Helper()
	deadline := time.Now().Add(45 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		if status, _ := f.order(p, fmt.Sprintf("%s-%d", label, i), newKey()); status == http.StatusOK {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatal("no order was answered within 45 s")
}
