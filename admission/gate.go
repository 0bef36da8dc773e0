package admission

import (
	"context"
	"sync"
	"time"
)

// Phase is what the host node knows of its target.
type Phase uint8

// Phases of a target.
const (
	Absent   Phase = iota // no announcement yet, or the target ended
	Serving               // takes work
	Draining              // announced that it leaves; takes no new work
)

// Target is the announced state of the target beside this node.
type Target struct {
	ID      string
	Service string
	Slots   int // requests that it processes at once
	Phase   Phase
	ColdFor time.Duration // time for which it remains slow after its start
}

// Reason tells why a request was refused.
type Reason uint8

// Reasons of refusal. Each proves that the request was not run.
const (
	None           Reason = iota
	NoTarget              // no such target beside this node
	TargetDraining        // the target takes no new work
	NodeStopping          // this node takes no new work
	TargetEjected         // the target fails, and no trial is due
	TargetUnproven        // the target may have turned gray unnoticed
	TargetBusy            // no slot within the time that the request may wait
	CallerLeft            // the caller left while waiting
	Expired               // the reservation was not used in time
	NoBudget              // the request was at a target before, and repeats are used up here
)

var reasonNames = [...]string{"none", "no_target", "leaving", "stopping", "gray", "unproven", "busy", "caller_left", "expired", "no_budget"}

// String returns the name used in logs and between nodes.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// ParseReason returns the reason with the given name.
func ParseReason(s string) (Reason, bool) {
	for i, name := range reasonNames {
		if name == s {
			return Reason(i), true
		}
	}
	return None, false
}

// Request is what an entry node asks a slot for.
type Request struct {
	Target     string // ID of the target; empty for any
	Service    string // service that the target must belong to
	Zone       string // availability zone of the entry node
	Priority   int    // 0 is the most urgent
	Idempotent bool   // may run more than once, so it may serve as a trial
	NoRetry    bool   // idempotent, but could not be sent again if it met a gray target
	Retry      bool   // it was at a target before
	// CalledByRetry is the chance that a run made the request which was itself a repeat.
	CalledByRetry float64
	MaxRisk       float64       // chance of failure that work which is no trial accepts
	AllowUntested bool          // accept a target without any success
	LastResort    bool          // no other target was found; accept a gray one where that is safe
	MaxWait       time.Duration // longest wait for a slot; 0 refuses at once
	OverdueAfter  time.Duration // run time after which the request speaks against the target; 0 for never
}

// mayTry reports whether the request may find out whether a target is gray.
func (r Request) mayTry() bool { return r.Idempotent && !r.NoRetry }

// Status is what a host node tells others about its target.
type Status struct {
	Target        string
	Service       string
	Phase         Phase
	Stopping      bool
	Ejected       bool
	Recovering    bool // gray, but the newest trial succeeded
	Cold          bool
	Slots         int
	Running       int
	Waiting       int
	TrialIn       time.Duration // meaningful while Gray
	Tested        bool          // it has answered well since it became known
	Risk          float64       // chance that a request which is sent now fails, if the target is not gray
	Idle          time.Duration // time since the target got its newest request
	AdmitsRetries bool          // a repeat would be admitted
	// AdmitsRetryCalls tells that calls of a repeat at another service would be admitted.
	AdmitsRetryCalls bool
}

// reservationTTL is how long a slot is held for a reservation that is not used.
// It exceeds a round trip between zones plus a pause of a throttled process,
// which is up to 100 ms on each side.
const reservationTTL = 400 * time.Millisecond

// maxQueue bounds the requests that wait for a slot, as a multiple of slots.
const maxQueue = 4

// Gate admits requests to the target beside this node. Its methods are safe for
// concurrent use.
type Gate struct {
	now      func() time.Duration
	judgeCfg DetectorConfig
	onChange func() // called without the lock when the status changed in a way that callers should learn at once

	mu        sync.Mutex
	target    Target
	coldUntil time.Duration
	stopping  bool
	judge     *Detector
	running   int
	waiters   []*waiter      // by priority, then arrival
	open      []*Reservation // requests that were sent and have not ended
	hold      time.Duration
	patience  float64       // factor on Request.Overdue for this target
	lastWork  time.Duration // when the target got its newest request or became known
}

