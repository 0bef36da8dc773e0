package admission

import (
	"context"
	"sync"
	"time"
)

// Phase is the announced state of a target's life cycle.
type Phase uint8

// Phases of a target.
const (
	Absent   Phase = iota // not announced yet, or it has ended
	Serving               // accepts requests
	Draining              // accepts no new requests before it stops
)

// Target is the announced state of the target on this node's host.
type Target struct {
	ID      string
	Service string
	Slots   int // requests that it can run concurrently
	Phase   Phase
	ColdFor time.Duration // remaining length of its cold start
}

// Reason tells why a request was refused.
type Reason uint8

// Reasons of refusal. Each proves that the request did not run.
const (
	None           Reason = iota
	NoTarget              // no such target on this host
	TargetDraining        // the target accepts no new requests
	NodeStopping          // this node accepts no new requests
	TargetEjected         // the target is ejected or fails for this zone, and the request may not be a trial
	TargetUnproven        // the risk of an undetected gray failure is too high
	TargetBusy            // no slot within the time that the request may wait
	CallerLeft            // the caller canceled while waiting for a slot
	Expired               // the reservation was not claimed in time
	NoBudget              // a retry or hedge, and the retry budget of this host is spent
)

var reasonNames = [...]string{"none", "no_target", "leaving", "stopping", "gray", "unproven", "busy", "caller_left", "expired", "no_budget"}

// String returns the name used in logs, in metrics and between nodes.
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

// Request describes the request for which an entry node wants a slot.
type Request struct {
	Target     string // ID of the target; empty for any
	Service    string // service that the target must belong to
	Zone       string // availability zone of the entry node
	Customer   string // name of the caller's customer; empty for none
	Priority   int    // 0 is the most urgent
	Idempotent bool   // may run more than once, so it may serve as a trial request
	NoRetry    bool   // idempotent, but could not be retried after a failure, so it is no trial request
	Retry      bool   // a retry or hedge: an earlier attempt reached a target
	Urgent     bool   // a retry of a request that has not run and can still be in time
	// CalledByRetry is the probability that the request was made by a run of
	// another request that was itself a retry or hedge.
	CalledByRetry float64
	MaxRisk       float64       // highest accepted Status.Risk of a target; ignored if the request may be a trial
	AllowUntested bool          // accept a target without any success
	LastResort    bool          // no other target was found; accept an ejected one where that is safe
	MaxWait       time.Duration // longest wait for a slot; 0 for none
	OverdueAfter  time.Duration // run time after which the failure detector counts the request as overdue; 0 for never
}

// mayBeTrial reports whether the request may serve as a trial request.
func (r Request) mayBeTrial() bool { return r.Idempotent && !r.NoRetry }

// Status is what a host node reports to other nodes about its target.
type Status struct {
	Target              string
	Service             string
	Phase               Phase
	Stopping            bool // the node accepts no new requests
	Ejected             bool
	Recovering          bool // ejected, but the newest trial request succeeded
	Cold                bool // in its cold start
	Slots               int
	Running             int
	Waiting             int
	TrialIn             time.Duration // time until the next trial request is due, if Ejected
	Tested              bool          // a request has succeeded since the target became known
	Risk                float64       // probability that a request sent now fails because of a gray failure
	Idle                time.Duration // time since the target got its newest request
	AdmitsRetries       bool          // a retry would be admitted
	AdmitsUrgentRetries bool          // the same for Request.Urgent
	// RetryCalls is the number of calls in a window of the retry budget that
	// retried runs of other services may make to the target.
	RetryCalls float64
}

// reservationTTL is how long a slot is held for a reservation that is not
// claimed. It exceeds a round trip between zones plus a CPU throttling pause of
// up to 100 ms on each side.
const reservationTTL = 400 * time.Millisecond

// maxQueuePerSlot is the most requests that may wait, per slot of the target.
const maxQueuePerSlot = 4

// Gate admits requests to the target on this node's host. Its methods are safe
// for concurrent use.
type Gate struct {
	now         func() time.Duration
	detectorCfg DetectorConfig
	onChange    func() // called without the lock when other nodes should learn of the new status at once

	mu            sync.Mutex
	target        Target
	coldUntil     time.Duration
	stopping      bool
	detector      *Detector
	running       int
	waiters       []*waiter      // by priority, then arrival
	open          []*Reservation // requests that were sent and have not ended
	holdTime      time.Duration  // moving average of the time that a request holds its slot
	overdueFactor float64        // factor on Request.OverdueAfter for this target
	lastRequest   time.Duration  // when the target got its newest request or became known
}

