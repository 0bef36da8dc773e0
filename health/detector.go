package health

import (
	"sort"
	"time"

	"hyssopbridge/fleet"
)

// Detector is the decision core of one service.
type Detector struct {
	cfg    Config
	tuning Tuning

	targets  map[string]*target
	order    []*target // by ID, for every loop over targets
	nodes    names
	zones    names
	nodeZone []uint8
	open     map[uint64]*request
	ref      reference
	shift    float64 // logarithm of the service's slowness over its reference
	faults   faults
	links    links

	decisions []Decision
	scratch   []*sample
}

// New returns a Detector with the tuning that belongs to the preference.
func New(cfg Config) *Detector { return NewWithTuning(cfg, TuningFor(cfg.Prefer)) }

// NewWithTuning returns a Detector for measurements of other thresholds and methods.
func NewWithTuning(cfg Config, tuning Tuning) *Detector {
	return &Detector{
		cfg:     cfg,
		tuning:  tuning,
		targets: map[string]*target{},
		nodes:   newNames(maxNodes),
		zones:   newNames(maxZones),
		open:    map[uint64]*request{},
		links:   newLinks(),
	}
}

// SetTargets replaces the list of announced targets. Targets that are no
// longer listed are forgotten.
func (c *Detector) SetTargets(now time.Duration, list []Target) {
	next := make(map[string]*target, len(list))
	first := len(c.order) == 0
	for _, announced := range list {
		t := c.targets[announced.ID]
		if t == nil {
			t = newTarget(announced.ID, announced.State)
			t.cold.joined = !first
		}
		t.announce(now, announced.State)
		next[announced.ID] = t
	}
	for _, t := range c.order {
		if next[t.id] == nil {
			c.forget(t)
		}
	}
	c.targets = next
	c.reorder()
	c.rebalance(now)
}

func (t *target) announce(now time.Duration, s fleet.InstanceState) {
	if s == fleet.Cold && t.state != fleet.Cold {
		t.cold.begin(now)
	}
	t.state = s
}

func (c *Detector) forget(t *target) {
	for _, r := range t.open {
		delete(c.open, r.id)
	}
	c.links.forget(t)
}

func (c *Detector) reorder() {
	c.order = c.order[:0]
	for _, t := range c.targets {
		c.order = append(c.order, t)
	}
	sort.Slice(c.order, func(i, j int) bool { return c.order[i].id < c.order[j].id })
}

// ObserveProbe notes the answer of a health probe. It is reported with the next
// decision about the target and is no evidence of its own.
func (c *Detector) ObserveProbe(_ time.Duration, p ProbeResult) {
	t := c.targets[p.Target]
	if t == nil {
		return
	}
	if p.OK {
		t.probesOK++
		return
	}
	t.probesFail++
}

// Tick evaluates open requests and makes due decisions. It is called at least
// every 50 ms; decisions about open requests are late by the tick interval.
func (c *Detector) Tick(now time.Duration) {
	c.ref.refresh(now)
	c.updateShift(now)
	for _, t := range c.order {
		t.cold.onTick(now)
		c.expireOpen(now, t)
		c.learnDue(now, t)
	}
	c.updateFaults(now)
	c.links.tick(now)
	c.judgeAll(now)
	c.advanceReturns(now)
	c.rebalance(now)
}
