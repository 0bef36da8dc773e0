package health

import (
	"sort"
	"time"

	"hyssopbridge/fleet"
)

// Detector finds and ejects the unhealthy targets of one service.
type Detector struct {
	cfg    Config
	tuning Tuning

	targets       map[string]*target
	sortedTargets []*target // by ID; every loop uses this order to be deterministic
	nodes         interner
	zones         interner
	nodeZones     []uint8
	open          map[uint64]*request
	baseline      baseline
	slowdown      float64 // natural logarithm of the service's slowness relative to the baseline
	faults        faults
	links         links

	decisions []Decision
	scratch   []*sample
}

// New returns a Detector with the tuning for the configured preference.
func New(cfg Config) *Detector { return NewWithTuning(cfg, TuningFor(cfg.Prefer)) }

// NewWithTuning returns a Detector with the given tuning, to measure other
// thresholds and methods.
func NewWithTuning(cfg Config, tuning Tuning) *Detector {
	return &Detector{
		cfg:     cfg,
		tuning:  tuning,
		targets: map[string]*target{},
		nodes:   newInterner(maxNodes),
		zones:   newInterner(maxZones),
		open:    map[uint64]*request{},
		links:   newLinks(),
	}
}

// SetTargets replaces the list of announced targets and forgets those that are
// no longer listed.
func (d *Detector) SetTargets(now time.Duration, list []Target) {
	next := make(map[string]*target, len(list))
	first := len(d.sortedTargets) == 0
	for _, announced := range list {
		t := d.targets[announced.ID]
		if t == nil {
			t = newTarget(announced.ID, announced.State)
			t.coldStart.joinedLater = !first
		}
		t.announce(now, announced.State)
		next[announced.ID] = t
	}
	for _, t := range d.sortedTargets {
		if next[t.id] == nil {
			d.forget(t)
		}
	}
	d.targets = next
	d.sortTargets()
	d.rebalance(now)
}

func (t *target) announce(now time.Duration, s fleet.InstanceState) {
	if s == fleet.Cold && t.state != fleet.Cold {
		t.coldStart.begin(now)
	}
	t.state = s
}

func (d *Detector) forget(t *target) {
	for _, r := range t.open {
		delete(d.open, r.id)
	}
	d.links.forget(t)
}

func (d *Detector) sortTargets() {
	d.sortedTargets = d.sortedTargets[:0]
	for _, t := range d.targets {
		d.sortedTargets = append(d.sortedTargets, t)
	}
	sort.Slice(d.sortedTargets, func(i, j int) bool { return d.sortedTargets[i].id < d.sortedTargets[j].id })
}

// ObserveProbe records the result of a health check request. A failure is
// reported with the next decision about the target but doesn't affect any
// decision.
func (d *Detector) ObserveProbe(_ time.Duration, p ProbeResult) {
	t := d.targets[p.Target]
	if t == nil {
		return
	}
	if p.OK {
		t.probesOK++
		return
	}
	t.probesFailed++
}

// Tick evaluates open requests and makes due decisions. It must be called at
// least every 50 ms; decisions about open requests are late by up to that
// interval.
func (d *Detector) Tick(now time.Duration) {
	d.baseline.refresh(now)
	d.updateSlowdown(now)
	for _, t := range d.sortedTargets {
		t.coldStart.onTick(now)
		d.expireOpen(now, t)
		d.flushQueued(now, t)
	}
	d.updateFaults(now)
	d.links.prune(now)
	d.evaluateAll(now)
	d.advanceReturns(now)
	d.rebalance(now)
}
