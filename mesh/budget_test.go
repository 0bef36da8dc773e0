package mesh

import (
	"context"
	"testing"
	"time"

	"hyssopbridge/admission"
)

// testBudget returns the budget of one of four hosts and its gate.
func testBudget(p RetryPolicy, started time.Duration, calledServicesAdmit func() bool) (*budget, *admission.Gate) {
	now := func() time.Duration { return started }
	g := admission.NewGate(now, admission.DefaultDetectorConfig(), nil)
	g.SetTarget(admission.Target{ID: "t", Service: "s", Slots: 1000, Phase: admission.Serving})
	return newBudget(now, func() RetryPolicy { return p }, func() int { return 4 }, calledServicesAdmit, 1), g
}

func admitsCalls() bool { return true }

func admittedRetries(b *budget, g *admission.Gate, tries int) int {
	n := 0
	for range tries {
		if reserved, _ := b.reserve(context.Background(), g, admission.Request{Target: "t", Service: "s", Idempotent: true, Retry: true}); reserved != nil {
			n++
		}
	}
	return n
}

// Guards against host nodes that together admit more retries than the fleet may
// make, and against a restarted node that grants its share of the slack a
// second time.
func TestHostRetryBudget(t *testing.T) {
	policy := RetryPolicy{Ratio: 0.2, Slack: 80}
	b, g := testBudget(policy, time.Minute, admitsCalls)
	first := admission.Request{Target: "t", Service: "s", Idempotent: true}
	for range 100 {
		if reserved, reason := b.reserve(context.Background(), g, first); reserved == nil {
			t.Fatal(reason)
		}
	}
	if got, most := admittedRetries(b, g, 100), 20+80/4; got == 0 || got > most {
		t.Errorf("%d retries admitted, want some and at most %d", got, most)
	}
	if left, _ := b.available(); left {
		t.Error("budget left after all was spent")
	}
	if reserved, reason := b.reserve(context.Background(), g, first); reserved == nil {
		t.Errorf("a first attempt was refused: %s", reason)
	}
	b, g = testBudget(policy, 0, admitsCalls)
	if got := admittedRetries(b, g, 100); got > 1 {
		t.Errorf("%d retries admitted at the start of the process", got)
	}
}

// Guards against retries whose nested calls exceed the budget of the called
// service.
func TestRetriesRespectCalledServiceBudget(t *testing.T) {
	b, g := testBudget(RetryPolicy{Ratio: 0.2, Slack: 80}, time.Minute, func() bool { return false })
	left, _ := b.available()
	if got := admittedRetries(b, g, 10); got != 0 || left {
		t.Errorf("%d retries admitted, budget left %v, although the called service has none", got, left)
	}
	b, g = testBudget(RetryPolicy{Ratio: 0.2, Slack: 80}, time.Minute, admitsCalls)
	call := admission.Request{Target: "t", Service: "s", Idempotent: true, CalledByRetry: 1}
	for n := 0; ; n++ {
		if _, calls := b.available(); !calls {
			break
		}
		if n == 200 {
			t.Fatal("calls of retried runs use no budget")
		}
		b.reserve(context.Background(), g, call)
	}
	if got := admittedRetries(b, g, 10); got != 0 {
		t.Errorf("%d retries admitted on top of the calls of retried runs", got)
	}
}

// Guards against a refused reservation that is charged as a retry.
func TestRefusedRetryIsNotCharged(t *testing.T) {
	b, g := testBudget(RetryPolicy{Ratio: 0.2, Slack: 80}, time.Minute, admitsCalls)
	g.Stop()
	admittedRetries(b, g, 100)
	if left, _ := b.available(); !left {
		t.Error("retries that reached no target used up the budget")
	}
}
