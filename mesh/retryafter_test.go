package mesh

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/placement"
	"hyssopbridge/resultcode"
)

// Guards against callers that are refused under overload and all return at once,
// or long before the queues of the service have become shorter.
func TestRetryAfterFollowsQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := func() time.Duration { return time.Minute }
		route := simRoute("r", "s", false, 2*time.Second, 4*time.Second, 1, 0)
		newDispatcher := func() *dispatcher {
			return &dispatcher{view: placement.NewView(placement.DefaultConfig("self", "z"), now, 1), latencies: newLatencies()}
		}
		refuse := func(d *dispatcher) time.Duration {
			return d.retryAfter(&route, "s", notRun(resultcode.QueueFull, "full"))
		}
		least, most := time.Hour, time.Duration(0)
		for range 200 {
			after := refuse(newDispatcher())
			least, most = min(least, after), max(most, after)
		}
		if least < defaultRetryAfter || most > 2*defaultRetryAfter || most < least*3/2 {
			t.Errorf("wait of %v to %v without a known target", least, most)
		}
		d := newDispatcher()
		d.view.Update(placement.Host{Addr: "h", Zone: "z"}, admission.Status{Target: "t", Service: "s", Phase: admission.Serving, Slots: 2, Running: 2, Waiting: 7, Tested: true})
		runTime := d.latencies.expected(&route)
		queue := runTime * 8 / 2 // eight of ten requests end before the next one gets a slot
		gap := runTime / 2       // the only node gets both slots
		before := queue
		for i := range 20 {
			after := refuse(d)
			if after < before || after > before+2*gap {
				t.Errorf("caller %d returns after %v, want up to %v behind %v", i, after, 2*gap, before)
			}
			before = after
		}
		if mean := (before - queue) / 20; mean < gap/2 || mean > gap*3/2 {
			t.Errorf("callers return every %v, want about %v", mean, gap)
		}
		time.Sleep(before)
		if after := refuse(d); after < queue || after > queue+2*gap {
			t.Errorf("wait of %v once the callers sent away are back, want %v behind the queue", after, queue)
		}
		first := refuse(d)
		for range 20 {
			d.retryAfter(&route, "s", resultcode.New(resultcode.TargetError, "reset"))
			d.retryAfter(&route, "s", notRun(resultcode.CallerGone, "gone"))
			d.retryAfter(&route, "s", notRun(resultcode.DeadlineTooShort, "too late"))
		}
		if after := refuse(d); after > first+2*gap {
			t.Errorf("wait of %v behind %v: errors that are no refusals, and callers that left, took places", after, first)
		}
		for range 200 {
			if after := refuse(d); after > maxRetryAfter {
				t.Fatalf("wait of %v", after)
			}
		}
	})
}

// Guards against a single caller that is sent away for long although there is
// room, because this node gets a small part of a small service's slots.
func TestRetryAfterOfSingleCaller(t *testing.T) {
	now := func() time.Duration { return time.Minute }
	route := simRoute("r", "s", false, 2*time.Second, 4*time.Second, 1, 0)
	d := &dispatcher{view: placement.NewView(placement.DefaultConfig("self", "z"), now, 1), latencies: newLatencies()}
	for i := range 76 {
		d.view.Update(placement.Host{Addr: fmt.Sprint("h", i), Zone: "z"}, admission.Status{Service: "other", Phase: admission.Serving, Slots: 2})
	}
	d.view.Update(placement.Host{Addr: "h", Zone: "z"}, admission.Status{Target: "t", Service: "s", Phase: admission.Serving, Slots: 2, Tested: true})
	if after := d.retryAfter(&route, "s", notRun(resultcode.QueueFull, "full")); after > 2*minRetryAfter {
		t.Errorf("wait of %v with free slots", after)
	}
}

// Guards against callers that are sent away until there is retry budget although
// their first attempt, which needs none, is probably accepted, and against those
// that return at once although targets shed nearly all requests.
func TestRetryAfterFollowsBudget(t *testing.T) {
	at := time.Duration(0)
	now := func() time.Duration { return at }
	route := simRoute("r", "s", false, 8*time.Second, 25*time.Second, 1, 0)
	d := &dispatcher{
		view: placement.NewView(placement.DefaultConfig("self", "z"), now, 1), latencies: newLatencies(),
		budgetQueues: newBudgetQueues(now, func() RetryPolicy { return RetryPolicy{Ratio: 0.2, Slack: 2} }, func() int { return 1 }, 1),
	}
	d.view.Update(placement.Host{Addr: "h", Zone: "z"}, admission.Status{Target: "t", Service: "s", Phase: admission.Serving, Slots: 200, Tested: true})
	refuse := func() time.Duration {
		d.budgetReturns, d.slotReturns = returnTimes{}, returnTimes{}
		return d.retryAfter(&route, "s", notRun(resultcode.RetryBudgetSpent, "spent"))
	}
	for range 100 {
		d.budgetQueues.recordRequest("s")
	}
	for range 20 {
		d.budgetQueues.recordRetry("s")
	}
	if after := refuse(); after > 500*time.Millisecond {
		t.Errorf("wait of %v while targets accept requests", after)
	}
	for range 50 {
		d.acceptance.record("s", notRun(resultcode.ShedByTarget, "shed"))
	}
	longest := time.Duration(maxFailureWaitShare * float64(route.Objective))
	if after := refuse(); after < longest || after > longest+time.Second {
		t.Errorf("wait of %v without budget, want %v", after, longest)
	}
	at = 9500 * time.Millisecond // the retries leave the window after 11 s; a step ends at 11.5 s
	if after := refuse(); after < 1500*time.Millisecond || after > 2*time.Second+100*time.Millisecond {
		t.Errorf("wait of %v until there is budget, want 1.5 s and up to a step of 1 s", after)
	}
	at = 12 * time.Second
	if after := refuse(); after > 500*time.Millisecond {
		t.Errorf("wait of %v with budget", after)
	}
}