type waiter struct {
	req  Request
	done chan Reason // None grants the slot; capacity 1
}

// NewGate returns a Gate without a target. now is a monotonic clock; onChange
// may be nil.
func NewGate(now func() time.Duration, cfg DetectorConfig, onChange func()) *Gate {
	if onChange == nil {
		onChange = func() {}
	}
	return &Gate{now: now, judgeCfg: cfg, onChange: onChange, judge: NewDetector(cfg), hold: initialHold, patience: 1}
}

// initialHold is the assumed time that a request holds its slot before the
// first one has ended.
const initialHold = 300 * time.Millisecond

// SetTarget replaces what is known of the target. A new ID starts without evidence.
func (g *Gate) SetTarget(t Target) {
	g.mu.Lock()
	if t.ID != g.target.ID {
		g.judge, g.patience = NewDetector(g.judgeCfg), 1
		g.lastWork = g.now()
	}
	changed := t.ID != g.target.ID || t.Phase != g.target.Phase || t.Service != g.target.Service
	g.target = t
	g.coldUntil = g.now() + t.ColdFor
	if t.Phase != Serving {
		g.refuseAll(g.phaseReason())
	}
	g.dispatch()
	g.mu.Unlock()
	if changed {
		g.onChange()
	}
}

// Restart forgets the evidence about the target, which began anew under its ID.
func (g *Gate) Restart() {
	g.mu.Lock()
	g.judge = NewDetector(g.judgeCfg)
	g.mu.Unlock()
}

// Stop refuses all new work of this node's target.
func (g *Gate) Stop() {
	g.mu.Lock()
	g.stopping = true
	g.refuseAll(NodeStopping)
	g.mu.Unlock()
	g.onChange()
}

func (g *Gate) phaseReason() Reason {
	switch {
	case g.stopping:
		return NodeStopping
	case g.target.Phase == Draining:
		return TargetDraining
	case g.target.Phase == Absent:
		return NoTarget
	}
	return None
}

// Reserve takes a slot for the request. On a refusal the reason proves that the
// request was not run.
func (g *Gate) Reserve(ctx context.Context, req Request) (*Reservation, Reason) {
	g.mu.Lock()
	if why := g.check(req); why != None {
		g.mu.Unlock()
		return nil, why
	}
	if g.running < g.target.Slots {
		t := g.grant(req)
		g.mu.Unlock()
		return t, None
	}
	w := g.enqueue(req)
	g.mu.Unlock()
	if w == nil {
		return nil, TargetBusy
	}
	return g.wait(ctx, w)
}

// check applies all conditions but the free slot.
func (g *Gate) check(req Request) Reason {
	if why := g.phaseReason(); why != None {
		return why
	}
	if req.Service != g.target.Service || (req.Target != "" && req.Target != g.target.ID) {
		return NoTarget
	}
	now := g.now()
	if g.judge.Ejected() {
		return g.checkGray(req, now)
	}
	if req.mayTry() {
		return None
	}
	if g.judge.ZoneFailing(req.Zone, now) {
		return TargetEjected
	}
	if (req.AllowUntested && !g.judge.Tested()) || req.LastResort || g.risk(now) <= req.MaxRisk || IsIdle(g.idle(now), g.judge.Tested()) {
		return None
	}
	return TargetUnproven
}

// checkGray admits trials. Idempotent work that found no other target may go to
// a gray one besides; other work that fails there would have an unknown outcome,
// so it is refused as not run unless there is nothing else to try the target.
func (g *Gate) checkGray(req Request, now time.Duration) Reason {
	due := g.judge.TrialIn(now) == 0
	switch {
	case req.Idempotent && req.LastResort, req.mayTry() && due && g.running < g.target.Slots:
		return None
	case !req.Idempotent && req.LastResort && (g.judge.NearlyRecovered() || g.judge.Suspected() && g.judge.need == 1):
		return None
	case !req.Idempotent && due && g.idle(now) >= idleOffer:
		return None
	}
	return TargetEjected
}

