package mesh

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/placement"
)

// testBudget returns the budget of one of four hosts and its gate. Runs at its
// target make one call to a service, whose host admits retryCalls calls of
// retried runs.
func testBudget(p RetryPolicy, started time.Duration, retryCalls float64) (*budget, *admission.Gate) {
	now := func() time.Duration { return started }
	g := admission.NewGate(now, admission.DefaultDetectorConfig(), nil)
	g.SetTarget(admission.Target{ID: "t", Service: "s", Slots: 1000, Phase: admission.Serving})
	view := placement.NewView(placement.DefaultConfig("", "z"), now, 1)
	view.Update(placement.Host{Addr: "c", Zone: "z"}, admission.Status{Target: "c", Service: "called", Phase: admission.Serving, RetryCalls: retryCalls})
	calls := &outboundCalls{now: now}
	for range 20 {
		run := calls.beginRun(idempotentRuns, false)
		calls.record("nested", "called")
		calls.endRun(run, admission.Success)
	}
	return newBudget(now, func() RetryPolicy { return p }, func() int { return 4 }, newCallBudget(now, view, calls, 1), 1), g
}

const unlimitedCalls = 1e6

func (b *budget) status() admission.Status {
	var s admission.Status
	b.describe(&s)
	return s
}

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
	b, g := testBudget(policy, time.Minute, unlimitedCalls)
	first := admission.Request{Target: "t", Service: "s", Idempotent: true}
	for range 100 {
		if reserved, reason := b.reserve(context.Background(), g, first); reserved == nil {
			t.Fatal(reason)
		}
	}
	if got, most := admittedRetries(b, g, 100), 20+80/4; got == 0 || got > most {
		t.Errorf("%d retries admitted, want some and at most %d", got, most)
	}
	if b.status().AdmitsRetries {
		t.Error("budget left after all was spent")
	}
	if reserved, reason := b.reserve(context.Background(), g, first); reserved == nil {
		t.Errorf("a first attempt was refused: %s", reason)
	}
	b, g = testBudget(policy, 0, unlimitedCalls)
	if got := admittedRetries(b, g, 100); got > 1 {
		t.Errorf("%d retries admitted at the start of the process", got)
	}
}

// Guards against retries whose nested calls exceed the budget of the called
// service.
func TestRetriesRespectCalledServiceBudget(t *testing.T) {
	b, g := testBudget(RetryPolicy{Ratio: 0.2, Slack: 80}, time.Minute, 0)
	left := b.status().AdmitsRetries
	if got := admittedRetries(b, g, 10); got != 0 || left {
		t.Errorf("%d retries admitted, budget left %v, although the called service has none", got, left)
	}
	b, g = testBudget(RetryPolicy{Ratio: 0.2, Slack: 80}, time.Minute, unlimitedCalls)
	call := admission.Request{Target: "t", Service: "s", Idempotent: true, CalledByRetry: 1}
	n := 0
	for float64(n) < b.status().RetryCalls {
		if n++; n == 200 {
			t.Fatal("calls of retried runs use no budget")
		}
		b.reserve(context.Background(), g, call)
	}
	if got, most := admittedRetries(b, g, 100), 0.2*float64(n)+80/4; n == 0 || float64(got+n) > most {
		t.Errorf("%d calls of retried runs and %d retries admitted, want some calls and at most %.1f", n, got, most)
	}
	for range 200 {
		b.reserve(context.Background(), g, call)
	}
	if calls := b.status().RetryCalls; calls != 0 || admittedRetries(b, g, 10) != 0 {
		t.Errorf("%.1f calls of retried runs or retries admitted although calls have used up the budget", calls)
	}
}

// Guards against a refused reservation that is charged as a retry.
func TestRefusedRetryIsNotCharged(t *testing.T) {
	b, g := testBudget(RetryPolicy{Ratio: 0.2, Slack: 80}, time.Minute, unlimitedCalls)
	g.Stop()
	admittedRetries(b, g, 100)
	if !b.status().AdmitsRetries {
		t.Error("retries that reached no target used up the budget")
	}
}

// Guards against retries of different connections that are admitted at the same
// moment on the same rest of the budget.
func TestConcurrentRetriesRespectBudget(t *testing.T) {
	policy := RetryPolicy{Ratio: 0.2, Slack: 80}
	for name, retryCalls := range map[string]float64{"of the service": unlimitedCalls, "of the called service": 100} {
		t.Run(name, func(t *testing.T) {
			b, g := testBudget(policy, time.Minute, retryCalls)
			want := admittedRetries(b, g, 100)
			b, g = testBudget(policy, time.Minute, retryCalls)
			now := b.now
			b.now = func() time.Duration {
				runtime.Gosched() // another retry may be decided on here
				return now()
			}
			b.calls.now = b.now
			var wait sync.WaitGroup
			var admitted atomic.Int64
			for range 100 {
				wait.Go(func() { admitted.Add(int64(admittedRetries(b, g, 1))) })
			}
			wait.Wait()
			if got := int(admitted.Load()); got != want {
				t.Errorf("%d retries were admitted at once, want %d as one after the other", got, want)
			}
		})
	}
}
