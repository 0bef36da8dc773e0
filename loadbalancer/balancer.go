package loadbalancer

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hyssopbridge/fleet"
)

// Config holds the settings of a Balancer.
type Config struct {
	Node      string        // ID of this node
	Zone      string        // availability zone of this node
	Region    string        // region of this node
	Subset    int           // host nodes used per service in the own zone, the own region and elsewhere, each; default 32
	Choices   int           // targets sampled per pick and tier; default 3
	SlowStart time.Duration // ramp of a cold target; default 10 s

	// Rand returns uniform numbers in [0, 1) and is safe for concurrent use;
	// default rand.Float64.
	Rand func() float64
}

// Defaults of Config.
const (
	DefaultSubset    = 32
	DefaultChoices   = 3
	DefaultSlowStart = 10 * time.Second
)

func (c *Config) setDefaults() {
	if c.Subset <= 0 {
		c.Subset = DefaultSubset
	}
	if c.Choices <= 0 {
		c.Choices = DefaultChoices
	}
	if c.SlowStart <= 0 {
		c.SlowStart = DefaultSlowStart
	}
	if c.Rand == nil {
		c.Rand = rand.Float64
	}
}

// tracked is a target's Load and the incarnation it belongs to.
type tracked struct {
	Load
	incarnation int64
	firstSeen   time.Duration
}

// service is the state of one service in a Balancer.
type service struct {
	mu      sync.Mutex // guards view and tracked; held while a Snapshot is built
	view    view
	tracked []*tracked // parallel to view.endpoints
	set     atomic.Pointer[Snapshot]
}

// Balancer keeps the Snapshots of one node. Times are durations on one monotonic
// clock that the caller chooses. Its methods are safe for concurrent use.
type Balancer struct {
	cfg      Config
	services sync.Map // service name to *service
}

// New returns a Balancer without services.
func New(cfg Config) *Balancer {
	cfg.setDefaults()
	return &Balancer{cfg: cfg}
}

// Update replaces the targets, floor and ejection list of a service. An older
// ejection list than the one in force is ignored; nil keeps the current one.
// The endpoints are retained and must not be changed by the caller.
func (b *Balancer) Update(now time.Duration, name string, floor int, endpoints []fleet.Endpoint, list *fleet.EjectionList) *Snapshot {
	v, ok := b.services.Load(name)
	if !ok {
		v, _ = b.services.LoadOrStore(name, new(service))
	}
	svc := v.(*service)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if !newer(list, svc.view.list) {
		list = svc.view.list
	}
	svc.track(now, endpoints)
	svc.view = view{service: name, floor: floor, endpoints: endpoints, list: list}
	return svc.rebuild(b, now)
}

func newer(list, current *fleet.EjectionList) bool {
	switch {
	case list == nil:
		return false
	case current == nil || list.Epoch > current.Epoch:
		return true
	}
	return list.Epoch == current.Epoch && list.Seq > current.Seq
}

// track keeps the Loads of known targets and drops those that are gone. A new
// incarnation gets a new Load, since its predecessor's requests have ended.
func (s *service) track(now time.Duration, endpoints []fleet.Endpoint) {
	known := make(map[string]*tracked, len(s.tracked))
	for i := range s.view.endpoints {
		known[s.view.endpoints[i].ID] = s.tracked[i]
	}
	next := make([]*tracked, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		next[i] = known[e.ID]
		if next[i] == nil || next[i].incarnation != e.Incarnation {
			next[i] = &tracked{incarnation: e.Incarnation, firstSeen: now}
		}
	}
	s.tracked = next
}

func (s *service) rebuild(b *Balancer, now time.Duration) *Snapshot {
	set := b.build(s.view, s.tracked, now)
	s.set.Store(set)
	return set
}

// Snapshot returns the current snapshot of a service, or nil if it has none.
func (b *Balancer) Snapshot(name string) *Snapshot {
	v, ok := b.services.Load(name)
	if !ok {
		return nil
	}
	return v.(*service).set.Load()
}

// Remove forgets a service.
func (b *Balancer) Remove(name string) { b.services.Delete(name) }

// Refresh makes new snapshots of services with cold targets or link faults,
// whose capacity depends on time. It is meant to be called every second.
func (b *Balancer) Refresh(now time.Duration) {
	b.services.Range(func(_, v any) bool {
		svc := v.(*service)
		svc.mu.Lock()
		defer svc.mu.Unlock()
		if svc.changing() {
			svc.rebuild(b, now)
		}
		return true
	})
}

func (s *service) changing() bool {
	for i := range s.view.endpoints {
		if s.view.endpoints[i].State == fleet.Cold || s.tracked[i].linkFault() {
			return true
		}
	}
	return false
}

// relink makes a new snapshot after a link fault began or ended.
func (b *Balancer) relink(now time.Duration, name string) {
	v, ok := b.services.Load(name)
	if !ok {
		return
	}
	svc := v.(*service)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.rebuild(b, now)
}

// capacity returns the slots of e, reduced while it is cold.
func (b *Balancer) capacity(e *fleet.Endpoint, t *tracked, now time.Duration) float64 {
	slots := float64(max(e.Slots, 1))
	if e.State != fleet.Cold {
		return slots
	}
	ramp := min(1, float64(now-t.firstSeen)/float64(b.cfg.SlowStart))
	return slots * (coldWeightMin + (coldWeightMax-coldWeightMin)*ramp)
}
