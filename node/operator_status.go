package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hyssopbridge/control"
	"hyssopbridge/fleet"
	"hyssopbridge/loadbalancer"
	"hyssopbridge/membership"
	"hyssopbridge/operator"
	"hyssopbridge/routing"
)

// statusBuilder builds a Status.
type statusBuilder struct {
	source *operatorSource
	query  operator.StatusQuery
	view   *membership.View
	routes *routeView
	status *operator.Status
}

// Status implements operator.Source.
func (o *operatorSource) Status(q operator.StatusQuery) *operator.Status {
	n := o.n
	progress := n.watcher.Progress()
	b := &statusBuilder{source: o, query: q, view: n.members.View(), routes: n.routes.current.Load()}
	b.status = &operator.Status{
		Node: n.self.ID, Time: time.Now().UTC(), UptimeMS: n.clock().Milliseconds(), Leaving: n.draining.Load(),
		ConfigVersion: b.routes.snapshot.Version, LogOffset: progress.Offset, LogAgeMS: logAgeMS(progress), LogReader: n.watcher.IsReader(),
		HeardAgeMS: n.peerVersions.newestAgeMS(),
		Nodes:      []operator.Node{}, Services: []operator.Service{}, Targets: []operator.Target{}, Mandates: []operator.Mandate{},
	}
	b.addNodes()
	b.addServices()
	b.addMandates()
	b.sortAndTruncate()
	return b.status
}

// maxLogAge is the age above which the head of the platform log counts as unknown.
const maxLogAge = 1000 * time.Hour

// logAgeMS returns the age of the platform log's known head in ms, or -1.
func logAgeMS(p control.Progress) int64 {
	if p.Age < 0 || p.Age > maxLogAge {
		return -1
	}
	return p.Age.Milliseconds()
}

// addNodes adds all nodes except those that left after a planned stop, of which a
// large fleet has thousands an hour.
func (b *statusBuilder) addNodes() {
	newest := max(b.status.ConfigVersion, b.source.n.peerVersions.highest())
	for v := range b.view.All() {
		n := operator.Node{
			ID: v.ID, Zone: v.Zone, Region: v.Region, Incarnation: v.Incarnation,
			State: nodeState(v), LinkFault: b.view.LinkFault(v.ID), Lag: -1, HeardAgeMS: -1,
		}
		if v.ID == b.status.Node {
			n.ConfigVersion, n.Lag, n.HeardAgeMS = b.status.ConfigVersion, newest-b.status.ConfigVersion, 0
		} else if p, ok := b.source.n.peerVersions.get(v.ID); ok {
			n.ConfigVersion, n.Lag, n.HeardAgeMS = p.version, newest-p.version, time.Since(p.at).Milliseconds()
		}
		b.countNode(v, &n)
		if v.Status == membership.Left {
			continue
		}
		b.status.Nodes = append(b.status.Nodes, n)
	}
}

func (b *statusBuilder) countNode(v *membership.NodeView, n *operator.Node) {
	t := &b.status.Totals
	if v.Status < membership.Dead {
		t.Nodes++
		if n.Lag > 0 {
			t.NodesBehind++
		}
	}
	switch {
	case v.Status == membership.Left:
		t.NodesLeft++
	case n.State != "alive" || n.LinkFault:
		t.NodesUnhealthy++
	}
}

func nodeState(v *membership.NodeView) string {
	if v.Leaving && v.Status == membership.Alive {
		return "leaving"
	}
	return v.Status.String()
}

// addServices adds the services that live mandates define or targets announce.
func (b *statusBuilder) addServices() {
	names := map[string]bool{}
	for _, name := range b.view.Services() {
		names[name] = true
	}
	b.routes.live.Services(func(s *routing.Service) bool {
		names[s.Name] = true
		return true
	})
	for name := range names {
		b.addService(name)
	}
}

func (b *statusBuilder) addService(name string) {
	s := operator.Service{Name: name, Lease: "none", ListAgeMS: b.source.listAgeMS(name)}
	if settings, ok := b.routes.live.Service(name); ok {
		s.Mandate, s.Floor, s.Prefer = settings.Mandate, settings.Floor, string(settings.Prefer)
	}
	snapshot := b.source.n.balancer.Snapshot(name)
	if snapshot != nil {
		stats := snapshot.Stats()
		s.Announced, s.InService, s.Ejected, s.Clamped = stats.Announced, stats.InService, stats.Ejected, stats.Clamped
	}
	list := b.source.n.lists.get(name)
	if list != nil {
		s.ListEpoch, s.ListSeq = list.Epoch, list.Seq
	}
	// At the floor no further target can be ejected. Without a mandate the floor
	// is unknown.
	s.AtFloor = s.Mandate != "" && b.countInService(name, snapshot) <= s.Floor
	b.addLease(&s)
	b.countService(&s)
	b.addTargets(name, snapshot, list)
	if b.query.Service == "" || b.query.Service == name {
		b.status.Services = append(b.status.Services, s)
	}
}

// countInService returns the number of ready targets that are not ejected.
func (b *statusBuilder) countInService(name string, snapshot *loadbalancer.Snapshot) int {
	count := 0
	for _, e := range b.view.Endpoints(name) {
		if e.State == fleet.Ready && (snapshot == nil || !snapshot.Ejected(e.ID)) {
			count++
		}
	}
	return count
}

func (b *statusBuilder) addLease(s *operator.Service) {
	group, ok := b.routes.snapshot.HomeGroup(s.Name)
	if !ok {
		return
	}
	s.Epoch, s.Members, s.Lease = group.Epoch, len(group.Members), "elsewhere"
	if home, ok := b.source.n.home.homeOf(s.Name, ""); ok {
		s.Arbiter = home.Node
	}
	if l, held := b.source.n.home.peekLease(s.Name); held && l.Epoch == s.Epoch {
		s.Lease = "held"
	} else if containsMember(group.Members, b.source.n.member) {
		s.Lease = "unconfirmed"
	}
}

