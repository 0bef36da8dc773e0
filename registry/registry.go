package registry

import (
	"slices"
	"sync"
	"time"

	"hyssopbridge/fleet"
)

// Registry is a Core with a lock and a clock. It is safe for concurrent use.
type Registry struct {
	clock    func() time.Time
	onChange func([]Target)

	mu               sync.Mutex
	core             *Core
	publishedVersion uint64
}

// New returns an empty registry. If clock is nil, the system clock is used.
// onChange, if not nil, receives all targets, sorted by ID, after each change, in
// the order of the changes. It is called while the registry is locked, so it must
// not block or call the registry.
func New(s Settings, clock func() time.Time, onChange func([]Target)) *Registry {
	if clock == nil {
		clock = time.Now
	}
	return &Registry{clock: clock, onChange: onChange, core: NewCore(s)}
}

// withCore calls step while the registry is locked, then reports a change to
// onChange.
func (r *Registry) withCore(step func(c *Core, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	step(r.core, r.clock())
	if v := r.core.Version(); v != r.publishedVersion && r.onChange != nil {
		r.publishedVersion = v
		r.onChange(r.core.List())
	}
}

// Announce processes an announcement; see Core.Announce.
func (r *Registry) Announce(a Announcement) (err error) {
	r.withCore(func(c *Core, now time.Time) { err = c.Announce(now, a) })
	return err
}

// Remove marks a target Down and reports whether it was known.
func (r *Registry) Remove(id string) (known bool) {
	r.withCore(func(c *Core, now time.Time) { known = c.Remove(now, id) })
	return known
}

// Drain sets the state of a target to Draining until Undrain.
func (r *Registry) Drain(id string) (err error) {
	r.withCore(func(c *Core, now time.Time) { err = c.Drain(now, id) })
	return err
}

// Undrain ends a drain and reports whether there was one.
func (r *Registry) Undrain(id string) (wasDrained bool) {
	r.withCore(func(c *Core, now time.Time) { wasDrained = c.Undrain(now, id) })
	return wasDrained
}

// Drains returns the IDs of drained targets, sorted.
func (r *Registry) Drains() (ids []string) {
	r.withCore(func(c *Core, _ time.Time) { ids = c.Drains() })
	return ids
}

// Tick advances the timers of the targets. Call it about every 100 ms.
func (r *Registry) Tick() { r.withCore(func(c *Core, now time.Time) { c.Tick(now) }) }

// List returns all targets with their addresses, sorted by ID.
func (r *Registry) List() (list []Target) {
	r.withCore(func(c *Core, _ time.Time) { list = c.List() })
	return list
}

// Run calls Tick until done is closed.
func (r *Registry) Run(done <-chan struct{}) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
			r.Tick()
		}
	}
}

// Instances returns the instances of targets for package membership.
func Instances(targets []Target) []fleet.Instance {
	list := make([]fleet.Instance, 0, len(targets))
	for _, t := range targets {
		list = append(list, t.Instance)
	}
	return slices.Clip(list)
}
