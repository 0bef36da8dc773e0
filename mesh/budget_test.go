package mesh

import (
	"context"
	"testing"
	"time"

	"hyssopbridge/admission"
)

// testBudget returns the budget of one of four hosts and its gate.
func testBudget(p RetryPolicy, started time.Duration, calledHaveRoom func() bool) (*budget, *admission.Gate) {
	now := func() time.Duration { return started }
	g := admission.NewGate(now, admission.DefaultDetectorConfig(), nil)
	g.SetTarget(admission.Target{ID: "t", Service: "s", Slots: 1000, Phase: admission.Serving})
	return newBudget(now, func() RetryPolicy { return p }, func() int { return 4 }, calledHaveRoom, 1), g
}

func roomy() bool { return true }

func repeats(b *budget, g *admission.Gate, tries int) int {
	n := 0
	for range tries {
		if t, _ := b.reserve(context.Background(), g, admission.Request{Target: "t", Service: "s", Idempotent: true, Retry: true}); t != nil {
			n++
		}
	}
	return n
}

// Guards against host nodes that together admit more repeats than the fleet may
// make, and against a node that starts anew and grants its part of the slack a
// second time.
func TestBudgetOfAHost(t *testing.T) {
	policy := RetryPolicy{Ratio: 0.2, Slack: 80}
	b, g := testBudget(policy, time.Minute, roomy)
	first := admission.Request{Target: "t", Service: "s", Idempotent: true}
	for range 100 {
		if ticket, why := b.reserve(context.Background(), g, first); ticket == nil {
			t.Fatal(why)
		}
	}
	if got, most := repeats(b, g, 100), 20+80/4; got == 0 || got > most {
		t.Errorf("%d repeats admitted, want some and at most %d", got, most)
	}
	if left, _ := b.room(); left {
		t.Error("room after all was spent")
	}
	if ticket, why := b.reserve(context.Background(), g, first); ticket == nil {
		t.Errorf("a first request is refused for want of budget: %s", why)
	}
	b, g = testBudget(policy, 0, roomy)
	if got := repeats(b, g, 100); got > 1 {
		t.Errorf("%d repeats admitted at the start of the process", got)
	}
}

// Guards against repeats whose calls break the budget of the called service.
func TestRepeatsSpareCalledServices(t *testing.T) {
	b, g := testBudget(RetryPolicy{Ratio: 0.2, Slack: 80}, time.Minute, func() bool { return false })
	left, _ := b.room()
	if got := repeats(b, g, 10); got != 0 || left {
		t.Errorf("%d repeats admitted, room %v, although the called service has none", got, left)
	}
	b, g = testBudget(RetryPolicy{Ratio: 0.2, Slack: 80}, time.Minute, roomy)
	call := admission.Request{Target: "t", Service: "s", Idempotent: true, CalledByRetry: 1}
	for n := 0; ; n++ {
		if _, calls := b.room(); !calls {
			break
		}
		if n == 200 {
			t.Fatal("calls of repeats use nothing")
		}
		b.reserve(context.Background(), g, call)
	}
	if got := repeats(b, g, 10); got != 0 {
		t.Errorf("%d repeats admitted beside the calls of repeats", got)
	}
}

// Guards against a refused reservation that is charged as a repeat.
func TestRefusedRepeatIsNotCharged(t *testing.T) {
	b, g := testBudget(RetryPolicy{Ratio: 0.2, Slack: 80}, time.Minute, roomy)
	g.Stop()
	repeats(b, g, 100)
	if left, _ := b.room(); !left {
		t.Error("repeats that reached no target used up the budget")
	}
}
