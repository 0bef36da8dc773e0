package loadbalancer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssopbridge/fleet"
	"hyssopbridge/resultcode"
)

func endpoint(id, zone string, state fleet.InstanceState) fleet.Endpoint {
	return fleet.Endpoint{
		Instance: fleet.Instance{ID: id, Service: "s", Incarnation: 1, Slots: 5, State: state},
		Node:     fleet.Node{ID: "host-" + id, Zone: zone, Region: "r-" + zone[:1]},
	}
}

func ready(n int, zone string) []fleet.Endpoint {
	var out []fleet.Endpoint
	for i := range n {
		out = append(out, endpoint(fmt.Sprintf("%s-%d", zone, i), zone, fleet.Ready))
	}
	return out
}

func newBalancer(cfg Config) *Balancer {
	cfg.Node, cfg.Zone, cfg.Region = "entry", "a1", "r-a"
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(1, 2)).Float64
	}
	return New(cfg)
}

func genEndpoints(t *rapid.T) []fleet.Endpoint {
	var out []fleet.Endpoint
	for i := range rapid.IntRange(0, 12).Draw(t, "targets") {
		zone := rapid.SampledFrom([]string{"a1", "a2", "b1"}).Draw(t, "zone")
		state := fleet.InstanceState(rapid.IntRange(0, 3).Draw(t, "state"))
		out = append(out, endpoint(fmt.Sprintf("t%d", i), zone, state))
	}
	return out
}

func genList(t *rapid.T) *fleet.EjectionList {
	list := &fleet.EjectionList{Service: "s", Epoch: 1, Seq: 1}
	for range rapid.IntRange(0, 15).Draw(t, "entries") {
		id := fmt.Sprintf("t%d", rapid.IntRange(0, 14).Draw(t, "ejected"))
		trial := rapid.SampledFrom([]float64{0, 0, 0.2, 1}).Draw(t, "trial")
		list.Entries = append(list.Entries, fleet.Ejection{Target: id, Trial: trial})
	}
	return list
}

// Guards against a view that ejects targets below the floor (invariant P1), keeps
// a listed target in service although the floor permits its ejection, or skips an
// entry of the list.
func TestFloorHoldsForAnyList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints, list := genEndpoints(t), genList(t)
		floor := rapid.IntRange(0, 12).Draw(t, "floor")
		b := newBalancer(Config{Subset: rapid.SampledFrom([]int{2, 32}).Draw(t, "subset")})
		b.Update(0, "s", floor, endpoints, nil)
		faulty := rapid.SliceOfDistinct(rapid.IntRange(0, 11), rapid.ID).Draw(t, "link faults")
		for _, i := range faulty {
			if i < len(endpoints) {
				b.failLink(fmt.Sprintf("t%d", i))
			}
		}
		b.Update(0, "s", floor, endpoints, list)
		linkFaults := map[string]bool{}
		for _, i := range faulty {
			linkFaults[fmt.Sprintf("t%d", i)] = true
		}
		inService := reachable(endpoints, linkFaults)
		ejected := applyEjections(b.view("s").list, inService, floor)
		kept := 0
		listed := map[string]bool{}
		for _, e := range list.Entries {
			listed[e.Target] = true
		}
		wantKept := len(inService)
		for id := range inService {
			if ejected[id] == nil {
				kept++
			}
			if listed[id] && wantKept > max(floor, 0) {
				wantKept--
			}
		}
		if kept < min(floor, len(inService)) {
			t.Fatalf("%d of %d targets remain in service, the floor is %d", kept, len(inService), floor)
		}
		if kept != wantKept {
			t.Fatalf("%d targets remain in service, want %d", kept, wantKept)
		}
		if len(inService) < floor && len(ejected) > 0 {
			t.Fatalf("%d targets are ejected with %d in service and a floor of %d", len(ejected), len(inService), floor)
		}
		checkWorstFirst(t, list, inService, ejected)
		checkPicks(t, b, floor, endpoints, linkFaults)
	})
}

// reachable returns the IDs of the ready targets without a link fault.
func reachable(endpoints []fleet.Endpoint, linkFaults map[string]bool) map[string]bool {
	out := map[string]bool{}
	for _, e := range endpoints {
		if e.State == fleet.Ready && !linkFaults[e.ID] {
			out[e.ID] = true
		}
	}
	return out
}

