package admission

import (
	"context"
	"math"
	"slices"
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
	Target     string  // ID of the target; empty for any
	Service    string  // service that the target must belong to
	Zone       string  // availability zone of the entry node
	Customer   string  // name of the caller's customer; empty for none
	Weight     float64 // the customer's share when a service has too little room; 0 for 1
	Priority   int     // 0 is the most urgent
	Idempotent bool    // may run more than once, so it may serve as a trial request
	NoRetry    bool    // idempotent, but could not be retried after a failure, so it is no trial request
	Retry      bool    // a retry or hedge: an earlier attempt reached a target
	Urgent     bool    // a retry of a request that has not run and can still be in time
	// CalledByRetry is the probability that the request was made by a run of
	// another request that was itself a retry or hedge.
	CalledByRetry float64
	MaxRisk       float64       // highest accepted Status.Risk of a target; ignored if the request may be a trial
	AllowUntested bool          // accept a target without any success
	LostPlace     bool          // it waited at another host that failed or stops, and moves on
	LastResort    bool          // no other target was found; accept an ejected one where that is safe
	MaxWait       time.Duration // longest wait for a slot that is of any use; 0 for none
	GoodWait      time.Duration // longest wait with which the request probably meets its objective; 0 if it can't
	OverdueAfter  time.Duration // run time after which the failure detector counts the request as overdue; 0 for never
	RunTime       time.Duration // time that the run takes at most, probably; 0 if unknown
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
	Wait                time.Duration // estimated wait for a slot of a request that can meet its objective
	TrialIn             time.Duration // time until the next trial request is due, if Ejected
	Tested              bool          // a request has succeeded since the target became known
	Risk                float64       // probability that a request sent now fails because of a gray failure
	Rejects             float64       // fraction of its recent requests that the target itself rejected
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
	runsEnd       time.Duration // when the last run must have ended; 0 if the node does not stop
	detector      *Detector
	running       int
	queue         queue
	recheck       *time.Timer    // set while waiters that were passed over will be looked at again
	rise          *time.Timer    // set while the queue waits for the learned limit to rise
	open          []*Reservation // requests that were sent and have not ended
	holdTime      time.Duration  // moving average of the time that a request holds its slot
	overdueFactor float64        // factor on Request.OverdueAfter for this target
	lastRequest   time.Duration  // when the target got its newest request or became known
	rejections    rejectionMeter
	limit         inFlightLimit
	// announcedRejects is the share of rejections that was announced at announcedAt.
	announcedRejects float64
	announcedAt      time.Duration
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
	return &Gate{now: now, detectorCfg: cfg, onChange: onChange, detector: NewDetector(cfg), queue: newQueue(), holdTime: initialHoldTime, overdueFactor: 1}
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
		g.rejections, g.limit = rejectionMeter{}, inFlightLimit{}
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
	g.rejections, g.limit = rejectionMeter{}, inFlightLimit{}
	g.mu.Unlock()
}

// StopBy refuses requests whose runs would probably not have ended by a time,
// because this node stops then.
func (g *Gate) StopBy(end time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runsEnd = end
	g.queue.waiters = slices.DeleteFunc(g.queue.waiters, func(w *waiter) bool {
		if g.mayEnd(w.req.RunTime) {
			return false
		}
		w.done <- decision{reason: NodeStopping}
		return true
	})
}

// mayEnd reports whether a run that starts now ends before this node stops.
func (g *Gate) mayEnd(runTime time.Duration) bool {
	return g.runsEnd == 0 || g.now()+runTime < g.runsEnd
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
	return g.ReserveInLine(ctx, req, func() {})
}

// ReserveInLine is Reserve with a function that is called if the request has to
// wait.
func (g *Gate) ReserveInLine(ctx context.Context, req Request, onQueued func()) (*Reservation, Reason) {
	g.mu.Lock()
	if reason := g.check(req); reason != None {
		g.mu.Unlock()
		return nil, reason
	}
	if g.limit.found > 0 && len(g.queue.waiters) > 0 && g.running < g.slots() {
		g.dispatch() // the learned limit has risen, and those in line go first
	}
	if g.running < g.slots() {
		r := g.grant(req)
		g.mu.Unlock()
		return r, None
	}
	w := g.enqueue(req)
	g.mu.Unlock()
	if w == nil {
		return nil, TargetBusy
	}
	onQueued()
	return g.wait(ctx, w)
}

