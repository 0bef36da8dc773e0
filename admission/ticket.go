package admission

import (
	"sync"
	"time"
)

// holdWeight is the weight of the newest request in the moving average of the
// time that requests hold a slot.
const holdWeight = 0.1

// Ticket is a reserved slot.
type Ticket struct {
	gate   *Gate
	judge  *Judge // of the incarnation that the slot was granted for
	zone   string
	trial  bool
	start  time.Duration
	expiry *time.Timer

	// survival runs while a trial is open; it and survived are guarded by gate.mu.
	survival *time.Timer
	survived bool // counted as a success before its end

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
func (t *Ticket) Trial() bool { return t.trial }

// Use claims the reservation for a request that is about to be sent. It reports
// whether the request may start: not after the reservation expired, and not
// when the target began to leave meanwhile.
func (t *Ticket) Use() Reason {
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
	if wait, ok := t.judge.SurvivalTime(); t.trial && ok {
		t.survival = time.AfterFunc(wait, t.survive)
	}
	t.gate.mu.Unlock()
	if why != None {
		t.Release(Neutral)
	}
	return why
}

func (t *Ticket) move(from, to ticketState) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != from {
		return false
	}
	t.state = to
	return true
}

func (t *Ticket) expire() {
	if t.move(reserved, released) {
		t.gate.release(t, Neutral)
	}
}

// survive counts an open trial as a success. The state is read under the lock
// of the gate, so that a trial which ends just now counts once.
func (t *Ticket) survive() {
	g := t.gate
	g.mu.Lock()
	if t.isOpen() && t.judge == g.judge {
		t.survived = t.judge.Survive(t.zone, t.start, g.now())
	}
	counted := t.survived
	g.mu.Unlock()
	if counted {
		g.onChange()
	}
}

func (t *Ticket) isOpen() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state == used
}

// Release returns the slot and records what the request showed. Calls after the
// first have no effect.
func (t *Ticket) Release(e Evidence) {
	if t.move(used, released) || t.move(reserved, released) {
		t.expiry.Stop()
		t.gate.release(t, e)
	}
}

func (g *Gate) release(t *Ticket, e Evidence) {
	g.mu.Lock()
	now := g.now()
	g.running--
	was := t.judge.Returning()
	changed := g.observe(t, e, now) && t.judge == g.judge
	began := !was && t.judge.Returning() && t.judge == g.judge
	if e == Good {
		g.hold += time.Duration(holdWeight * float64(now-t.start-g.hold))
	}
	if changed && g.judge.Gray() {
		g.refuseAll(IsGray)
	}
	g.dispatch()
	g.mu.Unlock()
	if changed || began {
		g.onChange()
	}
}

// observe records the end of a request as evidence. It reports whether the
// target turned gray or returned.
func (g *Gate) observe(t *Ticket, e Evidence, now time.Duration) bool {
	if t.survival != nil {
		t.survival.Stop()
	}
	switch {
	case t.survived && e == Good:
		t.judge.Confirm(t.start, now)
		return false
	case t.trial && !t.survived:
		t.judge.EndTrial()
	}
	return t.judge.Observe(e, t.zone, t.start, now)
}