type waiter struct {
	req  Request
	done chan decision // capacity 1
}

// decision is the answer to a request that waited for a slot.
type decision struct {
	reservation *Reservation // nil if the request was refused
	reason      Reason
}

// NewGate returns a Gate without a target. now is a monotonic clock; onChange
// may be nil.
func NewGate(now func() time.Duration, cfg DetectorConfig, onChange func()) *Gate {
	if onChange == nil {
		onChange = func() {}
	}
	return &Gate{now: now, detectorCfg: cfg, onChange: onChange, detector: NewDetector(cfg), holdTime: initialHoldTime, overdueFactor: 1}
}

// initialHoldTime is the assumed time that a request holds its slot, until one
// has ended.
const initialHoldTime = 300 * time.Millisecond

// SetTarget updates the target. A target with a new ID starts with a new
// failure detector.
func (g *Gate) SetTarget(t Target) {
	g.mu.Lock()
	if t.ID != g.target.ID {
		g.detector, g.overdueFactor = NewDetector(g.detectorCfg), 1
		g.lastRequest = g.now()
	}
	changed := t.ID != g.target.ID || t.Phase != g.target.Phase || t.Service != g.target.Service
	g.target = t
	g.coldUntil = g.now() + t.ColdFor
	if t.Phase != Serving {
		g.refuseWaiters(g.phaseReason())
	}
	g.dispatch()
	g.mu.Unlock()
	if changed {
		g.onChange()
	}
}

// Restart resets the failure detector after the target restarted under its ID.
func (g *Gate) Restart() {
	g.mu.Lock()
	g.detector, g.overdueFactor = NewDetector(g.detectorCfg), 1
	g.mu.Unlock()
}

// Stop refuses all new requests because this node stops.
func (g *Gate) Stop() {
	g.mu.Lock()
	g.stopping = true
	g.refuseWaiters(NodeStopping)
	g.mu.Unlock()
	g.onChange()
}

// phaseReason returns why the target accepts no requests at all, or None.
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

// Reserve takes a slot for the request, and waits for one if the request allows
// it. A refusal proves that the request did not run.
func (g *Gate) Reserve(ctx context.Context, req Request) (*Reservation, Reason) {
	g.mu.Lock()
	if reason := g.check(req); reason != None {
		g.mu.Unlock()
		return nil, reason
	}
	if g.running < g.target.Slots {
		r := g.grant(req)
		g.mu.Unlock()
		return r, None
	}
	w := g.enqueue(req)
	g.mu.Unlock()
	if w == nil {
		return nil, TargetBusy
	}
	return g.wait(ctx, w)
}

// check applies all conditions of admission except for a free slot.
func (g *Gate) check(req Request) Reason {
	if reason := g.phaseReason(); reason != None {
		return reason
	}
	if req.Service != g.target.Service || (req.Target != "" && req.Target != g.target.ID) {
		return NoTarget
	}
	now := g.now()
	if g.detector.Ejected() {
		return g.checkEjected(req, now)
	}
	if req.mayBeTrial() {
		return None
	}
	if g.detector.ZoneFailing(req.Zone, now) {
		return TargetEjected
	}
	tested := g.detector.Tested()
	switch {
	case req.AllowUntested && !tested, req.LastResort, g.risk(now) <= req.MaxRisk:
		return None
	case IsIdle(g.idle(now), tested) && g.grayRisk(now) <= maxIdleRisk:
		return None
	}
	return TargetUnproven
}

// checkEjected admits trial requests. Idempotent requests that found no other
// target are admitted too. A non-idempotent request that fails would have an
// unknown outcome, so it is refused as not run, unless it is the last resort for
// a target that has nearly recovered or is only suspected, or the target gets no
// other request that could be its trial and has probably recovered.
func (g *Gate) checkEjected(req Request, now time.Duration) Reason {
	due := g.detector.TrialIn(now) == 0
	switch {
	case req.Idempotent && req.LastResort, req.mayBeTrial() && due && g.running < g.target.Slots:
		return None
	case !req.Idempotent && req.LastResort && (g.detector.NearlyRecovered() || g.detector.Suspected() && g.detector.needed == 1):
		return None
	case !req.Idempotent && due && g.idle(now) >= idleAfter && g.grayRisk(now) <= maxIdleRisk:
		return None
	}
	return TargetEjected
}

