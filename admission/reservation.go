package admission

import (
	"slices"
	"sync"
	"time"
)

// holdTimeWeight is the weight of the newest request in the moving average of
// the time that requests hold a slot.
const holdTimeWeight = 0.1

// Reservation is a slot held for one request.
type Reservation struct {
	gate     *Gate
	detector *Detector // of the target incarnation that granted the slot
	zone     string
	trial    bool
	start    time.Duration
	expiry   *time.Timer

	// earlySuccessTimer runs while a trial request is open; it and countedEarly
	// are guarded by gate.mu.
	earlySuccessTimer *time.Timer
	countedEarly      bool // counted as a success before its end

	// overdueTimer runs from Claim; it and overdue are guarded by gate.mu.
	overdueAfter time.Duration
	runTime      time.Duration // Request.RunTime
	overdueTimer *time.Timer
	overdue      bool   // the request has become overdue
	sent         bool   // Claim has succeeded; guarded by gate.mu
	send         uint64 // number of the send, for inFlightLimit; guarded by gate.mu
	responded    bool   // the target has begun its response; guarded by gate.mu

	mu    sync.Mutex
	state reservationState
	kept  bool // does not expire
}

type reservationState uint8

const (
	reserved reservationState = iota
	claimed
	released
)

// Trial reports whether the request is a trial request to an ejected target.
func (r *Reservation) Trial() bool { return r.trial }

// Claim uses the reservation for a request that is about to be sent. It returns
// None if the request may start, and otherwise the reason of refusal: the
// reservation has expired, or the target was replaced or began to drain.
func (r *Reservation) Claim() Reason {
	r.expireIfDue()
	if !r.transition(reserved, claimed) {
		return Expired
	}
	r.expiry.Stop()
	r.gate.mu.Lock()
	reason := r.gate.phaseReason()
	switch {
	case reason != None:
	case r.detector != r.gate.detector:
		reason = NoTarget
	case !r.gate.mayEnd(r.runTime):
		reason = NodeStopping
	}
	r.start = r.gate.now()
	if wait, ok := r.detector.EarlySuccessTime(); r.trial && ok {
		r.earlySuccessTimer = time.AfterFunc(wait, r.countEarlySuccess)
	}
	if r.overdueAfter > 0 && reason == None {
		r.overdueTimer = time.AfterFunc(r.gate.overdueAfter(r.overdueAfter, r.start), r.markOverdue)
	}
	if reason == None {
		r.sent = true
		r.gate.rejections.observeSend(r.start)
		r.send = r.gate.limit.observeSend(r.gate.running, r.start)
		r.gate.open = append(r.gate.open, r)
	}
	r.gate.mu.Unlock()
	if reason != None {
		r.Release(Neutral)
	}
	return reason
}

func (r *Reservation) transition(from, to reservationState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != from {
		return false
	}
	r.state = to
	return true
}

// Keep keeps the reservation from expiring, since its request has begun to arrive
// and a large one takes long over a slow link. The caller must claim or release
// it. Keep reports false if the reservation has expired.
func (r *Reservation) Keep() bool {
	r.expireIfDue()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = r.state == reserved
	return r.kept
}

// expireIfDue expires the reservation after its time. The timers of a process that
// was paused fire late.
func (r *Reservation) expireIfDue() {
	if r.gate.now()-r.start >= reservationTTL {
		r.expire()
	}
}

func (r *Reservation) expire() {
	r.mu.Lock()
	expired := r.state == reserved && !r.kept
	if expired {
		r.state = released
	}
	r.mu.Unlock()
	if expired {
		r.gate.release(r, Neutral)
	}
}

// countEarlySuccess counts an open trial request as a success. The state is
// read under the lock of the gate, so that a trial that ends concurrently
// counts once.
func (r *Reservation) countEarlySuccess() {
	g := r.gate
	g.mu.Lock()
	if r.isOpen() && r.detector == g.detector {
		r.countedEarly = r.detector.EarlySuccess(r.zone, r.start, g.now())
	}
	counted := r.countedEarly
	g.mu.Unlock()
	if counted {
		g.onChange()
	}
}

// markOverdue reports an open request as overdue to the failure detector.
func (r *Reservation) markOverdue() {
	g := r.gate
	g.mu.Lock()
	changed := false
	if r.isOpen() && r.detector == g.detector && !r.countedEarly && !r.responded {
		r.overdue = true
		if r.trial {
			r.detector.EndTrial()
		}
		changed = r.detector.ObserveOverdue(r.zone, r.start, g.now())
	}
	g.mu.Unlock()
	if changed {
		g.onChange()
	}
}

