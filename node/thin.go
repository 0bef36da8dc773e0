package node

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"hyssopbridge/config/manifest"
	"hyssopbridge/fleet"
	"hyssopbridge/platformlog"
	"hyssopbridge/proxy"
	"hyssopbridge/resultcode"
	"hyssopbridge/routing"
)

const (
	thinStream = "control"
	thinPoll   = 300 * time.Millisecond
)

// thinRegistry keeps announced targets.
type thinRegistry struct {
	mu      sync.Mutex
	targets map[string]proxy.Target
}

func (t *thinRegistry) Lookup(id string) (proxy.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	target, ok := t.targets[id]
	return target, ok
}

func (t *thinRegistry) announce(w http.ResponseWriter, r *http.Request) {
	var a struct {
		ID, Service, Address, State string
		Slots, Connections          int
	}
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	state := fleet.Ready
	if a.State == "leaving" {
		state = fleet.Leaving
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.targets[a.ID] = proxy.Target{Addr: a.Address, Instance: fleet.Instance{
		ID: a.ID, Service: a.Service, Incarnation: 1, Slots: a.Slots, Connections: a.Connections, State: state}}
}

func (t *thinRegistry) instances() []fleet.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []fleet.Instance
	for _, target := range t.targets {
		out = append(out, target.Instance)
	}
	return out
}

// thinAdmission bounds the requests at each instance to its slots.
type thinAdmission struct {
	mu    sync.Mutex
	slots map[string]chan struct{}
}

func (t *thinAdmission) Acquire(ctx context.Context, target proxy.Target, _ fleet.Class, _ time.Time) (func(), error) {
	t.mu.Lock()
	slots := t.slots[target.ID]
	if slots == nil {
		slots = make(chan struct{}, target.Slots)
		t.slots[target.ID] = slots
	}
	t.mu.Unlock()
	select {
	case slots <- struct{}{}:
		return func() { <-slots }, nil
	case <-ctx.Done():
		return nil, resultcode.New(resultcode.DeadlineTooShort, "no slot before the deadline")
	}
}

type thinAdmitted struct{}

func (thinAdmitted) Admit(string) bool { return true }

type thinFence struct{}

func (thinFence) Check(string, int64) error { return nil }

type thinGate struct{}

func (thinGate) Check(*http.Request, *routing.Route) error { return nil }

type thinBudget struct{}

func (thinBudget) Request(string)    {}
func (thinBudget) Retry(string) bool { return true }

type thinSettler struct{}

func (thinSettler) NotRun(context.Context, fleet.Node, string) bool { return false }

type thinObserver struct{}

func (thinObserver) Start(*routing.Route, *fleet.Endpoint) proxy.Observation {
	return thinObservation{}
}
func (thinObserver) Finished(*proxy.Result) {}

type thinObservation struct{}

func (thinObservation) End(proxy.Outcome, time.Duration) {}

// readLog folds manifests from the log into the route table.
func (n *Node) readLog(ctx context.Context) {
	next := int64(1)
	for ctx.Err() == nil {
		entries, err := n.log.Read(ctx, thinStream, next, 100)
		if err == nil {
			for _, e := range entries {
				next = e.Offset + 1
				n.applyManifest(e)
			}
		}
		sleep(ctx, thinPoll)
	}
}

func (n *Node) applyManifest(e platformlog.Entry) {
	m, err := manifest.Parse("log", e.Data)
	if err != nil {
		return
	}
	table, err := n.table.Load().With(m)
	if err != nil {
		return
	}
	n.table.Store(table)
	n.version.Store(e.Offset)
}

// pollPeers reads the instances of the other nodes.
func (n *Node) pollPeers(ctx context.Context) {
	for ctx.Err() == nil {
		byService := map[string][]fleet.Endpoint{}
		n.addEndpoints(byService, n.self, n.registry.instances())
		for _, peer := range n.settings.Join {
			var rec fleet.NodeRecord
			resp, err := http.Get("http://" + peer + "/v1/instances")
			if err != nil {
				continue
			}
			if json.NewDecoder(resp.Body).Decode(&rec) == nil {
				n.addEndpoints(byService, rec.Node, rec.Instances)
			}
			resp.Body.Close()
		}
		for name, endpoints := range byService {
			n.balancer.Update(n.clock(), name, 1, endpoints, nil)
		}
		sleep(ctx, thinPoll)
	}
}

func (n *Node) addEndpoints(all map[string][]fleet.Endpoint, node fleet.Node, instances []fleet.Instance) {
	for _, in := range instances {
		all[in.Service] = append(all[in.Service], fleet.Endpoint{Instance: in, Node: node})
	}
}

func (n *Node) serveInstances(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(fleet.NodeRecord{Node: n.self, Instances: n.registry.instances()})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