// idleAfter is the time without a request after which a target without a recent
// success is offered any request of its service.
const idleAfter = 1600 * time.Millisecond

// untestedIdleAfter is idleAfter for a target without any success, such as one
// that has just joined.
const untestedIdleAfter = 400 * time.Millisecond

// IsIdle reports whether a target that has had no request for the given time is
// offered any request of its service.
func IsIdle(idle time.Duration, tested bool) bool {
	if tested {
		return idle >= idleAfter
	}
	return idle >= untestedIdleAfter
}

// idle returns the time since the target got its newest request. A request that
// still runs does not keep it at zero: one that never gets a response would keep
// new ones away after the target has recovered.
func (g *Gate) idle(now time.Duration) time.Duration { return now - g.lastRequest }

func (g *Gate) grant(req Request) *Reservation {
	g.running++
	g.lastRequest = g.now()
	r := &Reservation{gate: g, detector: g.detector, zone: req.Zone, start: g.now(), overdueAfter: req.OverdueAfter}
	if g.detector.Ejected() {
		r.trial = true
		g.detector.BeginTrial(r.start)
	}
	r.expiry = time.AfterFunc(reservationTTL, r.expire)
	return r
}

// enqueue adds the request to the queue. It returns nil if the queue is full or
// the estimated wait exceeds Request.MaxWait.
func (g *Gate) enqueue(req Request) *waiter {
	if req.MaxWait <= 0 || g.target.Slots <= 0 || len(g.waiters) >= maxQueuePerSlot*g.target.Slots {
		return nil
	}
	at := len(g.waiters)
	for at > 0 && g.waiters[at-1].req.Priority > req.Priority {
		at--
	}
	if estimate := g.holdTime * time.Duration(at+1) / time.Duration(g.target.Slots); estimate > req.MaxWait {
		return nil
	}
	w := &waiter{req: req, done: make(chan decision, 1)}
	g.waiters = append(g.waiters, nil)
	copy(g.waiters[at+1:], g.waiters[at:])
	g.waiters[at] = w
	return w
}

func (g *Gate) wait(ctx context.Context, w *waiter) (*Reservation, Reason) {
	timer := time.NewTimer(w.req.MaxWait)
	defer timer.Stop()
	reason := CallerLeft
	select {
	case d := <-w.done:
		return d.reservation, d.reason
	case <-timer.C:
		reason = TargetBusy
	case <-ctx.Done():
	}
	g.mu.Lock()
	removed := g.removeWaiter(w)
	g.mu.Unlock()
	if removed {
		return nil, reason
	}
	// A slot was granted or refused concurrently.
	d := <-w.done
	if d.reservation != nil && reason == CallerLeft {
		d.reservation.Release(Neutral)
		return nil, reason
	}
	return d.reservation, d.reason
}

func (g *Gate) removeWaiter(w *waiter) bool {
	for i, x := range g.waiters {
		if x == w {
			g.waiters = append(g.waiters[:i], g.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// dispatch gives free slots to the waiters in order and refuses those that are
// no longer admitted.
func (g *Gate) dispatch() {
	for g.running < g.target.Slots && len(g.waiters) > 0 {
		w := g.waiters[0]
		g.waiters = g.waiters[1:]
		d := decision{reason: g.check(w.req)}
		if d.reason == None {
			d.reservation = g.grant(w.req)
		}
		w.done <- d
	}
}

func (g *Gate) refuseWaiters(reason Reason) {
	for _, w := range g.waiters {
		w.done <- decision{reason: reason}
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
		Ejected: g.detector.Ejected(), Recovering: g.detector.Recovering(), Cold: now < g.coldUntil, Slots: g.target.Slots,
		Running: g.running, Waiting: len(g.waiters),
		TrialIn: g.detector.TrialIn(now), Tested: g.detector.Tested(), Idle: g.idle(now),
		Risk: g.grayRisk(now),
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
