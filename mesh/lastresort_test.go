package mesh

import (
	"context"
	"net/http"
	"testing"

	"hyssopbridge/admission"
)

// Guards against reads that are refused for lack of capacity while an ejected
// target, which may have recovered, has free slots; and against a
// non-idempotent request that is sent there, where its outcome would probably
// be unknown.
func TestEjectedTargetIsLastResort(t *testing.T) {
	ejected, full := startTarget(t, "ejected"), startTarget(t, "full")
	ng, nf := startPair(t, "1 1000", ejected, full)
	for _, n := range []*Node{ng, nf} {
		n.SetRetryPolicy(RetryPolicy{}) // without retry budget no read may be a trial request
	}
	reserve := func(n *Node) *admission.Reservation {
		reserved, reason := n.gate.Reserve(context.Background(), admission.Request{Service: testService, AllowUntested: true})
		if reserved == nil {
			t.Fatalf("reservation refused: %s", reason)
		}
		reserved.Claim()
		return reserved
	}
	reserve(ng).Release(admission.TransportError)
	for range 4 {
		reserve(nf)
	}
	wantResponse(t, send(t, ng, "/read/1", "r"), http.StatusOK, "body of r")
	if ejected.runCount("r") != 1 {
		t.Errorf("the ejected target got the read %d times", ejected.runCount("r"))
	}
	got := send(t, ng, "/order/1", "o")
	wantResponse(t, got, http.StatusServiceUnavailable, "")
	if ejected.runCount("o") != 0 || got.header.Get(headerRan) != "no" {
		t.Errorf("the ejected target got the order %d times, the response says ran %q", ejected.runCount("o"), got.header.Get(headerRan))
	}
}
