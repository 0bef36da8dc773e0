package admission

import (
	"context"
	"testing"
)

// Guards against sending non-idempotent requests to a target that has stopped
// responding until the first of them reaches its deadline.
func TestOverdueRequestEjects(t *testing.T) {
	g, c := testGate(4)
	mustReserve(t, g, nonIdempotent()).Release(Success)
	c.add(10 * ms)
	stalled := nonIdempotent()
	stalled.OverdueAfter = 500 * ms
	first := mustReserve(t, g, stalled)
	first.Claim()
	c.add(501 * ms)
	first.markOverdue()
	if s := g.Status(); !s.Ejected || !g.detector.Suspected() {
		t.Fatalf("ejected %v, suspected %v", s.Ejected, g.detector.Suspected())
	}
	mustRefuse(t, g, nonIdempotent(), TargetEjected)
	// The timeout of the overdue request seconds later must not count again, since
	// the target has responded to another request meanwhile.
	c.add(DefaultDetectorConfig().FirstTrialDelay)
	mustReserve(t, g, idempotent()).Release(Success)
	c.add(3000 * ms)
	first.Release(Timeout)
	if g.Status().Ejected {
		t.Error("the timeout of a request that was already counted as overdue ejects the target again")
	}
}

// Guards against a target that stays ejected because a single request took
// long, and against suspecting a target repeatedly that is merely slow.
func TestOverdueRequestThatSucceeds(t *testing.T) {
	g, c := testGate(4)
	slow := nonIdempotent()
	slow.OverdueAfter = 500 * ms
	first := mustReserve(t, g, slow)
	first.Claim()
	c.add(600 * ms)
	first.markOverdue()
	first.Release(Success)
	if g.Status().Ejected {
		t.Error("ejected after the overdue request succeeded")
	}
	if after := g.overdueAfter(500*ms, c.get()); after <= 500*ms {
		t.Errorf("the next request is overdue after %v, want more than 500 ms", after)
	}
}

// Guards against a target that returns after a failure because an overdue
// request that began before it succeeds.
func TestOverdueSuccessDoesNotHideFailure(t *testing.T) {
	g, c := testGate(4)
	slow := nonIdempotent()
	slow.OverdueAfter = 500 * ms
	first := mustReserve(t, g, slow)
	first.Claim()
	other := mustReserve(t, g, nonIdempotent())
	other.Claim()
	c.add(600 * ms)
	first.markOverdue()
	other.Release(TransportError)
	first.Release(Success)
	if !g.Status().Ejected {
		t.Error("the success of an older request ended an ejection caused by a transport error")
	}
}

// Guards against counting a request as overdue although a request that began
// later has succeeded.
func TestOverdueBeforeLaterSuccess(t *testing.T) {
	g, c := testGate(4)
	slow := idempotent()
	slow.OverdueAfter = 500 * ms
	first := mustReserve(t, g, slow)
	first.Claim()
	c.add(100 * ms)
	second := mustReserve(t, g, idempotent())
	second.Claim()
	c.add(50 * ms)
	second.Release(Success)
	c.add(400 * ms)
	first.markOverdue()
	if g.Status().Ejected {
		t.Error("ejected although a request that began later succeeded")
	}
}

// Guards against more non-idempotent requests to a target with several requests
// open for longer than usual, before any single one is overdue.
func TestOpenRequestsTogetherRaiseRisk(t *testing.T) {
	g, c := testGate(6)
	mustReserve(t, g, nonIdempotent()).Release(Success)
	stalled := nonIdempotent()
	stalled.OverdueAfter = 500 * ms
	for range 3 {
		c.add(20 * ms)
		mustReserve(t, g, stalled).Claim()
	}
	mustReserve(t, g, stalled).Release(Neutral)
	c.add(200 * ms)
	mustRefuse(t, g, stalled, TargetUnproven)
	mustReserve(t, g, idempotent())
}

// Guards against a new target that never gets its first request because its
// service has no idempotent routes, and against several such requests at once.
func TestNewTargetIsOfferedNonIdempotentRequest(t *testing.T) {
	g, c := testGate(4)
	req := Request{Target: "t", Service: "s", Zone: "z"}
	mustRefuse(t, g, req, TargetUnproven)
	c.add(untestedIdleAfter)
	if s := g.Status(); !IsIdle(s.Idle, s.Tested) {
		t.Errorf("a new target without a request for %v is not offered one", s.Idle)
	}
	first, reason := g.Reserve(context.Background(), req)
	if first == nil {
		t.Fatalf("refused: %s", reason)
	}
	first.Claim()
	mustRefuse(t, g, req, TargetUnproven)
}

// Guards against a process that was paused and then claims a reservation which
// has expired meanwhile: the timers that end it may fire only afterwards.
func TestReservationAfterPause(t *testing.T) {
	g, c := testGate(1)
	res := mustReserve(t, g, nonIdempotent())
	c.add(reservationTTL + ms)
	if reason := res.Claim(); reason != Expired {
		t.Errorf("claim after the expiry: %s", reason)
	}
	mustReserve(t, g, nonIdempotent())
}
