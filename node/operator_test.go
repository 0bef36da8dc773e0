package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"hyssopbridge/burn"
	"hyssopbridge/config/static"
	"hyssopbridge/control"
	"hyssopbridge/events"
	"hyssopbridge/fleet"
	"hyssopbridge/membership"
	"hyssopbridge/operator"
	"hyssopbridge/platformlog"
	"hyssopbridge/platformlog/standin"
	"hyssopbridge/proxy"
)

const operatorManifest = `{"version":1,"mandate":"shops","term":1,"holder":"Hanagasa Chair Dressing KK","services":[
 {"name":"reserve","floor":1,"routes":[
  {"name":"read","path":"/stock/*","class":"interactive","idempotent":false,"timeout_ms":2000},
  {"name":"order","path":"/orders/*","class":"order","idempotent":false,"timeout_ms":2000}]}]}`

// operatorFleet runs a stand-in for the platform log and nodes, with targets on the
// host of the last node.
type operatorFleet struct {
	nodes []*Node
	lines *memory.Handler
}

func startOperatorFleet(t testing.TB, count int, target http.HandlerFunc) *operatorFleet {
	t.Helper()
	store := httptest.NewServer(standin.New(time.Now))
	t.Cleanup(store.Close)
	f := &operatorFleet{lines: memory.New()}
	for i := range count {
		const any = "127.0.0.1:0"
		s := &static.Settings{Node: fmt.Sprintf("host-%d", i+1), Zone: fmt.Sprintf("zone-%d", i), Listen: any, Peer: any, Control: any,
			Announce: any, Operator: any, Log: store.URL}
		s.SetDefaults()
		if i > 0 {
			s.Join = []string{f.nodes[0].ControlAddr()}
		}
		n := New(s, WithLogger(&log.Logger{Handler: f.lines, Level: log.DebugLevel}))
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Kill)
		f.nodes = append(f.nodes, n)
	}
	p := control.NewPublisher(control.PublisherConfig{Log: platformlog.NewHTTPClient(store.URL)})
	if _, err := p.Publish(context.Background(), "test", []byte(operatorManifest), control.HeadBase); err != nil {
		t.Fatal(err)
	}
	f.announce(t, "reserve-1", target)
	waitUntil(t, "the target is known everywhere", func() bool { return f.allKnow(1) })
	return f
}

// allKnow reports whether every node has a configuration and knows at least the
// given number of targets in service.
func (f *operatorFleet) allKnow(targets int) bool {
	for _, n := range f.nodes {
		if snapshot := n.balancer.Snapshot("reserve"); n.Version() == 0 || snapshot == nil || snapshot.Stats().InService < targets {
			return false
		}
	}
	return true
}

