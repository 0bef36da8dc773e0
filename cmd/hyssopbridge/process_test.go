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
	"sync/atomic"
	"testing"
	"time"

	"hyssopbridge/control"
	"hyssopbridge/platformlog/standin"
)

// fixture is a log stand-in and two nodes in processes of their own.
type fixture struct {
	t     *testing.T
	log   *standin.Log
	logS  *httptest.Server
	bin   string
	nodes []*process
}

type process struct {
	cmd                                       *exec.Cmd
	listen, peer, control, announce, operator string
}

func newFixture(t *testing.T, nodes int) *fixture {
	f := &fixture{t: t, log: standin.New(time.Now), bin: filepath.Join(t.TempDir(), "hyssopbridge")}
	f.logS = httptest.NewServer(f.log)
	t.Cleanup(f.logS.Close)
	out, err := exec.Command("go", "build", "-o", f.bin, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for i := range nodes {
		f.nodes = append(f.nodes, f.startNode(i, nodes))
	}
	return f
}

// address returns an unused loopback address of node i. Each node has an IP
// of its own, so that ports cannot collide between nodes.
func address(t *testing.T, i int) string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:0", 10+i))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func controlAddress(i int) string { return fmt.Sprintf("127.0.0.%d:7501", 10+i) }

func (f *fixture) startNode(i, nodes int) *process {
	p := &process{listen: address(f.t, i), peer: address(f.t, i), control: controlAddress(i),
		announce: address(f.t, i), operator: address(f.t, i)}
	var join []string
	for j := range nodes {
		if j != i {
			join = append(join, controlAddress(j))
		}
	}
	settings, err := json.Marshal(map[string]any{
		"node": fmt.Sprintf("h%d", i), "zone": fmt.Sprintf("z%d", i), "log": f.logS.URL, "join": join,
		"listen": p.listen, "peer": p.peer, "control": p.control, "announce": p.announce, "operator": p.operator,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	file := filepath.Join(f.t.TempDir(), "settings.json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		f.t.Fatal(err)
	}
	p.cmd = exec.Command(f.bin, "node", "-settings", file)
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = p.cmd.Process.Kill(); _ = p.cmd.Wait() })
	return p
}

// announce keeps a target announced at p until the test ends.
func (f *fixture) announce(p *process, id, service, addr string) {
	body := fmt.Sprintf(`{"id":%q,"service":%q,"address":%q,"slots":5,"connections":300,"state":"ready"}`, id, service, addr)
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			if resp, err := http.Post("http://"+p.announce+"/v1/announce", "application/json", bytes.NewBufferString(body)); err == nil {
				resp.Body.Close()
			}
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

func (f *fixture) publish(document string) {
	p := control.NewPublisher(control.PublisherConfig{Log: f.log})
	if _, err := p.Publish(context.Background(), "test.json", []byte(document), control.HeadBase); err != nil {
		f.t.Fatal(err)
	}
}

// waitStatus repeats a GET until it answers with status.
func waitStatus(t *testing.T, url string, status int) string {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	last := ""
	for time.Now().Before(deadline) {
		resp, err := http.Get(url)
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
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("%s: no status %d; last: %s", url, status, last)
	return ""
}

const document = `{"version":1,"mandate":"belts","term":1,"holder":"riekstu-lentes","services":[{"name":"belt-desk","floor":1,
 "routes":[{"name":"status","path":"/status/*","class":"interactive","idempotent":true},
           {"name":"bundle","path":"/bundles/*","class":"download","idempotent":true},
           {"name":"orders","path":"/orders/*","methods":["POST"],"class":"order","idempotent":false}]}]}`

// Guards against a break anywhere on the path from a caller through an entry
// node and a host node, in processes of their own, to a target.
func TestTwoProcesses(t *testing.T) {
	f := newFixture(t, 2)
	var served atomic.Int64
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		fmt.Fprintf(w, "answer to %s", r.URL.Path)
	}))
	defer target.Close()
	f.announce(f.nodes[1], "belt-desk-1", "belt-desk", target.Listener.Addr().String())
	f.publish(document)
	got := waitStatus(t, "http://"+f.nodes[0].listen+"/status/7", http.StatusOK)
	if got != "answer to /status/7" {
		t.Errorf("answer %q", got)
	}
	if served.Load() == 0 {
		t.Error("the target served nothing")
	}
	waitStatus(t, "http://"+f.nodes[0].listen+"/other", http.StatusNotFound)
}

// Guards against a planned stop of either node of a download that cuts it.
func TestTerminateDuringDownload(t *testing.T) {
	for _, victim := range []int{0, 1} {
		t.Run(fmt.Sprintf("node%d", victim), func(t *testing.T) { terminateDuringDownload(t, victim) })
	}
}

func terminateDuringDownload(t *testing.T, victim int) {
	f := newFixture(t, 2)
	const pieces, piece = 20, 32 << 10
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(pieces*piece))
		for range pieces {
			_, _ = w.Write(bytes.Repeat([]byte("x"), piece))
			w.(http.Flusher).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}))
	defer target.Close()
	f.announce(f.nodes[1], "belt-desk-1", "belt-desk", target.Listener.Addr().String())
	f.publish(document)
	waitStatus(t, "http://"+f.nodes[0].listen+"/status/7", http.StatusOK)
	resp, err := http.Get("http://" + f.nodes[0].listen + "/bundles/b")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	first := make([]byte, piece)
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		t.Fatal(err)
	}
	if err := f.nodes[victim].cmd.Process.Signal(os.Interrupt); err != nil {
		t.Fatal(err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n != (pieces-1)*piece {
		t.Errorf("download cut: %d bytes more, error %v", n, err)
	}
	if err := f.nodes[victim].cmd.Wait(); err != nil {
		t.Errorf("node exit: %v", err)
	}
}