// idleOffer is the time without work after which a target without a recent
// success is offered any request of its service, as the first of a target that
// has just joined.
const idleOffer = 1600 * time.Millisecond

// newcomerOffer is idleOffer for a target that has not answered yet.
const newcomerOffer = 400 * time.Millisecond

// IsIdle reports whether a target that has had no work for the given time is
// offered any request of its service.
func IsIdle(idle time.Duration, tested bool) bool {
	if tested {
		return idle >= idleOffer
	}
	return idle >= newcomerOffer
}

// idle returns for how long the target has got no request. What it still runs
// does not count, since a request that a target left without an answer would
// keep new ones from a target that has recovered.
func (g *Gate) idle(now time.Duration) time.Duration { return now - g.lastWork }

func (g *Gate) grant(req Request) *Reservation {
	g.running++
	g.lastWork = g.now()
	t := &Reservation{gate: g, judge: g.judge, zone: req.Zone, start: g.now(), overdueAfter: req.OverdueAfter}
	if g.judge.Ejected() {
		t.trial = true
		g.judge.BeginTrial(t.start)
	}
	t.expiry = time.AfterFunc(reservationTTL, t.expire)
	return t
}

// enqueue returns nil if the wait would exceed what the request accepts.
func (g *Gate) enqueue(req Request) *waiter {
	if req.MaxWait <= 0 || g.target.Slots <= 0 || len(g.waiters) >= maxQueue*g.target.Slots {
		return nil
	}
	at := len(g.waiters)
	for at > 0 && g.waiters[at-1].req.Priority > req.Priority {
		at--
	}
	if estimate := g.hold * time.Duration(at+1) / time.Duration(g.target.Slots); estimate > req.MaxWait {
		return nil
	}
	w := &waiter{req: req, done: make(chan Reason, 1)}
	g.waiters = append(g.waiters, nil)
	copy(g.waiters[at+1:], g.waiters[at:])
	g.waiters[at] = w
	return w
}

func (g *Gate) wait(ctx context.Context, w *waiter) (*Reservation, Reason) {
	timer := time.NewTimer(w.req.MaxWait)
	defer timer.Stop()
	why := CallerLeft
	select {
	case why = <-w.done:
		return g.awarded(w, why)
	case <-timer.C:
		why = TargetBusy
	case <-ctx.Done():
	}
	g.mu.Lock()
	if g.remove(w) {
		g.mu.Unlock()
		return nil, why
	}
	g.mu.Unlock()
	// The slot was awarded or refused meanwhile.
	t, got := g.awarded(w, <-w.done)
	if t != nil && why == CallerLeft {
		t.Release(Neutral)
		return nil, why
	}
	return t, got
}

func (g *Gate) awarded(w *waiter, why Reason) (*Reservation, Reason) {
	if why != None {
		return nil, why
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	// dispatch counted the slot already; grant counts it again.
	g.running--
	return g.grant(w.req), None
}

func (g *Gate) remove(w *waiter) bool {
	for i, x := range g.waiters {
		if x == w {
			g.waiters = append(g.waiters[:i], g.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// dispatch hands free slots to waiters that may still run.
func (g *Gate) dispatch() {
	for g.running < g.target.Slots && len(g.waiters) > 0 {
		w := g.waiters[0]
		g.waiters = g.waiters[1:]
		why := g.check(w.req)
		if why == None {
			g.running++
		}
		w.done <- why
	}
}

func (g *Gate) refuseAll(why Reason) {
	for _, w := range g.waiters {
		w.done <- why
	}
	g.waiters = nil
}

// Status returns the current status.
func (g *Gate) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	return Status{
		Target: g.target.ID, Service: g.target.Service, Phase: g.target.Phase, Stopping: g.stopping,
		Ejected: g.judge.Ejected(), Recovering: g.judge.Recovering(), Cold: now < g.coldUntil, Slots: g.target.Slots,
		Running: g.running, Waiting: len(g.waiters),
		TrialIn: g.judge.TrialIn(now), Tested: g.judge.Tested(), Idle: g.idle(now),
		Risk: g.risk(now),
	}
}

var phaseNames = [...]string{"absent", "serving", "leaving"}

// String returns the name used in logs.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unknown"
}