// check applies all conditions of admission except for a free slot.
func (g *Gate) check(req Request) Reason {
	if reason := g.phaseReason(); reason != None {
		return reason
	}
	if !g.mayEnd(req.RunTime) {
		return NodeStopping
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
	case tested && req.Idempotent && !req.Retry && IsStarved(g.idle(now), false):
		return None
	}
	return TargetUnproven
}

// checkEjected admits trial requests. Idempotent requests that found no other
// target are admitted too. A non-idempotent request that fails would have an
// unknown outcome, so it is refused as not run, unless it is the last resort for
// a target that has nearly recovered or is only suspected, or the target gets no
// other request that could be its trial and has probably recovered. While the
// retry budget is spent no request could be retried, so idempotent ones are tried
// without that at a target that gets no other requests.
func (g *Gate) checkEjected(req Request, now time.Duration) Reason {
	due := g.detector.TrialIn(now) == 0
	switch {
	case req.Idempotent && req.LastResort, req.mayBeTrial() && due && g.running < g.slots():
		return None
	case !req.Idempotent && req.LastResort && (g.detector.NearlyRecovered() || g.detector.Suspected() && g.detector.needed == 1):
		return None
	case !req.Idempotent && due && g.idle(now) >= idleAfter && g.grayRisk(now) <= maxIdleRisk:
		return None
	case req.Idempotent && !req.Retry && due && IsStarved(g.idle(now), g.detector.recovering):
		return None
	}
	return TargetEjected
}