// checkWorstFirst requires that a listed target in service is ejected only if all
// targets in service that precede it in the list are ejected as well. Only the
// first entry of a target counts.
func checkWorstFirst(t *rapid.T, list *fleet.EjectionList, inService map[string]bool, ejected map[string]*fleet.Ejection) {
	kept := ""
	seen := map[string]bool{}
	for _, e := range list.Entries {
		if !inService[e.Target] || seen[e.Target] {
			continue
		}
		seen[e.Target] = true
		if ejected[e.Target] == nil {
			kept = e.Target
		} else if kept != "" {
			t.Fatalf("%s is ejected, but %s, which precedes it in the list, is not", e.Target, kept)
		}
	}
}

// checkPicks requires that Pick never returns a target that is draining, down or
// excluded, or an ejected one except for a trial request. The outcomes that it
// reports cause and clear link faults, which changes the targets that are ejected.
func checkPicks(t *rapid.T, b *Balancer, floor int, endpoints []fleet.Endpoint, linkFaults map[string]bool) {
	state := map[string]fleet.InstanceState{}
	for _, e := range endpoints {
		state[e.ID] = e.State
	}
	r := Request{
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Class:      fleet.Class(rapid.IntRange(0, 3).Draw(t, "class")),
		Exclude:    rapid.SliceOfN(rapid.SampledFrom([]string{"t0", "t1", "t2", "t3"}), 0, 3).Draw(t, "exclude"),
	}
	for range 20 {
		p, err := b.Pick(time.Hour, "s", r)
		if err != nil {
			return
		}
		id := p.Endpoint.ID
		e := applyEjections(b.view("s").list, reachable(endpoints, linkFaults), floor)[id]
		switch {
		case state[id] == fleet.Draining || state[id] == fleet.Down:
			t.Fatalf("picked %s, which is %v", id, state[id])
		case slices.Contains(r.Exclude, id):
			t.Fatalf("picked %s, which is excluded", id)
		case e != nil && (!r.Idempotent || e.Trial == 0 || !p.Trial):
			t.Fatalf("picked %s, which is ejected, trial %v", id, p.Trial)
		case e == nil && p.Trial:
			t.Fatalf("picked %s for a trial request, but it is not ejected", id)
		}
		outcome := Outcome(rapid.IntRange(0, int(Canceled)).Draw(t, "outcome"))
		p.Done(time.Hour, Result{Outcome: outcome, ReportedLoad: -1})
		if outcome != Canceled {
			linkFaults[id] = outcome == LinkFault
		}
	}
}

func (b *Balancer) view(name string) view {
	v, _ := b.services.Load(name)
	return v.(*service).view
}

func (b *Balancer) failLink(id string) {
	b.load(id).recordLinkFault(0)
}

func (b *Balancer) load(id string) *Load {
	v, _ := b.services.Load("s")
	svc := v.(*service)
	i := slices.IndexFunc(svc.view.endpoints, func(e fleet.Endpoint) bool { return e.ID == id })
	return &svc.targets[i].Load
}

// Guards against a Pick that fails although a usable target exists.
func TestPickFindsTheOnlyUsableTarget(t *testing.T) {
	b := newBalancer(Config{Subset: 40})
	endpoints := ready(40, "b1")
	b.Update(0, "s", 1, endpoints, nil)
	exclude := otherIDs(b, "b1-17")
	for range 20 {
		p, err := b.Pick(0, "s", Request{Exclude: exclude})
		if err != nil || p.Endpoint.ID != "b1-17" {
			t.Fatalf("picked %v, error %v, want b1-17", p.Endpoint, err)
		}
	}
}

// Guards against connections to all hosts of a large service, and against a
// subset in which one tier or unusable hosts displace the others.
func TestSubsetPerTier(t *testing.T) {
	b := newBalancer(Config{Subset: 8})
	list := &fleet.EjectionList{Epoch: 1}
	for i := range 90 {
		list.Entries = append(list.Entries, fleet.Ejection{Target: fmt.Sprintf("a1-%d", i), Trial: 0.1})
	}
	snapshot := b.Update(0, "s", 1, slices.Concat(ready(100, "a1"), ready(100, "a2"), ready(100, "b1")), list)
	for tier := range snapshot.tiers {
		if got := len(snapshot.tiers[tier].members); got != 8 {
			t.Errorf("tier %d has %d targets, want 8", tier, got)
		}
	}
}

