package mesh

import (
	"context"
	"net/http"
	"testing"
	"time"

	"hyssopbridge/admission"
	"hyssopbridge/internal/testutil"
)

// holdSlots takes all slots of the node's target and returns a function that
// frees them.
func holdSlots(t *testing.T, n *Node) func() {
	t.Helper()
	var held []*admission.Reservation
	for range n.gate.Status().Slots {
		reserved, reason := n.gate.Reserve(t.Context(), admission.Request{Service: testService, AllowUntested: true})
		if reserved == nil {
			t.Fatal(reason)
		}
		reserved.Claim()
		held = append(held, reserved)
	}
	return func() {
		for _, reserved := range held {
			reserved.Release(admission.Success)
		}
	}
}

// startFullFleet starts an entry node without a target and two host nodes whose
// targets have no free slot.
func startFullFleet(t *testing.T) (entry *Node, hosts [2]*Node, targets [2]*stubTarget, free [2]func()) {
	t.Helper()
	entry = startNode(t, nil)
	for i := range hosts {
		targets[i] = startTarget(t, string(rune('a'+i)))
		hosts[i] = startNode(t, targets[i])
		free[i] = holdSlots(t, hosts[i])
	}
	connectNodes(t, entry, hosts[0], hosts[1])
	setConfig(t, "1", entry)
	testutil.Eventually(t, "both hosts are known", func() bool { return entry.view.Count(testService) == 2 })
	return entry, hosts, targets, free
}

// waitingAt returns the index of the host at which a request waits.
func waitingAt(t *testing.T, hosts [2]*Node, but int) int {
	t.Helper()
	at := -1
	testutil.Eventually(t, "the order waits for a slot", func() bool {
		for i, n := range hosts {
			if i != but && n.gate.Status().Waiting > 0 {
				at = i
			}
		}
		return at >= 0
	})
	return at
}

// Guards against an order that is refused, or lost, because the host in whose
// queue it waits dies, while another host can serve it.
func TestWaiterOutlivesItsHost(t *testing.T) {
	entry, hosts, targets, free := startFullFleet(t)
	got := make(chan callerResponse, 1)
	go func() { got <- send(t, entry, "/order/1", "o", testHeaders.DeadlineMs, "20000") }()
	first := waitingAt(t, hosts, -1)
	hosts[first].cancel()
	hosts[first].nodeServer.http.Close()
	second := waitingAt(t, hosts, first)
	free[second]()
	wantResponse(t, <-got, http.StatusOK, "")
	if n := targets[second].runCount("o"); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// Guards against a planned stop that leaves requests in line until their
// connections are cut: they are refused as not run.
func TestStopEndsWaits(t *testing.T) {
	entry, hosts, targets, _ := startFullFleet(t)
	got := make(chan callerResponse, 1)
	go func() { got <- send(t, entry, "/order/1", "o", testHeaders.DeadlineMs, "20000") }()
	at := waitingAt(t, hosts, -1)
	go entry.Stop(t.Context(), 100*time.Millisecond)
	r := <-got
	if r.status != http.StatusServiceUnavailable || r.header.Get(headerRan) != "no" {
		t.Errorf("status %d, ran %q, error %v", r.status, r.header.Get(headerRan), r.err)
	}
	testutil.Eventually(t, "the order left the line", func() bool { return hosts[at].gate.Status().Waiting == 0 })
	if n := targets[at].runCount("o"); n != 0 {
		t.Errorf("the order ran %d times", n)
	}
}

// Guards against a caller that disconnects while its request keeps a place in
// line.
func TestCallerLeavesQueue(t *testing.T) {
	entry, hosts, _, _ := startFullFleet(t)
	ctx, leave := context.WithCancel(t.Context())
	req := newCallerRequest(t, entry, "/read/1", "r", nil).WithContext(ctx)
	transport := &http.Transport{}
	go func() {
		if resp, err := transport.RoundTrip(req); err == nil {
			resp.Body.Close()
		}
	}()
	at := waitingAt(t, hosts, -1)
	leave()
	testutil.Eventually(t, "the place in line is free", func() bool { return hosts[at].gate.Status().Waiting == 0 })
}
