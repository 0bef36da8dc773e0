package admission

import (
	"context"
	"testing"
)

// Guards against orders that go on to a silent target until the first one has
// used up its deadline.
func TestOverdueRequestMakesGray(t *testing.T) {
	g, c := testGate(4)
	mustReserve(t, g, order()).Release(Success)
	c.add(10 * ms)
	silent := order()
	silent.OverdueAfter = 500 * ms
	first := mustReserve(t, g, silent)
	first.Claim()
	c.add(501 * ms)
	first.beLate()
	if s := g.Status(); !s.Ejected || !g.judge.Suspected() {
		t.Fatalf("gray %v, suspected %v", s.Ejected, g.judge.Suspected())
	}
	refused(t, g, order(), TargetEjected)
	// Its timeout seconds later says nothing new of a target that has answered since.
	c.add(DefaultDetectorConfig().FirstTrialDelay)
	mustReserve(t, g, read()).Release(Success)
	c.add(3000 * ms)
	first.Release(Timeout)
	if g.Status().Ejected {
		t.Error("the end of a request that was counted before makes the target gray again")
	}
}

// Guards against a target that stays out of work because a single request took
// long, and against the same target being suspected again and again.
func TestOverdueRequestThatEndsWell(t *testing.T) {
	g, c := testGate(4)
	slow := order()
	slow.OverdueAfter = 500 * ms
	first := mustReserve(t, g, slow)
	first.Claim()
	c.add(600 * ms)
	first.beLate()
	first.Release(Success)
	if g.Status().Ejected {
		t.Error("gray after the overdue request ended well")
	}
	if after := g.overdueAfter(500*ms, c.get()); after <= 500*ms {
		t.Errorf("the next request is overdue after %v", after)
	}
}

// Guards against a target that is taken back after failures because a request
// from before them ends well late.
func TestOverdueDoesNotExcuseFailures(t *testing.T) {
	g, c := testGate(4)
	slow := order()
	slow.OverdueAfter = 500 * ms
	first := mustReserve(t, g, slow)
	first.Claim()
	other := mustReserve(t, g, order())
	other.Claim()
	c.add(600 * ms)
	first.beLate()
	other.Release(TransportError)
	first.Release(Success)
	if !g.Status().Ejected {
		t.Error("an old success ended a gray phase with a broken answer")
	}
}

// Guards against requests that began before an answered one and count as silence.
func TestOverdueBeforeLaterSuccess(t *testing.T) {
	g, c := testGate(4)
	slow := read()
	slow.OverdueAfter = 500 * ms
	first := mustReserve(t, g, slow)
	first.Claim()
	c.add(100 * ms)
	second := mustReserve(t, g, read())
	second.Claim()
	c.add(50 * ms)
	second.Release(Success)
	c.add(400 * ms)
	first.beLate()
	if g.Status().Ejected {
		t.Error("gray although a later request was answered")
	}
}

// Guards against more orders for a target of which several requests are open
// for longer than usual, before any single one is overdue.
func TestOpenRequestsTogetherRaiseDoubt(t *testing.T) {
	g, c := testGate(6)
	mustReserve(t, g, order()).Release(Success)
	silent := order()
	silent.OverdueAfter = 500 * ms
	for range 3 {
		c.add(20 * ms)
		mustReserve(t, g, silent).Claim()
	}
	mustReserve(t, g, silent).Release(Neutral)
	c.add(200 * ms)
	refused(t, g, silent, TargetUnproven)
	mustReserve(t, g, read())
}

// Guards against a service without idempotent routes whose new target never
// gets the request that would prove it, and against several at once.
func TestNewTargetIsOfferedAnOrder(t *testing.T) {
	g, c := testGate(4)
	careful := Request{Target: "t", Service: "s", Zone: "z"}
	refused(t, g, careful, TargetUnproven)
	c.add(newcomerOffer)
	if s := g.Status(); !IsIdle(s.Idle, s.Tested) {
		t.Errorf("idle for %v is not offered", s.Idle)
	}
	first, why := g.Reserve(context.Background(), careful)
	if first == nil {
		t.Fatalf("refused: %s", why)
	}
	first.Claim()
	refused(t, g, careful, TargetUnproven)
}

// Guards against a process that was paused and then uses a reservation which
// has run out meanwhile: the timers that end it may fire only afterwards.
func TestReservationAfterPause(t *testing.T) {
	g, c := testGate(1)
	ticket := mustReserve(t, g, order())
	c.add(reservationTTL + ms)
	if why := ticket.Claim(); why != Expired {
		t.Errorf("used after its time: %s", why)
	}
	mustReserve(t, g, order())
}