// Guards against requests that leave the zone while it has free slots, and against
// requests that stay in it when it has none.
func TestZoneFirstThenRegion(t *testing.T) {
	b := newBalancer(Config{})
	b.Update(0, "s", 1, slices.Concat(ready(2, "a1"), ready(2, "a2"), ready(2, "b1")), nil)
	zones := map[string]int{}
	for range 30 {
		p, err := b.Pick(0, "s", Request{})
		if err != nil {
			t.Fatal(err)
		}
		zones[p.Endpoint.Node.Zone]++
	}
	// Sampling may miss the last free slots of a tier, hence the margin.
	if zones["a1"] < 8 || zones["a2"] < 8 || zones["b1"] == 0 {
		t.Errorf("30 requests to 3 tiers of 10 slots each went to zones %v", zones)
	}
	b = newBalancer(Config{})
	b.Update(0, "s", 1, slices.Concat(ready(2, "a1"), ready(2, "b1")), nil)
	for range 200 {
		p, _ := b.Pick(0, "s", Request{})
		if p.Endpoint.Node.Zone != "a1" {
			t.Fatal("a request left the zone while its targets were idle")
		}
		p.Done(0, Result{ReportedLoad: 0})
	}
}

// Guards against sending requests to targets that have just refused others, which
// would use up the retry budget, and against refusing orders while any target
// remains.
func TestShedBackoff(t *testing.T) {
	b := newBalancer(Config{})
	b.Update(0, "s", 1, ready(2, "a1"), nil)
	for range 2 {
		p, err := b.Pick(0, "s", Request{})
		if err != nil {
			t.Fatal(err)
		}
		p.Done(0, Result{Outcome: Shed, ReportedLoad: -1})
	}
	_, err := b.Pick(0, "s", Request{})
	var refused *resultcode.Error
	if !errors.As(err, &refused) || refused.Code != resultcode.ShedByTarget {
		t.Errorf("Pick while all targets shed: %v, want ShedByTarget", err)
	}
	if _, err := b.Pick(0, "s", Request{Class: fleet.Order}); err != nil {
		t.Errorf("Pick for an order while all targets shed: %v", err)
	}
	if _, err := b.Pick(shedBackoffMin, "s", Request{}); err != nil {
		t.Errorf("Pick after the backoff: %v", err)
	}
}

// Guards against counters that are lost when the snapshot changes, or kept when a
// target restarts.
func TestLoadSurvivesSnapshots(t *testing.T) {
	b := newBalancer(Config{})
	endpoints := ready(1, "a1")
	b.Update(0, "s", 1, endpoints, nil)
	p, err := b.Pick(0, "s", Request{})
	if err != nil {
		t.Fatal(err)
	}
	b.Update(0, "s", 1, slices.Clone(endpoints), nil)
	if got := b.load("a1-0").Outstanding(); got != 1 {
		t.Errorf("%d outstanding after an update, want 1", got)
	}
	p.Done(0, Result{ReportedLoad: -1})
	if got := b.load("a1-0").Outstanding(); got != 0 {
		t.Errorf("%d outstanding after Done, want 0", got)
	}
	_, _ = b.Pick(0, "s", Request{})
	restarted := slices.Clone(endpoints)
	restarted[0].Incarnation = 2
	b.Update(0, "s", 1, restarted, nil)
	if got := b.load("a1-0").Outstanding(); got != 0 {
		t.Errorf("%d outstanding after a restart, want 0", got)
	}
}