func (b *statusBuilder) countService(s *operator.Service) {
	t := &b.status.Totals
	t.Services++
	if s.AtFloor {
		t.AtFloor++
	}
	if s.Lease == "held" {
		t.LeasesHeld++
	}
	if s.Epoch == 0 {
		t.WithoutGroup++
	}
}

func (b *statusBuilder) addTargets(service string, snapshot *loadbalancer.Snapshot, list *fleet.EjectionList) {
	for _, e := range b.view.Endpoints(service) {
		t := operator.Target{ID: e.ID, Service: service, Node: e.Node.ID, Zone: e.Node.Zone, SinceMS: -1}
		setCondition(&t, &e, snapshot, findEjection(list, e.ID))
		b.countTarget(t.Condition)
		if b.selected(&t) {
			b.status.Targets = append(b.status.Targets, t)
		}
	}
}

// setCondition sets the condition of a target and the details of its ejection.
func setCondition(t *operator.Target, e *fleet.Endpoint, snapshot *loadbalancer.Snapshot, entry *fleet.Ejection) {
	if entry != nil {
		t.Reason = entry.Reason
		t.SinceMS = max(0, time.Now().UnixMilli()-entry.SinceMS)
		t.TrialPercent = int(100 * entry.Trial)
	}
	switch {
	case e.State == fleet.Down:
		t.Condition = operator.ConditionDown
	case e.State == fleet.Draining:
		t.Condition = operator.ConditionDraining
	case entry != nil && snapshot != nil && !snapshot.Ejected(e.ID):
		t.Condition = operator.ConditionClamped
	case entry != nil && entry.Trial > 0:
		t.Condition = operator.ConditionTrial
	case entry != nil:
		t.Condition = operator.ConditionEjected
	case e.State == fleet.Cold:
		t.Condition = operator.ConditionCold
	default:
		t.Condition = operator.ConditionReady
	}
}

func (b *statusBuilder) countTarget(condition string) {
	t := &b.status.Totals
	t.Targets++
	switch condition {
	case operator.ConditionEjected, operator.ConditionTrial:
		t.Ejected++
	case operator.ConditionClamped:
		t.Clamped++
	case operator.ConditionDraining:
		t.Draining++
	case operator.ConditionDown:
		t.Down++
	case operator.ConditionCold:
		t.Cold++
	}
}

// selected reports whether the query asks for a target. A query without a service
// and a target asks for those that are not ready.
func (b *statusBuilder) selected(t *operator.Target) bool {
	if b.query.Service == "" && b.query.Target == "" {
		return t.Condition != operator.ConditionReady
	}
	return (b.query.Service == "" || b.query.Service == t.Service) && (b.query.Target == "" || b.query.Target == t.ID)
}

func (b *statusBuilder) addMandates() {
	for m := range b.routes.snapshot.Mandates() {
		b.status.Totals.Mandates++
		if m.Withdrawn {
			b.status.Totals.Withdrawn++
		}
		services := 0
		if m.Manifest != nil {
			services = len(m.Manifest.Services)
		}
		b.status.Mandates = append(b.status.Mandates, operator.Mandate{
			Name: m.Name, Holder: m.Holder, Term: m.Term, Revision: m.Revision,
			Services: services, Withdrawn: m.Withdrawn, Reason: m.Reason,
		})
	}
}

// sortAndTruncate sorts each list by need for attention and truncates it.
func (b *statusBuilder) sortAndTruncate() {
	limit, s := b.query.ItemLimit(), b.status
	s.Nodes, s.Omitted.Nodes = truncate(s.Nodes, limit, func(n operator.Node) (int, string) {
		dead := n.State == membership.Dead.String()
		return rank(!dead && (n.State != "alive" || n.LinkFault), !dead && n.Lag > 0, dead, n.Lag < 0), n.ID
	})
	s.Services, s.Omitted.Services = truncate(s.Services, limit, func(v operator.Service) (int, string) {
		return rank(v.Clamped > 0, v.Ejected > 0, v.AtFloor), v.Name
	})
	s.Targets, s.Omitted.Targets = truncate(s.Targets, limit, func(t operator.Target) (int, string) {
		return rank(t.Condition == operator.ConditionClamped, t.Reason != "", t.Condition == operator.ConditionDraining), t.ID
	})
	s.Mandates, s.Omitted.Mandates = truncate(s.Mandates, limit, func(m operator.Mandate) (int, string) {
		return rank(m.Withdrawn), m.Name
	})
}

// rank returns the index of the first condition that holds.
func rank(conditions ...bool) int {
	if i := slices.Index(conditions, true); i >= 0 {
		return i
	}
	return len(conditions)
}

func truncate[T any](list []T, limit int, key func(T) (int, string)) (kept []T, omitted int) {
	slices.SortFunc(list, func(a, b T) int {
		ra, na := key(a)
		rb, nb := key(b)
		return cmp.Or(cmp.Compare(ra, rb), cmp.Compare(na, nb))
	})
	if len(list) <= limit {
		return list, 0
	}
	return list[:limit], len(list) - limit
}

// highest returns the highest configuration version that a peer reported.
func (v *peerVersions) highest() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := int64(0)
	for p := range maps.Values(v.byNode) {
		out = max(out, p.version)
	}
	return out
}

// newestAgeMS returns the time since the last message of any peer, in ms, or -1 if
// there was none.
func (v *peerVersions) newestAgeMS() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	var at time.Time
	for p := range maps.Values(v.byNode) {
		if p.at.After(at) {
			at = p.at
		}
	}
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Milliseconds()
}
