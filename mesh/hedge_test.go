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

// silent is the script of a target that answers nothing.
func silent(hold chan struct{}) func(io.Writer, *http.Request) bool {
	return func(io.Writer, *http.Request) bool {
		<-hold
		return false
	}
}

// silentAndGood returns a node beside a target that answers nothing and a node
// beside a good one.
func silentAndGood(t *testing.T) (ns, ng *Node, bad, good *target) {
	bad, good = startTarget(t, "silent"), startTarget(t, "good")
	ns, ng = startNode(t, bad), startNode(t, good)
	connect(t, ns, ng)
	for _, n := range []*Node{ns, ng} {
		_ = n.SetConfig([]byte("1 4000"), "test")
	}
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	bad.set(silent(hold))
	return ns, ng, bad, good
}

// Guards against reads that wait for a silent target until their deadline.
func TestOverdueReadIsSentElsewhere(t *testing.T) {
	ns, _, bad, good := silentAndGood(t)
	met := 0
	for i := range 6 {
		id := string(rune('a' + i))
		wantReply(t, send(t, ns, "/read/1", id), http.StatusOK, "body of "+id)
		met += bad.runs(id)
		if bad.runs(id) > 0 && good.runs(id) != 1 {
			t.Errorf("read %s ran %d times at the good target", id, good.runs(id))
		}
	}
	if met == 0 {
		t.Error("no read met the silent target, so nothing was tested")
	}
	testutil.Eventually(t, "slots of abandoned reads are free", func() bool { return ns.gate.Status().Running == 0 })
}

// Guards against an order that runs twice because its first target is silent.
func TestOverdueOrderIsNotSentElsewhere(t *testing.T) {
	ns, _, bad, good := silentAndGood(t)
	ticket, why := ns.gate.Reserve(t.Context(), admission.Request{Service: testService, AllowUntested: true})
	if ticket == nil {
		t.Fatal(why)
	}
	ticket.Release(admission.Success) // the silent target is proven
	got := send(t, ns, "/order/1", "o")
	if n := bad.runs("o") + good.runs("o"); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
	if bad.runs("o") == 1 && got.header.Get(headerRan) == "no" {
		t.Error("an order without an answer is reported as not run")
	}
}

// Guards against a failure that ends the request while another attempt is under
// way, and against a second attempt without retry budget.
func TestSecondAttemptNeedsBudget(t *testing.T) {
	ns, ng, bad, good := silentAndGood(t)
	ns.SetRetryPolicy(RetryPolicy{})
	ng.SetRetryPolicy(RetryPolicy{})
	ticket, _ := ng.gate.Reserve(t.Context(), admission.Request{Service: testService, Idempotent: true})
	ticket.Claim()
	got := send(t, ns, "/read/1", "r", "X-Left", "1500")
	if bad.runs("r")+good.runs("r") > 1 {
		t.Errorf("the read ran %d times without budget", bad.runs("r")+good.runs("r"))
	}
	if bad.runs("r") == 1 && got.status == http.StatusOK {
		t.Error("answered by a silent target")
	}
}

// Guards against a wait that leaves no time for a second target.
func TestPatienceLeavesTime(t *testing.T) {
	route := testRoute("r", 10*time.Second)
	c := &call{p: &placer{times: newRunTimes(), hedges: newHedges()}, route: route, q: &request{deadline: deadlineIn(time.Second, clock.SinceBoot)}}
	if got := newRace(c).patience(); got > 500*time.Millisecond {
		t.Errorf("waits %v of 1 s", got)
	}
}

// Guards against a retry budget that is spent on targets which are only slow.
func TestUselessSecondAttemptsComeLater(t *testing.T) {
	h := newHedges()
	for range 20 {
		h.learn("slow", false)
		h.learn("silent", true)
	}
	if h.factor("slow") != maxHedgeFactor || h.factor("silent") != 1 || h.factor("unknown") != 1 {
		t.Errorf("factors %v", h.factors)
	}
	for range 20 {
		h.learn("slow", true)
	}
	if h.factor("slow") != 1 {
		t.Errorf("factor %v after second attempts that helped", h.factor("slow"))
	}
}
