package ctl

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"hyssopbridge/config/static"
	"hyssopbridge/control"
	"hyssopbridge/node"
	"hyssopbridge/platformlog"
	"hyssopbridge/platformlog/standin"
	"hyssopbridge/proxy"
)

const testManifest = `{"version":1,"mandate":"farms","term":1,"holder":"Riekstu Lentes Grupa","services":[
 {"name":"belt-desk","floor":1,"prefer":"detection","objective":{"latency_ms":500},
  "routes":[{"name":"read","path":"/*","class":"interactive","idempotent":true,"timeout_ms":2000}]}]}`

// liveFleet is a stand-in for the log, two nodes and one target on the host of
// each node.
type liveFleet struct {
	t         *testing.T
	publisher *control.Publisher
	nodes     []*node.Node
}

func startFleet(t *testing.T, token string) *liveFleet {
	t.Helper()
	store := httptest.NewServer(standin.New(time.Now))
	t.Cleanup(store.Close)
	f := &liveFleet{t: t, publisher: control.NewPublisher(control.PublisherConfig{Log: platformlog.NewHTTPClient(store.URL)})}
	for i := range 2 {
		const anyAddr = "127.0.0.1:0"
		s := &static.Settings{Node: fmt.Sprintf("host-%d", i+1), Zone: fmt.Sprintf("zone-%d", i), Listen: anyAddr, Peer: anyAddr, Control: anyAddr,
			Announce: anyAddr, Operator: anyAddr, Log: store.URL, OperatorTokenFile: token}
		s.SetDefaults()
		if i > 0 {
			s.Join = []string{f.nodes[0].ControlAddr()}
		}
		n := node.New(s, node.WithLogger(&log.Logger{Handler: discard.New(), Level: log.ErrorLevel}))
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Kill)
		f.nodes = append(f.nodes, n)
		f.announce(n, fmt.Sprintf("belt-desk-%d", i+1))
	}
	if _, err := f.publisher.Publish(context.Background(), "test", []byte(testManifest), control.HeadBase); err != nil {
		t.Fatal(err)
	}
	return f
}