// announce starts a target on the host of the last node and keeps it announced.
func (f *operatorFleet) announce(t testing.TB, id string, target http.HandlerFunc) {
	s := httptest.NewServer(target)
	addr := f.nodes[len(f.nodes)-1].AnnounceAddr()
	body := fmt.Sprintf(`{"id":%q,"service":"reserve","address":%q,"slots":5,"connections":300,"state":"ready"}`, id, s.Listener.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); s.Close() })
	go func() {
		for ctx.Err() == nil {
			if resp, err := http.Post("http://"+addr+"/v1/announce", "application/json", strings.NewReader(body)); err == nil {
				resp.Body.Close()
			}
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

func waitUntil(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for range 400 {
		if ok() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("timeout: condition did not hold within 20 s: %s", what)
}

// send sends a caller's request to the first node and returns the request ID.
func (f *operatorFleet) send(t testing.TB, method, path, key, body string) (id string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+f.nodes[0].Addr()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ""
	}
	resp.Body.Close()
	return resp.Header.Get(proxy.RequestIDHeader)
}

func serveTruncated(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", "100")
	fmt.Fprint(w, "secret-answer")
}

// Guards against a truncated response of which the entry or the host node has no
// event under the request's ID, and against events or log lines that contain
// bodies, keys or paths.
func TestRequestHistory(t *testing.T) {
	f := startOperatorFleet(t, 2, serveTruncated)
	id := f.send(t, http.MethodGet, "/stock/1", "", "secret-body")
	for i, hop := range []string{"entry", "host"} {
		waitUntil(t, "an event at hop "+hop, func() bool {
			p := f.nodes[i].operator.Events(events.Filter{Request: id, Kinds: []events.Kind{events.Failure}})
			return len(p.Events) == 1 && p.Events[0].Hop == hop && p.Events[0].Target == "reserve-1" && p.Events[0].Service == "reserve"
		})
	}
	f.send(t, http.MethodPost, "/orders/1", "secret-key-0001", "secret-body")
	waitUntil(t, "an event of the keyed request", func() bool {
		return len(f.nodes[0].operator.Events(events.Filter{Kinds: []events.Kind{events.Refusal, events.Failure}}).Events) > 1
	})
	f.send(t, http.MethodGet, "/elsewhere/secret-path", "", "")
	for _, n := range f.nodes {
		text, err := json.Marshal(n.operator.Events(events.Filter{}))
		if err != nil || strings.Contains(string(text), "secret") {
			t.Errorf("error %v; events contain a body, key or path: %s", err, text)
		}
	}
	for _, e := range f.lines.Entries {
		if strings.Contains(fmt.Sprint(e.Message, e.Fields), "secret") {
			t.Errorf("log line contains a body, key or path: %s %v", e.Message, e.Fields)
		}
	}
}

// Guards against a status that shows a target as ejected although the floor keeps
// it in service, and against ejections without an event.
func TestStatusConditions(t *testing.T) {
	f := startOperatorFleet(t, 1, serveTruncated)
	n := f.nodes[0]
	f.announce(t, "reserve-2", serveTruncated)
	f.announce(t, "reserve-3", serveTruncated)
	waitUntil(t, "three targets are known", func() bool { return f.allKnow(3) })
	n.lists.put(&fleet.EjectionList{Service: "reserve", Epoch: 1, Seq: 1, Entries: []fleet.Ejection{
		{Target: "reserve-1", Reason: "slow", SinceMS: time.Now().UnixMilli()}, {Target: "reserve-2", Trial: 0.1, Reason: "errors"}, {Target: "reserve-3", Reason: "stalls"}}})
	var got *operator.Status
	waitUntil(t, "the list is applied", func() bool {
		got = n.operator.Status(operator.StatusQuery{})
		return got.Totals.Ejected == 2
	})
	var conditions []string
	for _, v := range got.Targets {
		conditions = append(conditions, v.ID+" "+v.Condition+" "+v.Reason)
	}
	want := "[reserve-3 gray stalls reserve-1 ejected slow reserve-2 trial errors]"
	if s := got.Services[0]; fmt.Sprint(conditions) != want || !s.AtFloor || s.Clamped != 1 || s.ListAgeMS < 0 {
		t.Errorf("targets %v, service %+v", conditions, s)
	}
	if p := n.operator.Events(events.Filter{Kinds: []events.Kind{events.Ejection}}); len(p.Events) != 3 {
		t.Errorf("events %+v", p.Events)
	}
	if limited := n.operator.Status(operator.StatusQuery{Limit: 1}); len(limited.Targets) != 1 || limited.Omitted.Targets != 2 || limited.Totals.Targets != 3 {
		t.Errorf("with a limit of 1: %+v", limited)
	}
	n.lists.put(&fleet.EjectionList{Service: "reserve", Epoch: 1, Seq: 2})
	if p := n.operator.Events(events.Filter{Kinds: []events.Kind{events.Recovery}, Target: "reserve-2"}); len(p.Events) != 1 {
		t.Errorf("events %+v", p.Events)
	}
}

// Guards against counts that are lost with a node. After the entry node has
// stopped, two other nodes report its counts, and merging their reports counts
// each request once.
func TestBurnCopies(t *testing.T) {
	f := startOperatorFleet(t, 4, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	waitUntil(t, "all nodes know each other", func() bool {
		return len(f.nodes[0].livePeers()) == 3
	})
	const requests = 5
	for range requests {
		f.send(t, http.MethodGet, "/stock/1", "", "")
	}
	f.nodes[0].operator.burnTracker.replicate(context.Background())
	f.nodes[0].Kill()
	var reports []*burn.Report
	for _, n := range f.nodes[1:] {
		r := n.operator.Burn()
		for i := range r.Intervals {
			if r.Intervals[i].Node == "host-1" {
				reports = append(reports, r)
				break
			}
		}
	}
	if len(reports) != burnReplicaCount {
		t.Fatalf("%d nodes have a copy, want %d", len(reports), burnReplicaCount)
	}
	s := burn.Summarize(burn.Merge(append(reports, reports...)...), time.Now().Unix())
	if len(s.Services) != 1 || s.Services[0].Counted() != requests {
		t.Errorf("summary %+v, want %d requests", s.Services, requests)
	}
}

// Guards against both copies in the availability zone of the node, and against
// copies at nodes that are draining or not alive.
func TestChooseReplicas(t *testing.T) {
	var nodes []*membership.NodeView
	for i := range 12 {
		v := &membership.NodeView{NodeRecord: fleet.NodeRecord{Node: fleet.Node{ID: fmt.Sprintf("h%d", i), Zone: fmt.Sprintf("z%d", i%3)}}}
		v.Leaving = i%4 == 1
		if i%4 == 2 {
			v.Status = membership.Suspect
		}
		nodes = append(nodes, v)
	}
	for i := range 12 {
		self := nodes[i]
		got := chooseReplicas(self.ID, self.Zone, nodes)
		if len(got) != burnReplicaCount || got[0].ID == self.ID || got[1].ID == self.ID || got[0] == got[1] {
			t.Fatalf("replicas of %s: %v", self.ID, got)
		}
		if got[0].Zone == self.Zone && got[1].Zone == self.Zone {
			t.Errorf("both replicas of %s are in its zone", self.ID)
		}
		for _, v := range got {
			if v.Leaving || v.Status != membership.Alive {
				t.Errorf("replica %s of %s is draining or not alive", v.ID, self.ID)
			}
		}
	}
}
