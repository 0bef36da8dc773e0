package registry

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"hyssopbridge/fleet"
	"hyssopbridge/membership"
)

// Errors of Announce besides FieldError. Drain also returns ErrFull.
var (
	ErrFull          = errors.New("too many announced or drained targets on this host")
	ErrServiceChange = errors.New("the target is announced for another service")
	ErrAddressInUse  = errors.New("the address belongs to another target")
)

// Settings configures the registry. Zero fields take the stated defaults.
type Settings struct {
	// AllowRemoteTargets accepts target addresses that are not loopback.
	AllowRemoteTargets bool
	AnnounceTimeout    time.Duration // time without an announcement after which a target is Down; default 3 s
	RemoveAfter        time.Duration // time that a target is Down before it is removed; default 60 s
	MaxTargets         int           // default membership.MaxInstances
	MaxDrains          int           // at this many drained targets, draining one that is not announced fails; default 4096
}

func (s Settings) withDefaults() Settings {
	if s.AnnounceTimeout == 0 {
		s.AnnounceTimeout = 3 * time.Second
	}
	if s.RemoveAfter == 0 {
		s.RemoveAfter = time.Minute
	}
	if s.MaxTargets == 0 {
		s.MaxTargets = membership.MaxInstances
	}
	if s.MaxDrains == 0 {
		s.MaxDrains = 4096
	}
	return s
}

// Target is an announced target and its local address.
type Target struct {
	fleet.Instance
	Address string
	Drained bool // drained by an operator
}

// entry is the record of one target.
type entry struct {
	target        Target
	announced     Announcement
	coldUntil     time.Time // end of the warm-up; zero if there is none
	lastAnnounced time.Time
	downSince     time.Time // when the target went Down; zero if it is not Down
}

// Core is the state of the registry, without I/O. It is not safe for concurrent
// use. Incarnations are derived from the time passed to Announce, in Unix ms.
type Core struct {
	settings        Settings
	targets         map[string]*entry
	drains          map[string]bool
	lastIncarnation int64
	version         uint64
}

// NewCore returns an empty registry.
func NewCore(s Settings) *Core {
	return &Core{settings: s.withDefaults(), targets: make(map[string]*entry), drains: make(map[string]bool)}
}

// Version returns a number that increases with every change of a target.
func (c *Core) Version() uint64 { return c.version }

// Announce processes an announcement. A target that was Down or removed gets a
// new incarnation.
func (c *Core) Announce(now time.Time, a Announcement) error {
	e := c.targets[a.ID]
	if err := c.validate(e, a); err != nil {
		return err
	}
	if e == nil || !e.downSince.IsZero() {
		e = c.startIncarnation(now, e, a)
	}
	if a.State == fleet.Cold && e.announced.State != fleet.Cold && a.WarmUp > 0 {
		e.coldUntil = now.Add(a.WarmUp)
	}
	e.announced = a
	e.lastAnnounced = now
	c.refresh(now, e)
	return nil
}

func (c *Core) validate(e *entry, a Announcement) error {
	host, _, err := net.SplitHostPort(a.Address)
	ip := net.ParseIP(host)
	if err != nil || ip == nil {
		return &FieldError{"address", "want IP:port"}
	}
	if !ip.IsLoopback() && !c.settings.AllowRemoteTargets {
		return &FieldError{"address", fmt.Sprintf("%s is not a loopback address", host)}
	}
	if e == nil && len(c.targets) >= c.settings.MaxTargets {
		return ErrFull
	}
	if e != nil && e.downSince.IsZero() && e.announced.Service != a.Service {
		return ErrServiceChange
	}
	for id, other := range c.targets {
		if id != a.ID && other.downSince.IsZero() && other.announced.Address == a.Address {
			return fmt.Errorf("%w: %s", ErrAddressInUse, id)
		}
	}
	return nil
}

// startIncarnation replaces the entry of a target by one with a new
// incarnation.
func (c *Core) startIncarnation(now time.Time, old *entry, a Announcement) *entry {
	// Two incarnations may start in the same millisecond.
	c.lastIncarnation = max(now.UnixMilli(), c.lastIncarnation+1)
	e := &entry{announced: a, target: Target{Instance: fleet.Instance{ID: a.ID, Incarnation: c.lastIncarnation}}}
	if old != nil {
		e.target.Seq = old.target.Seq
	}
	if a.State == fleet.Cold && a.WarmUp > 0 {
		e.coldUntil = now.Add(a.WarmUp)
	}
	c.targets[a.ID] = e
	return e
}

// Remove marks a target Down immediately and reports whether it was known.
func (c *Core) Remove(now time.Time, id string) bool {
	e := c.targets[id]
	if e == nil {
		return false
	}
	if e.downSince.IsZero() {
		e.downSince = now
		c.refresh(now, e)
	}
	return true
}

// Drain sets the state of a target to Draining until Undrain. The target need
// not be announced at the moment.
func (c *Core) Drain(now time.Time, id string) error {
	if c.targets[id] == nil && !c.drains[id] && len(c.drains) >= c.settings.MaxDrains {
		return ErrFull
	}
	c.drains[id] = true
	c.refreshID(now, id)
	return nil
}

// Undrain ends a drain and reports whether there was one.
func (c *Core) Undrain(now time.Time, id string) bool {
	wasDrained := c.drains[id]
	delete(c.drains, id)
	c.refreshID(now, id)
	return wasDrained
}

// Drains returns the IDs of drained targets, sorted.
func (c *Core) Drains() []string { return slices.Sorted(maps.Keys(c.drains)) }

// Tick marks targets without recent announcements Down, ends warm-ups and
// removes targets that have been Down for RemoveAfter.
func (c *Core) Tick(now time.Time) {
	for id, e := range c.targets {
		if e.downSince.IsZero() && now.Sub(e.lastAnnounced) >= c.settings.AnnounceTimeout {
			e.downSince = now
		}
		if !e.downSince.IsZero() && now.Sub(e.downSince) >= c.settings.RemoveAfter {
			delete(c.targets, id)
			c.version++
			continue
		}
		c.refresh(now, e)
	}
}

// List returns the targets, sorted by ID.
func (c *Core) List() []Target {
	list := make([]Target, 0, len(c.targets))
	for _, e := range c.targets {
		list = append(list, e.target)
	}
	slices.SortFunc(list, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (c *Core) refreshID(now time.Time, id string) {
	if e := c.targets[id]; e != nil {
		c.refresh(now, e)
	}
}

// refresh recomputes the target from its announcement and raises its sequence
// if it changed.
func (c *Core) refresh(now time.Time, e *entry) {
	t := e.target
	t.Service, t.Address = e.announced.Service, e.announced.Address
	t.Slots, t.Connections = e.announced.Slots, e.announced.Connections
	t.Drained = c.drains[t.ID]
	t.State = e.state(now, t.Drained)
	if t == e.target {
		return
	}
	t.Seq++
	e.target = t
	c.version++
}

func (e *entry) state(now time.Time, drained bool) fleet.InstanceState {
	warm := !e.coldUntil.IsZero() && !now.Before(e.coldUntil)
	switch {
	case !e.downSince.IsZero():
		return fleet.Down
	case drained:
		return fleet.Draining
	case e.announced.State == fleet.Cold && warm:
		return fleet.Ready
	default:
		return e.announced.State
	}
}
