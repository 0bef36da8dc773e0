package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/limits"
	"hyssopbridge/proxy"
	"hyssopbridge/registry"
	"hyssopbridge/routing"
)

// localTargets holds the targets on this node's host and their slots. It
// implements proxy.Targets and proxy.SlotPool.
type localTargets struct {
	byID    atomic.Pointer[map[string]proxy.Target]
	service func(name string) (*routing.Service, bool)
	clock   func() time.Duration
	mu      sync.Mutex
	slots   map[string]*limits.Slots
	onWait  func(time.Duration) // called with the time that each request waited for its slot
}

func newLocalTargets(service func(string) (*routing.Service, bool), clock func() time.Duration) *localTargets {
	t := &localTargets{service: service, clock: clock, slots: map[string]*limits.Slots{}, onWait: func(time.Duration) {}}
	t.byID.Store(&map[string]proxy.Target{})
	return t
}

// update replaces the announced targets.
func (t *localTargets) update(list []registry.Target) {
	next := make(map[string]proxy.Target, len(list))
	for _, a := range list {
		next[a.ID] = proxy.Target{Instance: a.Instance, Addr: a.Address}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID.Store(&next)
	for id, s := range t.slots {
		if _, ok := next[id]; !ok {
			s.Close()
			delete(t.slots, id)
		}
	}
	for id, target := range next {
		t.configure(id, target)
	}
}

// reconfigure applies the limits of a new configuration.
func (t *localTargets) reconfigure() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, target := range *t.byID.Load() {
		t.configure(id, target)
	}
}

func (t *localTargets) configure(id string, target proxy.Target) {
	s := t.slots[id]
	if s == nil {
		s = limits.NewSlots(limits.SlotsConfig{Slots: target.Slots, Now: t.clock})
		t.slots[id] = s
	}
	slots, queue := target.Slots, 2*target.Slots
	var headroom [fleet.NumClasses]int
	if svc, ok := t.service(target.Service); ok {
		slots = min(slots, svc.Slots)
		queue = svc.Queue
		headroom = limits.HeadroomFor(slots, svc.Classes)
	}
	s.Configure(slots, queue, headroom)
	if target.State == fleet.Draining || target.State == fleet.Down {
		s.Close()
	} else {
		s.Reopen()
	}
}

// Lookup implements proxy.Targets.
func (t *localTargets) Lookup(id string) (proxy.Target, bool) {
	target, ok := (*t.byID.Load())[id]
	return target, ok
}

// Acquire implements proxy.SlotPool.
func (t *localTargets) Acquire(ctx context.Context, target proxy.Target, class fleet.Class, deadline time.Time) (func(), error) {
	t.mu.Lock()
	s := t.slots[target.ID]
	t.mu.Unlock()
	if s == nil {
		return nil, errNotAnnounced
	}
	start := t.clock()
	slot, err := s.Acquire(ctx, class, time.Until(deadline))
	t.onWait(t.clock() - start)
	if err != nil {
		return nil, err
	}
	return slot.Release, nil
}

// load returns the number of requests that run at the targets and that wait for a
// slot.
func (t *localTargets) load() (running, waiting int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.slots {
		r, w := s.Load()
		running += r
		waiting += w
	}
	return running, waiting
}
