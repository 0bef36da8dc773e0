package admission

import (
	"slices"
	"sync"
	"time"
)

// holdWeight is the weight of the newest request in the moving average of the
// time that requests hold a slot.
const holdWeight = 0.1

// Reservation is a reserved slot.
type Reservation struct {
	gate   *Gate
	judge  *Detector // of the incarnation that the slot was granted for
	zone   string
	trial  bool
	start  time.Duration
	expiry *time.Timer

	// survival runs while a trial is open; it and survived are guarded by gate.mu.
	survival *time.Timer
	survived bool // counted as a success before its end

	// overdue runs from the use of the ticket; it and late are guarded by gate.mu.
	overdueAfter time.Duration
	overdue      *time.Timer
	late         bool // the request has become overdue

	mu    sync.Mutex
	state ticketState
}

type ticketState uint8

const (
	reserved ticketState = iota
	used
	released
)

// Trial reports whether the request tests a gray target.
func (t *Reservation) Trial() bool { return t.trial }

// Claim claims the reservation for a request that is about to be sent. It reports
// whether the request may start: not after the reservation expired, and not
// when the target began to leave meanwhile.
func (t *Reservation) Claim() Reason {
	// A process that was paused runs its timers late, so the time is checked too.
	if t.gate.now()-t.start >= reservationTTL {
		t.expire()
	}
	if !t.move(reserved, used) {
		return Expired
	}
	t.expiry.Stop()
	t.gate.mu.Lock()
	why := t.gate.phaseReason()
	if why == None && t.judge != t.gate.judge {
		why = NoTarget
	}
	t.start = t.gate.now()
	if wait, ok := t.judge.EarlySuccessTime(); t.trial && ok {
		t.survival = time.AfterFunc(wait, t.survive)
	}
	if t.overdueAfter > 0 && why == None {
		t.overdue = time.AfterFunc(t.gate.overdueAfter(t.overdueAfter, t.start), t.beLate)
	}
	if why == None {
		t.gate.open = append(t.gate.open, t)
	}
	t.gate.mu.Unlock()
	if why != None {
		t.Release(Neutral)
	}
	return why
}

func (t *Reservation) move(from, to ticketState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != from {
		return false
	}
	t.state = to
	return true
}

func (t *Reservation) expire() {
	if t.move(reserved, released) {
		t.gate.release(t, Neutral)
	}
}

// survive counts an open trial as a success. The state is read under the lock
// of the gate, so that a trial which ends just now counts once.
func (t *Reservation) survive() {
	g := t.gate
	g.mu.Lock()
	if t.isOpen() && t.judge == g.judge {
		t.survived = t.judge.EarlySuccess(t.zone, t.start, g.now())
	}
	counted := t.survived
	g.mu.Unlock()
	if counted {
		g.onChange()
	}
}

// beLate counts an open request that is overdue against the target.
func (t *Reservation) beLate() {
	g := t.gate
	g.mu.Lock()
	changed := false
	if t.isOpen() && t.judge == g.judge && !t.survived {
		t.late = true
		if t.trial {
			t.judge.EndTrial()
		}
		changed = t.judge.ObserveOverdue(t.zone, t.start, g.now())
	}
	g.mu.Unlock()
	if changed {
		g.onChange()
	}
}

func (t *Reservation) isOpen() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state == used
}

// Release returns the slot and records what the request showed. Calls after the
// first have no effect.
func (t *Reservation) Release(e Outcome) {
	if t.move(used, released) || t.move(reserved, released) {
		t.expiry.Stop()
		t.gate.release(t, e)
	}
}

func (g *Gate) release(t *Reservation, e Outcome) {
	g.mu.Lock()
	now := g.now()
	g.running--
	g.open = slices.DeleteFunc(g.open, func(x *Reservation) bool { return x == t })
	was := t.judge.Recovering()
	changed := g.observe(t, e, now) && t.judge == g.judge
	began := !was && t.judge.Recovering() && t.judge == g.judge
	if e == Success {
		g.hold += time.Duration(holdWeight * float64(now-t.start-g.hold))
	}
	if changed && g.judge.Ejected() {
		g.refuseAll(TargetEjected)
	}
	g.dispatch()
	g.mu.Unlock()
	if changed || began {
		g.onChange()
	}
}

const (
	// coldPatience is the factor on overdue times of a target that has just started.
	coldPatience = 2
	// maxPatience bounds how much slower than others a target may be unnoticed.
	maxPatience = 3
	// patienceUp and patienceDown change the factor when a request ends well
	// that was overdue, and when one ends well in time.
	patienceUp   = 1.25
	patienceDown = 0.99
)

// overdueAfter returns when a request that starts now is overdue here.
func (g *Gate) overdueAfter(usual, now time.Duration) time.Duration {
	factor := g.patience
	if now < g.coldUntil {
		factor *= coldPatience
	}
	return time.Duration(factor * float64(usual))
}

// learnPatience adapts to targets that are slower than others but answer well.
func (g *Gate) learnPatience(late bool) {
	if late {
		g.patience = min(maxPatience, g.patience*patienceUp)
		return
	}
	g.patience = max(1, g.patience*patienceDown)
}

// observe records the end of a request as evidence. It reports whether the
// target turned gray or returned.
func (g *Gate) observe(t *Reservation, e Outcome, now time.Duration) bool {
	if t.survival != nil {
		t.survival.Stop()
	}
	if t.overdue != nil {
		t.overdue.Stop()
	}
	if e == Success {
		g.learnPatience(t.late)
	}
	switch {
	case t.late && e == Timeout:
		return false // counted when the request became overdue
	case t.survived && e == Success:
		return false // counted when the trial survived
	case t.trial && !t.survived && !t.late:
		t.judge.EndTrial()
	}
	return t.judge.Observe(e, t.zone, t.start, now)
}