// ResponseStarted states that the target has begun its response. From then on the
// request lasts as long as its reader takes, so it is no sign of a stalled target.
func (r *Reservation) ResponseStarted() {
	g := r.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	r.responded = true
	if r.overdueTimer != nil {
		r.overdueTimer.Stop()
	}
	g.open = slices.DeleteFunc(g.open, func(x *Reservation) bool { return x == r })
}

func (r *Reservation) isOpen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == claimed
}

// Release returns the slot and records the outcome of the request. Only the
// first call has an effect.
func (r *Reservation) Release(o Outcome) {
	if r.transition(claimed, released) || r.transition(reserved, released) {
		r.expiry.Stop()
		r.gate.release(r, o)
	}
}

func (g *Gate) release(r *Reservation, o Outcome) {
	g.mu.Lock()
	now := g.now()
	g.observeLoad()
	g.running--
	g.open = slices.DeleteFunc(g.open, func(x *Reservation) bool { return x == r })
	rejectsMore := o == Rejected && r.sent && r.detector == g.detector && g.observeRejection(r, now)
	wasRecovering := r.detector.Recovering()
	changed := g.recordOutcome(r, o, now) && r.detector == g.detector
	startedRecovering := !wasRecovering && r.detector.Recovering() && r.detector == g.detector
	if o == Success {
		g.holdTime += time.Duration(holdTimeWeight * float64(now-r.start-g.holdTime))
	}
	if changed && g.detector.Ejected() {
		g.refuseWaiters(TargetEjected)
	}
	g.dispatch()
	g.mu.Unlock()
	if changed || startedRecovering || rejectsMore {
		g.onChange()
	}
}

const (
	// announcedRise is by how much the share of rejected requests must have risen
	// above the one that was announced to be announced at once.
	announcedRise = 0.15
	// announceInterval is the shortest time between two such announcements.
	announceInterval = 250 * time.Millisecond
)

// observeRejection learns that the target rejected the request. It reports
// whether other nodes should learn it at once: until they do, each of them sends
// requests to the target to find out.
func (g *Gate) observeRejection(r *Reservation, now time.Duration) bool {
	g.rejections.observeRejection(r.start, now)
	g.limit.observeRejection(r.send, g.target.Slots, now)
	share := g.rejections.share(now)
	sinceAnnounced := now - g.announcedAt
	if share < RejectsAfter(g.announcedRejects, sinceAnnounced)+announcedRise || g.announcedRejects > 0 && sinceAnnounced < announceInterval {
		return false
	}
	g.announcedRejects, g.announcedAt = share, now
	return true
}

const (
	// coldOverdueFactor multiplies the overdue times of a target in its cold start.
	coldOverdueFactor = 2
	// maxOverdueFactor limits how much slower than usual a target may become
	// before its requests count as overdue.
	maxOverdueFactor = 3
	// overdueFactorUp multiplies the factor when an overdue request succeeds,
	// overdueFactorDown when a request succeeds in time.
	overdueFactorUp   = 1.25
	overdueFactorDown = 0.99
)

// overdueAfter returns the run time after which a request that starts now is
// overdue at this target.
func (g *Gate) overdueAfter(usual, now time.Duration) time.Duration {
	factor := g.overdueFactor
	if now < g.coldUntil {
		factor *= coldOverdueFactor
	}
	return time.Duration(factor * float64(usual))
}

// adjustOverdueFactor adapts to targets that are slower than others but healthy.
func (g *Gate) adjustOverdueFactor(wasOverdue bool) {
	if wasOverdue {
		g.overdueFactor = min(maxOverdueFactor, g.overdueFactor*overdueFactorUp)
		return
	}
	g.overdueFactor = max(1, g.overdueFactor*overdueFactorDown)
}

// recordOutcome passes the outcome of a request to the failure detector. It
// reports whether the target was ejected or returned.
func (g *Gate) recordOutcome(r *Reservation, o Outcome, now time.Duration) bool {
	if r.earlySuccessTimer != nil {
		r.earlySuccessTimer.Stop()
	}
	if r.overdueTimer != nil {
		r.overdueTimer.Stop()
	}
	if o == Success {
		g.adjustOverdueFactor(r.overdue)
	}
	if o == Neutral && r.sent && !r.responded {
		g.observeStall(r, now)
	}
	switch {
	case r.overdue && o == Timeout:
		r.detector.observeState(o, r.start, now)
		return false // counted by markOverdue
	case r.countedEarly && o == Success:
		return false // counted by countEarlySuccess
	case r.trial && !r.countedEarly && !r.overdue:
		r.detector.EndTrial()
	}
	return r.detector.Observe(o, r.zone, r.start, now)
}
