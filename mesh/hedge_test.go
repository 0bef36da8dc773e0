package mesh

import (
	"io"
	"net/http"
	"testing"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/internal/clock"
	"hyssopbridge/internal/testutil"
)

// neverRespond is the handler of a target that never responds.
func neverRespond(hold chan struct{}) func(io.Writer, *http.Request) bool {
	return func(io.Writer, *http.Request) bool {
		<-hold
		return false
	}
}

// startSilentAndGood returns a node beside a target that never responds and a
// node beside a healthy one.
func startSilentAndGood(t *testing.T) (ns, ng *Node, bad, good *stubTarget) {
	bad, good = startTarget(t, "silent"), startTarget(t, "good")
	ns, ng = startNode(t, bad), startNode(t, good)
	connectNodes(t, ns, ng)
	setConfig(t, "1 4000", ns, ng)
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	bad.setHandler(neverRespond(hold))
	return ns, ng, bad, good
}

// Guards against reads that wait for a silent target until their deadline.
func TestOverdueReadIsSentElsewhere(t *testing.T) {
	ns, _, bad, good := startSilentAndGood(t)
	reached := 0
	for i := range 6 {
		id := string(rune('a' + i))
		wantResponse(t, send(t, ns, "/read/1", id), http.StatusOK, "body of "+id)
		reached += bad.runCount(id)
		if bad.runCount(id) > 0 && good.runCount(id) != 1 {
			t.Errorf("read %s ran %d times at the healthy target", id, good.runCount(id))
		}
	}
	if reached == 0 {
		t.Error("no read reached the silent target, so nothing was tested")
	}
	testutil.Eventually(t, "slots of abandoned reads are free", func() bool { return ns.gate.Status().Running == 0 })
}

// Guards against a non-idempotent request that runs twice because its first
// target does not respond.
func TestOverdueOrderIsNotSentElsewhere(t *testing.T) {
	ns, _, bad, good := startSilentAndGood(t)
	reserved, reason := ns.gate.Reserve(t.Context(), admission.Request{Service: testService, AllowUntested: true})
	if reserved == nil {
		t.Fatal(reason)
	}
	reserved.Release(admission.Success) // marks the silent target as tested
	got := send(t, ns, "/order/1", "o")
	if n := bad.runCount("o") + good.runCount("o"); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
	if bad.runCount("o") == 1 && got.header.Get(headerRan) == "no" {
		t.Error("an order without a response is reported as not run")
	}
}

// Guards against a failure that ends the request while another attempt is in
// flight, and against a hedge without retry budget.
func TestHedgeNeedsRetryBudget(t *testing.T) {
	ns, ng, bad, good := startSilentAndGood(t)
	ns.SetRetryPolicy(RetryPolicy{})
	ng.SetRetryPolicy(RetryPolicy{})
	reserved, _ := ng.gate.Reserve(t.Context(), admission.Request{Service: testService, Idempotent: true})
	reserved.Claim()
	got := send(t, ns, "/read/1", "r", "X-Left", "1500")
	if bad.runCount("r")+good.runCount("r") > 1 {
		t.Errorf("the read ran %d times without retry budget", bad.runCount("r")+good.runCount("r"))
	}
	if bad.runCount("r") == 1 && got.status == http.StatusOK {
		t.Error("a silent target responded")
	}
}

// Guards against a hedge delay that leaves no time for a second target.
func TestHedgeDelayLeavesTime(t *testing.T) {
	route := testRoute("r", 10*time.Second)
	c := &call{d: &dispatcher{latencies: newLatencies(), hedgeDelays: newHedgeDelays()}, route: route, q: &request{deadline: deadlineIn(time.Second, clock.SinceBoot)}}
	if got := newHedger(c).hedgeDelay(); got > 500*time.Millisecond {
		t.Errorf("hedge delay is %v of 1 s", got)
	}
}

// Guards against a retry budget that is spent on targets which are only slow.
func TestUselessHedgesAreDelayed(t *testing.T) {
	h := newHedgeDelays()
	for range 20 {
		h.record("slow", false)
		h.record("silent", true)
	}
	if h.factor("slow") != maxHedgeFactor || h.factor("silent") != 1 || h.factor("unknown") != 1 {
		t.Errorf("factors %v", h.factors)
	}
	for range 20 {
		h.record("slow", true)
	}
	if h.factor("slow") != 1 {
		t.Errorf("factor %v after useful hedges", h.factor("slow"))
	}
}
