package loadbalancer

import (
	"sort"
	"time"

	"hyssopbridge/fleet"
)

const (
	coldWeightMin = 0.1 // capacity share of a target that was just announced
	coldWeightMax = 0.5 // capacity share at the end of the slow start
)

// Snapshot is an immutable snapshot of the targets of one service in the view of
// one node.
type Snapshot struct {
	service   string
	floor     int
	tiers     [numTiers]pool
	trial     pool    // withheld targets that admit a share of idempotent requests
	capacity  float64 // sum over tiers
	rand      func() float64
	stats     Stats
	endpoints []fleet.Endpoint           // all, whatever their state
	withheld  map[string]*fleet.Ejection // entries of the list that are applied
}

// Stats describes a Snapshot for operators.
type Stats struct {
	Announced int // targets known
	InService int // ready and reachable from this node
	Ejected   int // kept from normal work by the ejection list
	Clamped   int // entries of the list that the floor kept from being applied
	Usable    int // targets that take normal work in this node's subset
	Trial     int // targets that take trial work
}

// member is one target with its share of the work.
type member struct {
	endpoint *fleet.Endpoint
	load     *Load
	capacity float64 // slots, reduced during slow start
}

// pool is a group of members that is sampled in proportion to weight.
type pool struct {
	members []member
	sums    []float64 // running sums of the weights
}

func (p *pool) add(m member, weight float64) {
	p.members = append(p.members, m)
	p.sums = append(p.sums, p.total()+weight)
}

func (p *pool) total() float64 {
	if len(p.sums) == 0 {
		return 0
	}
	return p.sums[len(p.sums)-1]
}

// at returns the member at position x of the running sums.
func (p *pool) at(x float64) *member {
	i := sort.SearchFloat64s(p.sums, x)
	return &p.members[min(i, len(p.members)-1)]
}

// Stats returns the counts of s.
func (s *Snapshot) Stats() Stats { return s.stats }

// Ejected reports whether the ejection list keeps a target from normal work.
// It is false for an ejected target that the floor keeps in service.
func (s *Snapshot) Ejected(target string) bool { return s.withheld[target] != nil }

// Service returns the service name.
func (s *Snapshot) Service() string { return s.service }

// Endpoint returns a target of s by ID, whatever its state.
func (s *Snapshot) Endpoint(target string) (fleet.Endpoint, bool) {
	for i := range s.endpoints {
		if s.endpoints[i].ID == target {
			return s.endpoints[i], true
		}
	}
	return fleet.Endpoint{}, false
}

// view is the input of a Snapshot.
type view struct {
	service   string
	floor     int
	endpoints []fleet.Endpoint
	list      *fleet.EjectionList
}

// build makes the Snapshot of a view. tracked is parallel to its endpoints.
func (b *Balancer) build(v view, tracked []*tracked, now time.Duration) *Snapshot {
	s := &Snapshot{service: v.service, floor: v.floor, rand: b.cfg.Rand, endpoints: v.endpoints}
	inService := make(map[string]bool)
	open := make([]member, 0, len(v.endpoints))
	for i := range v.endpoints {
		e := &v.endpoints[i]
		if e.State != fleet.Ready && e.State != fleet.Cold {
			continue
		}
		m := member{endpoint: e, load: &tracked[i].Load, capacity: b.capacity(e, tracked[i], now)}
		open = append(open, m)
		if e.State == fleet.Ready && !m.load.linkFault() {
			inService[e.ID] = true
		}
	}
	out := withheld(v.list, inService, v.floor)
	s.withheld = out
	b.fill(s, open, out)
	s.count(v, len(inService), out)
	return s
}

// fill distributes the open members over the pools.
func (b *Balancer) fill(s *Snapshot, open []member, out map[string]*fleet.Ejection) {
	hosts := b.chooseHosts(s.service, open, out)
	for _, m := range open {
		if hosts != nil && !hosts[m.endpoint.Node.ID] {
			continue
		}
		e := out[m.endpoint.ID]
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

// chooseHosts returns the host nodes to use; nil means all.
func (b *Balancer) chooseHosts(service string, open []member, out map[string]*fleet.Ejection) map[string]bool {
	if len(open) <= b.cfg.Subset {
		return nil
	}
	seed := subsetSeed(b.cfg.Node, service)
	at := make(map[string]int, len(open))
	var hosts []hostRank
	for _, m := range open {
		id := m.endpoint.Node.ID
		e := out[m.endpoint.ID]
		if e != nil && e.Trial <= 0 {
			continue
		}
		i, seen := at[id]
		if !seen {
			i = len(hosts)
			at[id] = i
			hosts = append(hosts, hostRank{id: id, tier: b.tier(m), score: score(seed, id)})
		}
		if e == nil && !m.load.linkFault() {
			hosts[i].usable = true
		}
	}
	return subset(hosts, b.cfg.Subset)
}

func (s *Snapshot) count(v view, inService int, out map[string]*fleet.Ejection) {
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
		case out[id] != nil:
			s.stats.Ejected++
		case listed[id]:
			s.stats.Clamped++
		}
	}
}