// announce starts a target that answers "/fail" with status 500 and keeps it
// announced until the test ends.
func (f *liveFleet) announce(n *node.Node, id string) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/fail" {
			w.WriteHeader(http.StatusInternalServerError)
		}
		fmt.Fprintln(w, id)
	}))
	body := fmt.Sprintf(`{"id":%q,"service":"belt-desk","address":%q,"slots":5,"connections":300,"state":"ready"}`, id, target.Listener.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(func() { cancel(); target.Close() })
	go func() {
		for ctx.Err() == nil {
			if resp, err := http.Post("http://"+n.AnnounceAddr()+"/v1/announce", "application/json", strings.NewReader(body)); err == nil {
				resp.Body.Close()
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

func (f *liveFleet) operators() string {
	return f.nodes[0].OperatorAddr() + "," + f.nodes[1].OperatorAddr()
}

// get sends a GET request through the first node.
func (f *liveFleet) get(path string) (status int, id string) {
	resp, err := http.Get("http://" + f.nodes[0].Addr() + path)
	if err != nil {
		f.t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(proxy.RequestIDHeader)
}

// waitReady waits until the first node answers requests.
func (f *liveFleet) waitReady() {
	for range 400 {
		if status, _ := f.get("/x"); status == http.StatusOK {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("the fleet did not answer a request with status 200 in 20 s")
}

// command runs hyssopctl in this process.
func command(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = Run(args, &out, &errs)
	return code, out.String(), errs.String()
}

// eventually repeats a command until its output contains all texts.
func eventually(t *testing.T, texts []string, args ...string) string {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		code, out, errs := command(args...)
		missing := ""
		for _, text := range texts {
			if !strings.Contains(out, text) {
				missing = text
			}
		}
		if missing == "" {
			return out
		}
		if time.Now().After(deadline) {
			t.Fatalf("%v: output lacks %q; exit code %d\n%s%s", args, missing, code, out, errs)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// The status must show the state of the fleet, and failed requests and drains must
// appear as events.
func TestFleet(t *testing.T) {
	f := startFleet(t, "")
	out := eventually(t, []string{"nodes 2 (0 behind, 0 unsound)", "targets 2: 0 ejected", "TARGETS: all 2 are ready", "farms"},
		"status", "-node", f.nodes[0].OperatorAddr())
	t.Log("\n" + out)
	f.waitReady()
	_, id := f.get("/fail")
	out = eventually(t, []string{id + " at entry", "failure"}, "status", "-node", f.operators(), "-request", id)
	t.Log("\n" + out)
	checkDrains(t, f)
	checkBurn(t, f)
	if code, _, errs := command("status", "-node", f.operators()+",127.0.0.1:1"); code != exitPartial || !strings.Contains(errs, "cannot be reached") {
		t.Errorf("with an unreachable node: exit code %d, %s", code, errs)
	}
	if _, err := f.publisher.Withdraw(context.Background(), "farms", "term ended", control.HeadBase); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + eventually(t, []string{"withdrawn: term ended"}, "status", "-node", f.nodes[1].OperatorAddr()))
	t.Log("\n" + eventually(t, []string{"withdrawn: term ended", "join"}, "status", "-events", "-node", f.nodes[1].OperatorAddr()))
}

// checkDrains drains a target through a node that is not its host node.
func checkDrains(t *testing.T, f *liveFleet) {
	code, out, errs := command("drain", "-node", f.nodes[1].OperatorAddr(), "belt-desk-1")
	if code != exitOK || !strings.Contains(out, "belt-desk-1 at node host-1") {
		t.Fatalf("drain: exit code %d, %s%s", code, out, errs)
	}
	t.Log("\n" + eventually(t, []string{"1 draining", "draining"}, "status", "-node", f.nodes[1].OperatorAddr()))
	eventually(t, []string{"drained by an operator"}, "status", "-kind", "drain", "-node", f.nodes[0].OperatorAddr())
	if code, out, errs = command("drain", "-undo", "-node", f.nodes[1].OperatorAddr(), "belt-desk-1"); code != exitOK {
		t.Fatalf("undo: exit code %d, %s%s", code, out, errs)
	}
	eventually(t, []string{"0 draining"}, "status", "-node", f.nodes[1].OperatorAddr())
	for want, args := range map[string][]string{
		"no node knows the target: nothing":      {"drain", "-node", f.nodes[0].OperatorAddr(), "nothing"},
		"the target is not drained: belt-desk-2": {"drain", "-undo", "-node", f.nodes[0].OperatorAddr(), "belt-desk-2"},
	} {
		if code, _, errs := command(args...); code != exitError || !strings.Contains(errs, want) {
			t.Errorf("%v: exit code %d, %s", args, code, errs)
		}
	}
}

func checkBurn(t *testing.T, f *liveFleet) {
	file := filepath.Join(t.TempDir(), "burn.html")
	code, out, errs := command("report", "burn", "-node", f.operators())
	if code != exitOK || !strings.Contains(out, "belt-desk-") || !strings.Contains(out, "counts of 2 nodes") {
		t.Errorf("report burn: exit code %d, %s%s", code, out, errs)
	}
	t.Log("\n" + out)
	if code, _, errs := command("report", "burn", "-html", file, "-node", f.operators()); code != exitOK {
		t.Errorf("report burn -html: exit code %d, %s", code, errs)
	}
	page, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(page), "belt-desk") || strings.Contains(string(page), "ZgotmplZ") {
		t.Errorf("HTML page: %v\n%s", err, page)
	}
	code, _, errs = command("report", "burn", "-node", f.nodes[0].OperatorAddr())
	if code != exitPartial || !strings.Contains(errs, "no recent counts of 1 live nodes (host-2)") {
		t.Errorf("report burn of one node: exit code %d, %s", code, errs)
	}
}
