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
	Subset    int           // host nodes used per service in each tier: own zone, own region, elsewhere; default DefaultSubset
	Choices   int           // targets sampled per pick and tier; default DefaultChoices
	SlowStart time.Duration // time in which the capacity of a cold target ramps up; default DefaultSlowStart

	// Rand returns uniformly distributed numbers in [0, 1). It must be safe for
	// concurrent use. The default is rand.Float64.
	Rand func() float64
}

// Default values of Config.
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

// trackedTarget is the Load of one incarnation of a target.
type trackedTarget struct {
	Load
	incarnation int64
	firstSeen   time.Duration
}

// service is the state of one service in a Balancer.
type service struct {
	mu       sync.Mutex // guards view and targets; held while a Snapshot is built
	view     view
	targets  []*trackedTarget // parallel to view.endpoints
	snapshot atomic.Pointer[Snapshot]
}

// Balancer chooses targets for the requests of one node. Times are durations on
// one monotonic clock that the caller chooses. Its methods are safe for
// concurrent use.
type Balancer struct {
	cfg      Config
	services sync.Map // service name -> *service
}

// New returns a Balancer without services.
func New(cfg Config) *Balancer {
	cfg.setDefaults()
	return &Balancer{cfg: cfg}
}

// Update replaces the targets, floor and ejection list of a service and returns
// the new snapshot. The current ejection list is kept if list is nil or not
// newer. The Balancer retains endpoints; the caller must not modify them.
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
	svc.updateTargets(now, endpoints)
	svc.view = view{service: name, floor: floor, endpoints: endpoints, list: list}
	return svc.rebuild(b, now)
}

// newer reports whether list supersedes current, by epoch and then by sequence
// number.
func newer(list, current *fleet.EjectionList) bool {
	switch {
	case list == nil:
		return false
	case current == nil || list.Epoch > current.Epoch:
		return true
	}
	return list.Epoch == current.Epoch && list.Seq > current.Seq
}

// updateTargets keeps the Loads of known targets and drops those of targets that
// are gone. A new incarnation gets a new Load, since the requests at the previous
// one have ended.
func (s *service) updateTargets(now time.Duration, endpoints []fleet.Endpoint) {
	known := make(map[string]*trackedTarget, len(s.targets))
	for i := range s.view.endpoints {
		known[s.view.endpoints[i].ID] = s.targets[i]
	}
	next := make([]*trackedTarget, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		next[i] = known[e.ID]
		if next[i] == nil || next[i].incarnation != e.Incarnation {
			next[i] = &trackedTarget{incarnation: e.Incarnation, firstSeen: now}
		}
	}
	s.targets = next
}

func (s *service) rebuild(b *Balancer, now time.Duration) *Snapshot {
	snapshot := b.build(s.view, s.targets, now)
	s.snapshot.Store(snapshot)
	return snapshot
}

// Snapshot returns the current snapshot of a service, or nil if it has none.
func (b *Balancer) Snapshot(name string) *Snapshot {
	v, ok := b.services.Load(name)
	if !ok {
		return nil
	}
	return v.(*service).snapshot.Load()
}

// Remove drops all state of a service.
func (b *Balancer) Remove(name string) { b.services.Delete(name) }

// Refresh makes new snapshots of the services that have cold targets or link
// faults, since their capacity depends on time. It should be called every
// second.
func (b *Balancer) Refresh(now time.Duration) {
	b.services.Range(func(_, v any) bool {
		svc := v.(*service)
		svc.mu.Lock()
		defer svc.mu.Unlock()
		if svc.timeDependent() {
			svc.rebuild(b, now)
		}
		return true
	})
}

// timeDependent reports whether the snapshot changes with time alone.
func (s *service) timeDependent() bool {
	for i := range s.view.endpoints {
		if s.view.endpoints[i].State == fleet.Cold || s.targets[i].linkFault() {
			return true
		}
	}
	return false
}

// rebuildService makes a new snapshot of a service after a link fault began or
// ended.
func (b *Balancer) rebuildService(now time.Duration, name string) {
	v, ok := b.services.Load(name)
	if !ok {
		return
	}
	svc := v.(*service)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.rebuild(b, now)
}

// capacity returns the number of slots of e, reduced during its cold start.
func (b *Balancer) capacity(e *fleet.Endpoint, t *trackedTarget, now time.Duration) float64 {
	slots := float64(max(e.Slots, 1))
	if e.State != fleet.Cold {
		return slots
	}
	ramp := min(1, float64(now-t.firstSeen)/float64(b.cfg.SlowStart))
	return slots * (coldWeightMin + (coldWeightMax-coldWeightMin)*ramp)
}