// Guards against an older ejection list that replaces a newer one.
func TestOlderListIsIgnored(t *testing.T) {
	b := newBalancer(Config{})
	endpoints := ready(3, "a1")
	list := func(epoch, seq int64, target string) *fleet.EjectionList {
		return &fleet.EjectionList{Epoch: epoch, Seq: seq, Entries: []fleet.Ejection{{Target: target}}}
	}
	for _, step := range []struct {
		list    *fleet.EjectionList
		ejected string
	}{{list(2, 1, "a1-0"), "a1-0"}, {list(1, 9, "a1-1"), "a1-0"}, {nil, "a1-0"}, {list(2, 2, "a1-2"), "a1-2"}, {list(2, 1, "a1-0"), "a1-2"}, {list(3, 0, "a1-1"), "a1-1"}} {
		snapshot := b.Update(0, "s", 1, endpoints, step.list)
		for _, m := range snapshot.tiers[tierZone].members {
			if m.endpoint.ID == step.ejected {
				t.Errorf("after list %+v, %s is not ejected", step.list, step.ejected)
			}
		}
		if snapshot.Stats().Ejected != 1 {
			t.Errorf("after list %+v, %d targets are ejected, want 1", step.list, snapshot.Stats().Ejected)
		}
	}
}

// Guards against a target in cold start, or one that takes trial requests, that
// receives a full share of the requests or none.
func TestReducedShares(t *testing.T) {
	for _, c := range []struct {
		name     string
		age      time.Duration
		state    fleet.InstanceState
		list     *fleet.EjectionList
		min, max int // of 2,000 requests to 10 targets; a full share is 200
	}{
		{"cold", 0, fleet.Cold, nil, 8, 40},
		{"cold for 5 s", 5 * time.Second, fleet.Cold, nil, 40, 100},
		{"ready", 0, fleet.Ready, nil, 150, 250},
		{"trial", 0, fleet.Ready, &fleet.EjectionList{Epoch: 1, Entries: []fleet.Ejection{{Target: "a1-0", Trial: 0.2}}}, 25, 65},
	} {
		b := newBalancer(Config{})
		endpoints := ready(10, "a1")
		endpoints[0].State = c.state
		b.Update(0, "s", 1, endpoints, c.list)
		b.Refresh(c.age)
		got := 0
		for range 2000 {
			p, err := b.Pick(c.age, "s", Request{Idempotent: true})
			if err != nil {
				t.Fatal(err)
			}
			if p.Endpoint.ID == "a1-0" {
				got++
			}
			p.Done(c.age, Result{ReportedLoad: -1})
		}
		if got < c.min || got > c.max {
			t.Errorf("%s: %d of 2000 requests, want %d to %d", c.name, got, c.min, c.max)
		}
	}
}

// Guards against a link fault that persists after its backoff, and against
// counting a target with a link fault as in service.
func TestLinkFault(t *testing.T) {
	b := newBalancer(Config{})
	list := &fleet.EjectionList{Epoch: 1, Entries: []fleet.Ejection{{Target: "a1-0"}}}
	b.Update(0, "s", 2, ready(3, "a1"), list)
	if got := b.Snapshot("s").Stats(); got.Ejected != 1 {
		t.Fatalf("%+v, want one target ejected", got)
	}
	p, _ := b.Pick(0, "s", Request{})
	faulty := p.Endpoint.ID
	p.Done(0, Result{Outcome: LinkFault, ReportedLoad: -1})
	if got := b.Snapshot("s").Stats(); got.Ejected != 0 || got.InService != 2 {
		t.Errorf("after a link fault: %+v, want two targets in service and none ejected", got)
	}
	for range 50 {
		p, err := b.Pick(0, "s", Request{})
		if err != nil || p.Endpoint.ID == faulty {
			t.Fatalf("picked %v, error %v, during the link fault of %s", p.Endpoint, err, faulty)
		}
	}
	p, err := b.Pick(linkBackoffMin, "s", Request{Exclude: otherIDs(b, faulty)})
	if err != nil {
		t.Fatalf("Pick after the backoff: %v", err)
	}
	p.Done(linkBackoffMin, Result{Outcome: Succeeded, ReportedLoad: -1})
	if got := b.Snapshot("s").Stats(); got.InService != 3 || got.Ejected != 1 {
		t.Errorf("after the link recovered: %+v, want three targets in service and one ejected", got)
	}
}

func otherIDs(b *Balancer, id string) []string {
	var out []string
	for _, e := range b.Snapshot("s").endpoints {
		if e.ID != id {
			out = append(out, e.ID)
		}
	}
	return out
}
