package loadbalancer

import (
	"sort"
	"time"

	"hyssopbridge/fleet"
)

const (
	coldWeightMin = 0.1 // share of its capacity that a cold target starts with
	coldWeightMax = 0.5 // share of its capacity that a cold target has at the end of slow start
)

// Snapshot is an immutable view that one node has of the targets of one service.
type Snapshot struct {
	service   string
	floor     int
	tiers     [numTiers]pool
	trial     pool    // ejected targets that take trial requests
	capacity  float64 // total weight of the tiers
	rand      func() float64
	stats     Stats
	endpoints []fleet.Endpoint           // all targets, in any state
	ejected   map[string]*fleet.Ejection // entries of the ejection list that take effect, by target ID
}

// Stats holds the target counts of a Snapshot, for operators.
type Stats struct {
	Announced int // known targets
	InService int // ready and reachable from this node
	Ejected   int // excluded from normal requests by the ejection list
	Clamped   int // on the ejection list, but not ejected because of the floor
	Usable    int // targets in this node's subset that take normal requests
	Trial     int // targets that take trial requests
}

// member is a target that can be picked.
type member struct {
	endpoint *fleet.Endpoint
	load     *Load
	capacity float64 // slots, reduced during a cold start
}

// pool is a group of members that are sampled in proportion to their weights.
type pool struct {
	members    []member
	cumulative []float64 // cumulative sums of the weights
}

func (p *pool) add(m member, weight float64) {
	p.members = append(p.members, m)
	p.cumulative = append(p.cumulative, p.total()+weight)
}

// total returns the sum of all weights.
func (p *pool) total() float64 {
	if len(p.cumulative) == 0 {
		return 0
	}
	return p.cumulative[len(p.cumulative)-1]
}

// at returns the member whose interval of the cumulative weights contains x.
func (p *pool) at(x float64) *member {
	i := sort.SearchFloat64s(p.cumulative, x)
	return &p.members[min(i, len(p.members)-1)]
}

// Stats returns the target counts of s.
func (s *Snapshot) Stats() Stats { return s.stats }

// Ejected reports whether the ejection list excludes a target from normal
// requests. It is false for a listed target that the floor keeps in service.
func (s *Snapshot) Ejected(target string) bool { return s.ejected[target] != nil }

// Service returns the name of the service.
func (s *Snapshot) Service() string { return s.service }

// Endpoint returns the target with the given ID, in any state.
func (s *Snapshot) Endpoint(target string) (fleet.Endpoint, bool) {
	for i := range s.endpoints {
		if s.endpoints[i].ID == target {
			return s.endpoints[i], true
		}
	}
	return fleet.Endpoint{}, false
}

// view is the input from which a Snapshot is built.
type view struct {
	service   string
	floor     int
	endpoints []fleet.Endpoint
	list      *fleet.EjectionList
}

// build returns the Snapshot of a view. targets is parallel to its endpoints.
func (b *Balancer) build(v view, targets []*trackedTarget, now time.Duration) *Snapshot {
	s := &Snapshot{service: v.service, floor: v.floor, rand: b.cfg.Rand, endpoints: v.endpoints}
	inService := make(map[string]bool)
	candidates := make([]member, 0, len(v.endpoints))
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if e.State != fleet.Ready && e.State != fleet.Cold {
			continue
		}
		m := member{endpoint: e, load: &targets[i].Load, capacity: b.capacity(e, targets[i], now)}
		candidates = append(candidates, m)
		if e.State == fleet.Ready && !m.load.linkFault() {
			inService[e.ID] = true
		}
	}
	ejections := applyEjections(v.list, inService, v.floor)
	s.ejected = ejections
	b.fillPools(s, candidates, ejections)
	s.countTargets(v, len(inService), ejections)
	return s
}

// fillPools adds the candidates that belong to this node's subset to the pools.
func (b *Balancer) fillPools(s *Snapshot, candidates []member, ejected map[string]*fleet.Ejection) {
	hosts := b.chooseHosts(s.service, candidates, ejected)
	for _, m := range candidates {
		if hosts != nil && !hosts[m.endpoint.Node.ID] {
			continue
		}
		e := ejected[m.endpoint.ID]
		switch {
		case e == nil:
			s.tiers[b.tier(m)].add(m, m.capacity)
		case e.Trial > 0:
			s.trial.add(m, m.capacity*min(e.Trial, 1))
		}
	}
	for i := range s.tiers {
		s.capacity += s.tiers[i].total()
	}
}

func (b *Balancer) tier(m member) tier {
	switch {
	case m.endpoint.Node.Zone == b.cfg.Zone:
		return tierZone
	case m.endpoint.Node.Region == b.cfg.Region:
		return tierRegion
	}
	return tierOther
}

// chooseHosts returns the IDs of the host nodes to use; nil means all.
func (b *Balancer) chooseHosts(service string, candidates []member, ejected map[string]*fleet.Ejection) map[string]bool {
	if len(candidates) <= b.cfg.Subset {
		return nil
	}
	seed := subsetSeed(b.cfg.Node, service)
	at := make(map[string]int, len(candidates))
	var hosts []hostCandidate
	for _, m := range candidates {
		id := m.endpoint.Node.ID
		e := ejected[m.endpoint.ID]
		if e != nil && e.Trial <= 0 {
			continue
		}
		i, seen := at[id]
		if !seen {
			i = len(hosts)
			at[id] = i
			hosts = append(hosts, hostCandidate{id: id, tier: b.tier(m), score: rendezvousScore(seed, id)})
		}
		if e == nil && !m.load.linkFault() {
			hosts[i].usable = true
		}
	}
	return selectHosts(hosts, b.cfg.Subset)
}

func (s *Snapshot) countTargets(v view, inService int, ejected map[string]*fleet.Ejection) {
	s.stats = Stats{
		Announced: len(v.endpoints),
		InService: inService,
		Trial:     len(s.trial.members),
	}
	for i := range s.tiers {
		s.stats.Usable += len(s.tiers[i].members)
	}
	if v.list == nil {
		return
	}
	listed := make(map[string]bool, len(v.list.Entries))
	for _, e := range v.list.Entries {
		listed[e.Target] = true
	}
	for i := range v.endpoints {
		switch id := v.endpoints[i].ID; {
		case ejected[id] != nil:
			s.stats.Ejected++
		case listed[id]:
			s.stats.Clamped++
		}
	}
}