// IsStarved reports whether a target that is ejected or suspected, and has had no
// request for the given time, is offered an idempotent one even if that can't be
// retried, whatever the risk: that of a target which failed for most of the time
// stays high until a request succeeds. A target that is recovering needs more
// trials soon.
func IsStarved(idle time.Duration, recovering bool) bool {
	return idle >= idleAfter || recovering && idle >= untestedIdleAfter
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

// slots returns how many requests may be in flight at the target: its slots, or
// fewer if it rejects requests above a lower number.
func (g *Gate) slots() int { return g.limit.limit(g.target.Slots, g.now()) }

func (g *Gate) grant(req Request) *Reservation {
	g.observeLoad()
	g.running++
	g.lastRequest = g.now()
	g.queue.usages.recordStart(req, g.now())
	r := &Reservation{gate: g, detector: g.detector, zone: req.Zone, start: g.now(), overdueAfter: req.OverdueAfter, runTime: req.RunTime}
	if g.detector.Ejected() {
		r.trial = true
		g.detector.BeginTrial(r.start)
	}
	r.expiry = time.AfterFunc(reservationTTL, r.expire)
	return r
}

// enqueue adds the request to the queue. It returns nil if the request is not
// expected to get a slot in time.
func (g *Gate) enqueue(req Request) *waiter {
	if g.target.Slots <= 0 {
		return nil
	}
	g.observeLoad()
	g.queue.meter.observeWait(req.MaxWait)
	w := newWaiter(req, g.now())
	added := g.queue.add(w, g.now(), g.pace())
	for _, x := range g.queue.evicted {
		x.done <- decision{reason: TargetBusy}
	}
	g.queue.evicted = nil
	if !added {
		return nil
	}
	g.awaitRise(g.now())
	return w
}

// observeLoad tells the queue how many slots have been in use since the last
// change.
func (g *Gate) observeLoad() {
	g.queue.meter.observe(g.now(), float64(g.running)/float64(max(1, g.slots())))
}

// pace returns how fast the target takes requests. A slot whose request is
// overdue does not count, since the request may hold it until its deadline. If
// that is so for all of them, they are expected to be held for as long again.
func (g *Gate) pace() pace {
	now := g.now()
	stuck, age := 0, time.Duration(math.MaxInt64)
	for _, r := range g.open {
		if r.overdue && r.detector == g.detector {
			stuck++
			age = min(age, now-r.start)
		}
	}
	slots := time.Duration(max(1, g.slots()))
	p := pace{perPlace: g.holdTime / slots, spare: 1 - g.queue.meter.inUse}
	switch {
	case stuck >= g.slots() && stuck > 0:
		p.perPlace = max(g.holdTime, age) / slots
	case stuck > 0:
		p.perPlace = g.holdTime / (slots - time.Duration(stuck))
	}
	return p
}

// expectedWait returns the estimated wait of a request that can meet its
// objective.
func (g *Gate) expectedWait(now time.Duration) time.Duration {
	if g.running < g.slots() {
		return 0
	}
	return time.Duration(g.queue.bias*float64(g.pace().perPlace)) * time.Duration(g.queue.onTime(now)+1)
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
	removed := g.queue.remove(w)
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

// dispatch gives free slots to the waiters in order and refuses those that are
// no longer admitted. Those to which the risk of the target is too high at the
// moment are passed over.
func (g *Gate) dispatch() {
	now := g.now()
	g.queue.demoteLate(now)
	passed := false
	for i := 0; i < len(g.queue.waiters) && g.running < g.slots(); {
		w := g.queue.waiters[i]
		reason := g.check(w.req)
		if reason == TargetUnproven && g.mayStay(w, now) {
			passed = true
			i++
			continue
		}
		g.queue.take(i)
		d := decision{reason: reason}
		if reason == None {
			g.queue.observeWait(w, now)
			d.reservation = g.grant(w.req)
		}
		w.done <- d
	}
	if passed && g.recheck == nil {
		g.recheck = time.AfterFunc(max(minRecheck, g.holdTime/recheckPerHold), g.dispatchAgain)
	}
	g.awaitRise(now)
}

// awaitRise has the waiters looked at again when the learned limit rises.
func (g *Gate) awaitRise(now time.Duration) {
	at, rises := g.limit.nextRise()
	if rises && len(g.queue.waiters) > 0 && g.rise == nil {
		g.rise = time.AfterFunc(max(minRecheck, at-now), g.dispatchAfterRise)
	}
}

const (
	// minRecheck and recheckPerHold set how soon waiters that were passed over are
	// looked at again: a fraction of the time for which a request holds its slot,
	// in which the risk changes.
	minRecheck     = 5 * time.Millisecond
	recheckPerHold = 4
	// maxPassedHolds is the number of mean run times after which a waiter that is
	// passed over leaves the line.
	maxPassedHolds = 3
)

func (g *Gate) dispatchAfterRise() {
	g.mu.Lock()
	g.rise = nil
	g.dispatch()
	g.mu.Unlock()
}

func (g *Gate) dispatchAgain() {
	g.mu.Lock()
	g.recheck = nil
	g.dispatch()
	g.mu.Unlock()
}

// mayStay reports whether a waiter for which the risk is too high stays in line. A
// risk that rose by a single failure or a slow request falls again within the time
// of a few runs; a request that moves on loses its place.
func (g *Gate) mayStay(w *waiter, now time.Duration) bool {
	if w.passedAt == 0 {
		w.passedAt = now
	}
	return now-w.passedAt < maxPassedHolds*g.holdTime
}

func (g *Gate) refuseWaiters(reason Reason) {
	for _, w := range g.queue.waiters {
		w.done <- decision{reason: reason}
	}
	g.queue.waiters = nil
}

// Status returns the current status.
func (g *Gate) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	return Status{
		Target: g.target.ID, Service: g.target.Service, Phase: g.target.Phase, Stopping: g.stopping,
		Ejected: g.detector.Ejected(), Recovering: g.detector.Recovering(), Cold: now < g.coldUntil, Slots: g.slots(),
		Running: g.running, Waiting: len(g.queue.waiters), Wait: g.expectedWait(now),
		TrialIn: g.detector.TrialIn(now), Tested: g.detector.Tested(), Idle: g.idle(now),
		Risk: g.grayRisk(now), Rejects: g.rejections.share(now),
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
